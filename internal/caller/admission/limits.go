package admission

import (
	"errors"
	"math"
	"time"
)

// Errors of Controller.Configure.
var (
	ErrNoAccount     = errors.New("admission: limits without an account name")
	ErrNegativeLimit = errors.New("admission: negative or undefined limit")
	ErrTwice         = errors.New("admission: account listed twice")
)

// Limits are the limits of one account, as the preset in force gives them.
type Limits struct {
	Account string
	// Rate is requests a second and Burst how many may come at once. A Rate of
	// zero means no limit; a Burst under 1 means the rate of one second, at
	// least 1.
	Rate  float64
	Burst float64
	// Concurrency is how many requests may be open, waiting ones included.
	// Zero means no limit.
	Concurrency int
	// Weight is the account's part in fair share; zero means 1.
	Weight float64
	// Worth is the worth of a request that names none; zero means 1.
	Worth float64
}

func (l Limits) check() error {
	if l.Account == "" {
		return ErrNoAccount
	}
	for _, x := range [...]float64{l.Rate, l.Burst, float64(l.Concurrency), l.Weight, l.Worth} {
		if x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
			return ErrNegativeLimit
		}
	}
	return nil
}

// withDefaults returns l with the meaning of zero values written out.
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
	limits  Limits
	share   float64
	bucket  bucket
	open    int
	waiting int
	// kept counts waiting requests that may not be displaced.
	kept    int
	removed bool
	refused spread
}

// apply puts limits and share into force without losing what is open. Tokens
// are carried over as they are, cut to the new burst: a preset switch must not
// hand out a fresh burst to each account at the same moment.
func (a *account) apply(l Limits, now time.Time) {
	a.limits = l.withDefaults()
	a.removed = false
	a.retune(now)
}

func (a *account) retune(now time.Time) {
	burst := math.Max(1, a.limits.Burst*a.share)
	a.bucket.set(a.limits.Rate*a.share, burst, now)
}

// concurrency returns how many requests the account may have open here.
func (a *account) concurrency() int {
	if a.limits.Concurrency == 0 {
		return math.MaxInt
	}
	return int(float64(a.limits.Concurrency)*a.share + shareSlack)
}

// shareSlack makes up for the rounding of a share that is stored as a float.
const shareSlack = 1e-9

// bucket is a token bucket. A rate of zero means no limit.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
	started             bool
}

func (b *bucket) set(rate, burst float64, now time.Time) {
	if !b.started {
		b.started = true
		b.tokens = burst
		b.at = now
	}
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.tokens = math.Min(b.tokens, burst)
}

func (b *bucket) fill(now time.Time) {
	dt := now.Sub(b.at).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	b.tokens = math.Min(b.burst, b.tokens+dt*b.rate)
}

// ready reports whether one token is there, and otherwise when it will be.
func (b *bucket) ready(now time.Time) (bool, time.Duration) {
	if b.rate == 0 {
		return true, 0
	}
	b.fill(now)
	if b.tokens >= 1 {
		return true, 0
	}
	return false, seconds((1 - b.tokens) / b.rate)
}

func (b *bucket) take() {
	if b.rate > 0 {
		b.tokens--
	}
}

// seconds converts to a duration and caps at a day, so that no sum overflows.
func seconds(s float64) time.Duration {
	const day = 24 * 60 * 60
	if math.IsNaN(s) || s > day {
		s = day
	}
	return time.Duration(s * float64(time.Second))
}
