package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
)

// CountFirstAttempt counts a first attempt towards the retry budget of a service, and towards this
// entry's demand for it.
func (st *State) CountFirstAttempt(service string, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.demands.count(service, now)
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
	r := st.retryBudgets[service]
	if r == nil {
		r = &admission.RetryBudget{}
		st.retryBudgets[service] = r
	}
	share := budgetUse * st.retry.Slack / float64(st.countEntries(now)) / 2
	r.Percent = 100 * budgetUse * st.retry.Share
	r.RetriesPerSecond = share / max(1, st.retry.Window.Seconds())
	r.Burst = retryBurst(st.Name, share)
	return r
}

// retryBurst returns the number of retries that an entry may save up, given its share of those
// that the fleet may use at once.
//
// Less than one retry can't be used. In a large fleet some entries therefore save up one and the
// others none, by a hash of their names. If each entry had one or two, the retries saved up by a
// thousand entries would exceed what the fleet may use.
func retryBurst(entry string, share float64) float64 {
	if share >= 1 || hashFraction(entry) < share*(2/budgetUse-1) {
		return max(1, share)
	}
	return share
}
