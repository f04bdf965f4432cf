package admission

import (
	"errors"
	"math"
	"time"
)

// Errors returned by Controller.Configure.
var (
	ErrNoAccount        = errors.New("admission: limits have no account name")
	ErrInvalidLimit     = errors.New("admission: limit is negative, NaN or infinite")
	ErrDuplicateAccount = errors.New("admission: duplicate account in limits")
)

// Limits are the limits of one account in the preset in force.
type Limits struct {
	Account string
	// Rate is in requests per second, and Burst is the maximum number of
	// requests that may arrive at once. A Rate of zero means no limit. A Burst
	// below 1 means the requests of one second at Rate, but at least 1.
	Rate  float64
	Burst float64
	// Concurrency is the maximum number of open requests, including waiting
	// ones. Zero means no limit.
	Concurrency int
	// Weight is the account's weight in fair queueing; zero means 1.
	Weight float64
	// Worth is the worth of a request that does not set its own; zero means 1.
	Worth float64
}

func (l Limits) validate() error {
	if l.Account == "" {
		return ErrNoAccount
	}
	for _, x := range [...]float64{l.Rate, l.Burst, float64(l.Concurrency), l.Weight, l.Worth} {
		if x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
			return ErrInvalidLimit
		}
	}
	return nil
}

// withDefaults returns l with zero values replaced by their defaults.
func (l Limits) withDefaults() Limits {
	if l.Weight == 0 {
		l.Weight = 1
	}
	if l.Worth == 0 {
		l.Worth = 1
	}
	if l.Burst < 1 {
		l.Burst = math.Max(1, l.Rate)
	}
	return l
}

// account is the state of one account at this entry.
type account struct {
	limits Limits
	// share is the fraction of the limits that applies at this entry.
	share   float64
	bucket  tokenBucket
	open    int
	waiting int
	// protected is the number of waiting requests that may not be displaced.
	protected int
	// removed reports that the limits in force no longer list the account; its
	// open requests may still end.
	removed  bool
	refusals refusalTracker
}

// applyLimits puts new limits into force and leaves open requests open. The
// bucket keeps its tokens, capped at the new burst, so that a preset switch
// does not grant every account a fresh burst at the same moment.
func (a *account) applyLimits(l Limits, now time.Time) {
	a.limits = l.withDefaults()
	a.removed = false
	a.updateBucket(now)
}

func (a *account) updateBucket(now time.Time) {
	burst := math.Max(1, a.limits.Burst*a.share)
	a.bucket.setRate(a.limits.Rate*a.share, burst, now)
}

// concurrencyLimit returns the maximum number of open requests at this entry.
func (a *account) concurrencyLimit() int {
	if a.limits.Concurrency == 0 {
		return math.MaxInt
	}
	return int(float64(a.limits.Concurrency)*a.share + shareTolerance)
}

// shareTolerance compensates for the rounding of a share stored as a float.
const shareTolerance = 1e-9

// tokenBucket is a token bucket rate limiter. A rate of zero means no limit.
type tokenBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Time
	initialized         bool
}

func (b *tokenBucket) setRate(rate, burst float64, now time.Time) {
	if !b.initialized {
		b.initialized = true
		b.tokens = burst
		b.updatedAt = now
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = math.Min(b.tokens, burst)
}

func (b *tokenBucket) refill(now time.Time) {
	dt := now.Sub(b.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	b.updatedAt = now
	b.tokens = math.Min(b.burst, b.tokens+dt*b.rate)
}

// ready reports whether a token is available, and otherwise the time until one
// is.
func (b *tokenBucket) ready(now time.Time) (bool, time.Duration) {
	if b.rate == 0 {
		return true, 0
	}
	b.refill(now)
	if b.tokens >= 1 {
		return true, 0
	}
	return false, toDuration((1 - b.tokens) / b.rate)
}

func (b *tokenBucket) take() {
	if b.rate > 0 {
		b.tokens--
	}
}

// toDuration converts seconds to a duration of at most one day, so that sums of
// durations do not overflow.
func toDuration(s float64) time.Duration {
	const day = 24 * 60 * 60
	if math.IsNaN(s) || s > day {
		s = day
	}
	return time.Duration(s * float64(time.Second))
}
