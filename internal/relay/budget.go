package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
)

// First counts a first attempt towards the retry budget of a service.
func (b *Belief) First(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service, now).RecordFirstAttempt(now)
}

// Spend takes one retry from the budget of a service and reports whether there was one.
func (b *Belief) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service, now).TrySpend(now)
}

// MaySpend reports whether Spend would succeed.
func (b *Belief) MaySpend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service, now).CanRetry(now)
}

// budgetUse is the fraction of the fleet's retry budget that the entries use together. The rest is
// a margin: entries count requests by their own clocks, and callers are not spread evenly.
const budgetUse = 0.7

func (b *Belief) budget(service string, now time.Time) *admission.RetryBudget {
	n := float64(b.countEntries(now))
	r := b.retryBudgets[service]
	if r == nil {
		r = &admission.RetryBudget{}
		b.retryBudgets[service] = r
	}
	r.Percent = 100 * budgetUse * b.retry.Share
	window := max(1, b.retry.Window.Seconds())
	r.RetriesPerSecond = budgetUse * b.retry.Slack / n / window / 2
	r.Burst = max(2, budgetUse*b.retry.Slack/n/2)
	return r
}
