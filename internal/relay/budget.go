package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
)

// CountFirstAttempt counts a first attempt towards the retry budget of a service.
func (st *State) CountFirstAttempt(service string, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.budget(service, now).RecordFirstAttempt(now)
}

// TakeRetry takes one retry from the budget of a service and reports whether there was one.
func (st *State) TakeRetry(service string, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.budget(service, now).TrySpend(now)
}

// MayRetry reports whether TakeRetry would succeed.
func (st *State) MayRetry(service string, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.budget(service, now).CanRetry(now)
}

// budgetUse is the fraction of the fleet's retry budget that the entries use together. The rest is
// a margin: entries count requests by their own clocks, and callers are not spread evenly.
const budgetUse = 0.7

// budget returns the retry budget of a service, with this entry's current share of the fleet's.
// Half of the share of Slack may be used at once, and the other half becomes available over each
// Window. mu must be held.
func (st *State) budget(service string, now time.Time) *admission.RetryBudget {
	n := float64(st.countEntries(now))
	r := st.retryBudgets[service]
	if r == nil {
		r = &admission.RetryBudget{}
		st.retryBudgets[service] = r
	}
	r.Percent = 100 * budgetUse * st.retry.Share
	window := max(1, st.retry.Window.Seconds())
	r.RetriesPerSecond = budgetUse * st.retry.Slack / n / window / 2
	r.Burst = max(2, budgetUse*st.retry.Slack/n/2)
	return r
}
