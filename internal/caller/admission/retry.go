package admission

import (
	"math"
	"time"
)

// RetryBudget is a token bucket that is fed by first attempts.
//
// The load is an overload or a failing data centre. There each attempt that
// fails calls for another, and the retries multiply the load that made the
// attempts fail. With the budget, retries are at most Percent of the first
// attempts plus PerSecond, whatever fails.
type RetryBudget struct {
	// Percent of first attempts that may be retried. Zero means no retries.
	Percent float64
	// Burst is how many retries may be saved up; zero means 20.
	Burst float64
	// PerSecond feeds the budget of an entry that sees few requests; zero
	// means 1.
	PerSecond float64

	tokens  float64
	at      time.Time
	started bool
}

// DefaultRetryPercent serves the loss of one endpoint among twelve.
const DefaultRetryPercent = 10

func orDefault(x, d float64) float64 {
	if x == 0 {
		return d
	}
	return x
}

func (b *RetryBudget) fill(now time.Time, extra float64) {
	burst := orDefault(b.Burst, 20)
	if !b.started {
		b.started = true
		b.tokens = burst / 2
		b.at = now
	}
	dt := math.Max(0, now.Sub(b.at).Seconds())
	if dt > 0 {
		b.at = now
	}
	b.tokens = math.Min(burst, b.tokens+dt*orDefault(b.PerSecond, 1)+extra)
}

// First records a first attempt.
func (b *RetryBudget) First(now time.Time) {
	b.fill(now, b.Percent/100)
}

// May reports whether a retry may be made.
func (b *RetryBudget) May(now time.Time) bool {
	b.fill(now, 0)
	return b.tokens >= 1 && b.Percent > 0
}

// Take reports whether a retry may be made, and spends one if so. When it may
// not, the request is answered with result.RetryBudget.
func (b *RetryBudget) Take(now time.Time) bool {
	if !b.May(now) {
		return false
	}
	b.tokens--
	return true
}
