package admission

import (
	"math"
	"time"
)

// RetryBudget limits retries with a token bucket that is filled by first
// attempts.
//
// During an overload or the failure of a data centre, each failed attempt
// causes another, and the retries multiply the load that made the attempts
// fail. The budget limits retries to Percent of the first attempts plus
// RetriesPerSecond, whatever fails.
type RetryBudget struct {
	// Percent is the percentage of first attempts that may be retried. Zero
	// means no retries.
	Percent float64
	// Burst is the maximum number of retries that can accumulate; zero means
	// 20.
	Burst float64
	// RetriesPerSecond is the number of retries added per second, for entries
	// with few requests; zero means 1.
	RetriesPerSecond float64

	tokens      float64
	updatedAt   time.Time
	initialized bool
}

// DefaultRetryPercent covers the loss of one endpoint out of twelve.
const DefaultRetryPercent = 10

func orDefault(x, fallback float64) float64 {
	if x == 0 {
		return fallback
	}
	return x
}

func (b *RetryBudget) refill(now time.Time, added float64) {
	burst := orDefault(b.Burst, 20)
	if !b.initialized {
		b.initialized = true
		b.tokens = max(burst/2, min(burst, 1))
		b.updatedAt = now
	}
	dt := math.Max(0, now.Sub(b.updatedAt).Seconds())
	if dt > 0 {
		b.updatedAt = now
	}
	b.tokens = math.Min(burst, b.tokens+dt*orDefault(b.RetriesPerSecond, 1)+added)
}

// RecordFirstAttempt records a first attempt.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.refill(now, b.Percent/100)
}

// CanRetry reports whether the budget allows a retry, without spending it.
func (b *RetryBudget) CanRetry(now time.Time) bool {
	b.refill(now, 0)
	return b.tokens >= 1 && b.Percent > 0
}

// TrySpend spends one retry if the budget allows it, and reports whether it
// did. If not, the request must be answered with result.RetryBudget.
func (b *RetryBudget) TrySpend(now time.Time) bool {
	if !b.CanRetry(now) {
		return false
	}
	b.tokens--
	return true
}
