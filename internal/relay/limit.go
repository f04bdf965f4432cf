package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// limitTTL is how long a limit holds without an update. An endpoint reports its limit in each
	// answer, and is sent some requests at any limit.
	limitTTL = 30 * time.Second
	// limitExchangeAge is the age up to which an endpoint's report is passed on to other entries.
	// The endpoint repeats it in its next answer, and the age is longer than the pause between two
	// regular messages. maxExchangedLimits is the largest number of limits in one message, which
	// holds the latest ones.
	limitExchangeAge   = 1500 * time.Millisecond
	maxExchangedLimits = 16
	// minLimitRate is the lowest rate, in requests per second, at which an endpoint is sent
	// requests, so that the end of its limit is noticed.
	minLimitRate = 0.1
	// All entries that share a limit may send the one request that each has saved up at the same
	// moment. Their number is at most burstPerRate for each request per second of the limit, and
	// burstBase more. An endpoint tolerates more requests at once than that; the rest is a margin
	// for entries that disagree on the number of entries.
	burstPerRate = 2
	burstBase    = 3
)

// RateLimit is the request rate that an endpoint last reported to accept.
type RateLimit struct {
	// Endpoint is the endpoint's ID, and Incarnation the start time of the instance that reported
	// the limit.
	Endpoint    string
	Incarnation uint64
	// PerSecond is the number of requests per second that the endpoint accepts from all entries
	// together. Unlimited means that it reports no limit.
	PerSecond float64
	Unlimited bool
	// At is the latest possible time of the report.
	At time.Time
}

// rate returns the rate, in requests per second, at which all entries together send requests under
// the limit.
func (l RateLimit) rate() float64 { return max(l.PerSecond, minLimitRate) }

// limits holds the limits that endpoints report, by endpoint ID. They outlive the endpoint's listing
// in the store, because an endpoint that is listed again has not forgotten.
type limits struct {
	// newest holds the latest report from any source, and own those made to this entry.
	newest map[string]RateLimit
	own    map[string]RateLimit
}

// record stores the limit from an answer to a request that was assigned to the endpoint at
// assignedAt. A negative rate means that the answer reports none. It returns whether the known
// limit changed.
//
// An answer that was made before the endpoint reported its limit may arrive after one that reports
// it. It must not end the limit.
func (l *limits) record(ep directory.Endpoint, perSecond float64, assignedAt, now time.Time) bool {
	old, ok := l.lookup(ep, now)
	none := perSecond < 0
	if none && (!ok || !assignedAt.After(old.At)) {
		return false
	}
	reported := RateLimit{Endpoint: ep.ID, Incarnation: ep.StartMillis, PerSecond: max(0, perSecond), Unlimited: none, At: now}
	if l.own == nil {
		l.own = map[string]RateLimit{}
	}
	l.own[ep.ID] = reported
	return l.merge(reported)
}

// merge stores a limit reported to any entry, and returns whether it differs from the known one.
func (l *limits) merge(reported RateLimit) bool {
	old, ok := l.newest[reported.Endpoint]
	if ok && !reported.At.After(old.At) {
		return false
	}
	if l.newest == nil {
		l.newest = map[string]RateLimit{}
	}
	l.newest[reported.Endpoint] = reported
	if !ok {
		return !reported.Unlimited
	}
	return old.Unlimited != reported.Unlimited || old.PerSecond != reported.PerSecond || old.Incarnation != reported.Incarnation
}

// lookup returns the current limit of an endpoint, or false if there is none.
func (l *limits) lookup(ep directory.Endpoint, now time.Time) (RateLimit, bool) {
	known, ok := l.newest[ep.ID]
	if !ok || known.Unlimited || known.Incarnation != ep.StartMillis || now.Sub(known.At) > limitTTL {
		return RateLimit{}, false
	}
	return known, true
}

// RecordLimit records the limit, in requests per second, that an endpoint reports in an answer to
// this entry. A negative value means that it reports none. It returns whether the known limit
// changed.
func (st *State) RecordLimit(assigned Assignment, perSecond float64, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	changed := st.limits.record(assigned.Endpoint, perSecond, assigned.assignedAt, now)
	if changed {
		st.notifyChanged()
	}
	return changed
}

// expire deletes limits older than limitTTL.
func (l *limits) expire(now time.Time) {
	old := func(_ string, reported RateLimit) bool { return now.Sub(reported.At) > limitTTL }
	maps.DeleteFunc(l.newest, old)
	maps.DeleteFunc(l.own, old)
}

// RecentOwnLimits returns the limits that endpoints have reported to this entry within
// limitExchangeAge, latest first, to be passed on to the other entries. Their number is bounded:
// messages are sent each 20 ms, and would otherwise grow with the number of limited endpoints,
// which may be a thousand.
func (st *State) RecentOwnLimits(now time.Time) []RateLimit {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.limits.expire(now)
	var out []RateLimit
	for _, l := range st.limits.own {
		if now.Sub(l.At) <= limitExchangeAge {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b RateLimit) int { return b.At.Compare(a.At) })
	return out[:min(len(out), maxExchangedLimits)]
}

// MergeLimits merges the limits that endpoints have reported to another entry, and returns those
// that were new. In a large fleet each entry sends an endpoint a request only now and then; without
// the exchange each would learn of a limit only by sending one request too many.
func (st *State) MergeLimits(received []RateLimit) []RateLimit {
	st.mu.Lock()
	defer st.mu.Unlock()
	var changed []RateLimit
	for _, l := range received {
		if st.limits.merge(l) {
			changed = append(changed, l)
		}
	}
	return changed
}

// LimitedEndpoints returns the number of endpoints that report a limit.
func (st *State) LimitedEndpoints(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := 0
	for _, ep := range st.dir.Endpoints(now) {
		if _, ok := st.limits.lookup(ep, now); ok {
			n++
		}
	}
	return n
}

// limitState is the effect of limits on a choice among a service's endpoints.
type limitState struct {
	// excluded means that an endpoint was left out because of its limit. wait is the least time
	// until one of those may be sent a request, or 0 if none may.
	excluded bool
	wait     time.Duration
}

// excludeLimited excludes endpoints with a limit of which this entry has no share, or has used up
// its share. mu must be held.
func (st *State) excludeLimited(service *routing.Service, q *placement.Query, now time.Time) limitState {
	var out limitState
	for id := range st.limits.newest {
		ep, ok := st.endpoints[id]
		if !ok || ep.Service != service.Name {
			continue
		}
		l, ok := st.limits.lookup(ep, now)
		if !ok {
			continue
		}
		rate := st.limitShareOf(service, l, now) * l.rate()
		if rate > 0 && st.limitShares.Ready(id, rate, now) {
			continue
		}
		out.excluded = true
		q.Excluded = append(q.Excluded, id)
		if w := st.limitShares.Wait(id, rate, now); rate > 0 && (out.wait == 0 || w < out.wait) {
			out.wait = w
		}
	}
	return out
}

// takeLimitShare spends one request of this entry's share of the endpoint's limit. mu must be held.
func (st *State) takeLimitShare(service *routing.Service, ep directory.Endpoint, now time.Time) {
	if l, ok := st.limits.lookup(ep, now); ok {
		st.limitShares.Take(ep.ID, st.limitShareOf(service, l, now)*l.rate(), now)
	}
}
