package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// restartNotice is the time within which an entry learns that an endpoint has restarted under its
// ID. Until then, a rest may come from the new instance.
const restartNotice = 10 * time.Second

// rest is the time for which an endpoint wants no request from this entry.
type rest struct {
	// incarnation is the start time of the instance that is known to have asked for it.
	incarnation    uint64
	askedAt, until time.Time
}

// rests holds the rests that endpoints have asked this entry for, by endpoint ID. They outlive the
// endpoint's listing in the store, because an endpoint that is listed again has not forgotten.
type rests struct {
	byEndpoint map[string]rest
}

// record stores a rest of the duration d that the endpoint asked for at now. A shorter one does not
// end a longer one.
func (r *rests) record(ep directory.Endpoint, d time.Duration, now time.Time) {
	if r.byEndpoint == nil {
		r.byEndpoint = map[string]rest{}
	}
	old := r.byEndpoint[ep.ID]
	until := now.Add(d)
	if old.until.After(until) {
		until = old.until
	}
	r.byEndpoint[ep.ID] = rest{incarnation: max(old.incarnation, ep.StartMillis), askedAt: now, until: until}
}

// left returns how much of its rest an endpoint has left, or zero if it doesn't rest.
func (r *rests) left(ep directory.Endpoint, now time.Time) time.Duration {
	known, ok := r.byEndpoint[ep.ID]
	if !ok || ep.StartMillis != known.incarnation && now.Sub(known.askedAt) >= restartNotice {
		return 0
	}
	return max(0, known.until.Sub(now))
}

// expire deletes the rests that have ended.
func (r *rests) expire(now time.Time) {
	maps.DeleteFunc(r.byEndpoint, func(_ string, known rest) bool { return !now.Before(known.until) })
}

// nextEnd returns the time until the first rest ends, or false if there is none.
func (r *rests) nextEnd(now time.Time) (time.Duration, bool) {
	least, ok := time.Duration(0), false
	for _, known := range r.byEndpoint {
		if d := known.until.Sub(now); d > 0 && (!ok || d < least) {
			least, ok = d, true
		}
	}
	return least, ok
}

// RecordRest records that an endpoint asked for a rest in its answer to an attempt.
//
// An overloaded endpoint that turns all requests away has no load, so it would look best of all and
// get more requests than others.
func (st *State) RecordRest(assigned Assignment, d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.rests.record(assigned.Endpoint, d, now)
}

// RestingEndpoints returns the number of endpoints that rest.
func (st *State) RestingEndpoints(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := 0
	for _, ep := range st.dir.Endpoints(now) {
		if st.rests.left(ep, now) > 0 {
			n++
		}
	}
	return n
}

// excludeResting excludes the endpoints that rest. mu must be held.
func (st *State) excludeResting(q *placement.Query, now time.Time) {
	for id := range st.rests.byEndpoint {
		if st.rests.left(st.endpoints[id], now) > 0 {
			q.Excluded = append(q.Excluded, id)
		}
	}
}

// serviceRest returns how long it takes until the first endpoint of a service may be sent a
// request, if all of them rest. It returns zero if one does not, or if the service has none. The
// engines of closed groups count as resting. mu must be held.
func (st *State) serviceRest(service *routing.Service, closedEngines []string, now time.Time) time.Duration {
	if len(st.rests.byEndpoint) == 0 {
		return 0
	}
	least := time.Duration(0)
	for id, ep := range st.endpoints {
		if ep.Service != service.Name || slices.Contains(closedEngines, id) {
			continue
		}
		left := st.rests.left(ep, now)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// restLeft is serviceRest for a service whose closed groups are not known to the caller. mu must be
// held.
func (st *State) restLeft(service *routing.Service, now time.Time) time.Duration {
	if len(st.rests.byEndpoint) == 0 {
		return 0
	}
	state, _ := st.groupState(service, now)
	return st.serviceRest(service, state.closedEngines, now)
}

// refuseIfResting returns a refusal if all endpoints of the service rest for longer than the request
// can wait, or else nil. mu must be held.
func (st *State) refuseIfResting(req AdmitRequest, now time.Time) *result.Error {
	left := st.restLeft(req.Service, now)
	if left == 0 || st.mayWaitFor(req, left, now) {
		return nil
	}
	st.excludeFromDrainRate(req.Service, now)
	return restRefusal(left)
}

// refuseDuringRest refuses the waiting requests that can't wait for the end of a rest. mu must be
// held.
func (st *State) refuseDuringRest(now time.Time) {
	if len(st.rests.byEndpoint) == 0 {
		return
	}
	st.refuseWaiting(func(req AdmitRequest) *result.Error { return st.refuseIfResting(req, now) })
}

// mayWaitFor reports whether a request that can be assigned only after d is still worth starting
// then.
func (st *State) mayWaitFor(req AdmitRequest, d time.Duration, now time.Time) bool {
	return now.Add(d).Before(st.latestStart(req, now))
}

// restRefusal returns the refusal of a request for a service whose endpoints all rest, the first of
// them for the duration left.
func restRefusal(left time.Duration) *result.Error {
	return result.New(result.EndpointResting, "").WithRetryAfter(left)
}
