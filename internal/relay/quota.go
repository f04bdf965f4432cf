package relay

import (
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/slotshare"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// quotaPeriod is how long an order of the entries lasts. Within it, an entry of the same data centre
	// learns that this one has started a request: two intervals between messages and the latency.
	quotaPeriod = 50 * time.Millisecond
	// quotaInterval is the least time between two computations of a service's quota because of what
	// others report or because a request ends, of which there are more than 1,000 a second. A
	// computation takes 7 to 260 us.
	quotaInterval = 10 * time.Millisecond
)

// quotas holds this entry's quotas of the free slots of endpoints, by service.
type quotas struct {
	allocator slotshare.Allocator
	services  map[string]*serviceQuota
	// reported holds this entry's waiting requests by service and class as it last reported them to the
	// others. It is nil before the first report.
	reported map[string][]int
	// unreported holds the number of requests that were started since then, by endpoint.
	unreported map[string]int
	// buffers of compute
	ids    []string
	view   slotshare.View
	shares []int
}

// serviceQuota is an entry's quota of the free slots of a service's endpoints.
type serviceQuota struct {
	computedAt time.Time
	period     uint64
	// stale means that what the quota was computed from has changed. It is computed again when
	// quotaInterval is over.
	stale bool
	// limited means that other entries may want the free slots. left is then the number of slots that
	// this entry may still take, by endpoint. It does not bound endpoints that are not in it.
	limited bool
	left    map[string]int
}

// started records that a request was assigned to an endpoint.
func (t *quotas) started(service, endpoint string) {
	if t.unreported == nil {
		t.unreported = map[string]int{}
	}
	t.unreported[endpoint]++
	if s := t.services[service]; s != nil {
		if left, ok := s.left[endpoint]; ok {
			s.left[endpoint] = left - 1
		}
	}
}

// markStale has all quotas computed again.
func (t *quotas) markStale() {
	for _, s := range t.services {
		s.stale = true
	}
}

// forService returns the service's quota.
func (t *quotas) forService(service string) *serviceQuota {
	s := t.services[service]
	if s == nil {
		s = &serviceQuota{left: map[string]int{}}
		if t.services == nil {
			t.services = map[string]*serviceQuota{}
		}
		t.services[service] = s
	}
	return s
}

// isCurrent reports whether the quota need not be computed again.
func (s *serviceQuota) isCurrent(period uint64, now time.Time) bool {
	age := now.Sub(s.computedAt)
	return !s.computedAt.IsZero() && s.period == period && age < quotaPeriod && (!s.stale || age < quotaInterval)
}

// ReportWaiting returns the number of waiting requests that can meet their target, and of those that wait at
// endpoints that can't be heard, by service and class, to be reported to the other entries. Late requests claim
// no share of the slots. From now on this entry claims slots for these requests: what it claims and what the
// others know that it claims must be the same. Call DispatchWaiting when the report has been sent.
func (st *State) ReportWaiting() map[string][]int {
	st.mu.Lock()
	defer st.mu.Unlock()
	out := st.waitingOnTime()
	st.quotas.reported = out
	clear(st.quotas.unreported)
	for _, s := range st.quotas.services {
		s.computedAt = time.Time{}
	}
	return out
}

// waitingOnTime returns the number of waiting requests that can meet their target, and of those that wait at
// endpoints that can't be heard, by service and class. mu must be held.
func (st *State) waitingOnTime() map[string][]int {
	out := map[string][]int{}
	st.addSilent(out)
	if st.queue.Waiting() == 0 {
		return out
	}
	for _, w := range st.waiters {
		if w.queued && !w.late {
			name := w.req.Service.Name
			out[name] = addClass(out[name], w.req.Class)
		}
	}
	return out
}

// addClass counts one more request of a class.
func addClass(byClass []int, c routing.Class) []int {
	c = min(max(c, 0), routing.MaxClass)
	for len(byClass) <= int(c) {
		byClass = append(byClass, 0)
	}
	byClass[c]++
	return byClass
}

// excludeBeyondQuota excludes endpoints of whose free slots this entry has already taken its quota, and
// reports whether there are any that were not excluded before.
//
// When requests wait at each entry of a fleet and an endpoint has free slots again, because it ends
// a stream or is no longer slow, all entries learn of it at the same moment. Without quotas each
// would fill all the slots; one endpoint was seen with 23 queued requests while others had none.
func (st *State) excludeBeyondQuota(service *routing.Service, q *placement.Query, now time.Time) bool {
	s := st.serviceQuota(service, now)
	if !s.limited {
		return false
	}
	otherwise := q.Excluded
	q.Excluded = slices.Grow(q.Excluded, len(s.left))
	for id, left := range s.left {
		if left <= 0 && !slices.Contains(otherwise, id) {
			q.Excluded = append(q.Excluded, id)
		}
	}
	if len(q.Excluded) == len(otherwise) {
		return false
	}
	// No report need arrive until this entry has a quota.
	st.dispatchBy(s.computedAt.Add(quotaPeriod))
	return true
}

// dispatchBy has waiting requests dispatched at the given time at the latest.
func (st *State) dispatchBy(at time.Time) {
	if st.nextShareAt.IsZero() || at.Before(st.nextShareAt) {
		st.nextShareAt = at
	}
}

// serviceQuota returns this entry's present quota of the endpoints of a service.
func (st *State) serviceQuota(service *routing.Service, now time.Time) *serviceQuota {
	s, period := st.quotas.forService(service.Name), st.clock.period(now)
	if s.isCurrent(period, now) {
		return s
	}
	s.computedAt, s.period, s.stale = now, period, false
	st.collectClaims(service.Name, now)
	s.limited = st.isContended(service.Name)
	if !s.limited {
		return s
	}
	st.collectFreeSlots(service, now)
	st.computeShares(period, now)
	clear(s.left)
	for i, id := range st.quotas.ids {
		s.left[id] = st.quotas.shares[i] - st.quotas.unreported[id]
	}
	return s
}

// collectClaims fills the view with the waiting requests of all entries that report, this one's first
// if it has reported.
func (st *State) collectClaims(service string, now time.Time) {
	v := &st.quotas.view
	v.Claims = v.Claims[:0]
	hasClasses := st.table != nil && st.table.HasClasses(service)
	if st.quotas.reported != nil {
		v.Claims = append(v.Claims, newClaim(st.Name, st.quotas.reported[service], hasClasses))
	}
	for name, l := range st.entryLoads {
		if now.Sub(l.At) < maxEntryLoadAge {
			v.Claims = append(v.Claims, newClaim(name, l.WaitingByClass[service], hasClasses))
		}
	}
}

// newClaim returns the claim of an entry. For a service without classes all its requests are of one
// class, also if they were reported by an entry that knows no classes.
func newClaim(entry string, byClass []int, hasClasses bool) slotshare.Claim {
	if !hasClasses && len(byClass) > 1 {
		total := 0
		for _, n := range byClass {
			total += n
		}
		byClass = []int{total}
	}
	return slotshare.Claim{Entry: entry, ByClass: byClass}
}

// isContended reports whether other entries may want free slots of a service, by the collected claims:
// one of them has waiting requests, or the service has classes and no entry reports.
func (st *State) isContended(service string) bool {
	heard := false
	for _, c := range st.quotas.view.Claims {
		if c.Entry == st.Name {
			continue
		}
		heard = true
		for _, n := range c.ByClass {
			if n > 0 {
				return true
			}
		}
	}
	return !heard && st.listedEntries() > 1 && st.table != nil && st.table.HasClasses(service)
}

// collectFreeSlots fills the view with the slots of a service's endpoints that were free at this
// entry's last report, as it has claimed slots for the requests that it has started since. Cold
// endpoints are left out: their rate is divided by coldShares.
func (st *State) collectFreeSlots(service *routing.Service, now time.Time) {
	t := &st.quotas
	t.ids, t.view.Endpoints = t.ids[:0], t.view.Endpoints[:0]
	for id, ep := range st.endpoints {
		if ep.Service != service.Name || service.ColdRate > 0 && ep.ColdAt(now) {
			continue
		}
		t.ids = append(t.ids, id)
		t.view.Endpoints = append(t.view.Endpoints, slotshare.Endpoint{ID: id, Free: st.freeSlots(ep, now)})
	}
}

// freeSlots returns the number of an endpoint's free slots for collectFreeSlots. An endpoint that takes
// no requests has none: claims that own its slots would own none of another one.
func (st *State) freeSlots(ep directory.Endpoint, now time.Time) int {
	if st.isClosed(ep.ID, now) || st.rests.left(ep, now) > 0 || st.avoids(ep.ID, now) {
		return 0
	}
	allowance, _ := st.endpointCapacity(ep)
	running, _ := st.running(ep, now)
	return allowance - running + st.quotas.unreported[ep.ID]
}

// computeShares fills shares with this entry's quota of each endpoint in the view. An entry that no
// other one knows to have waiting requests, because it has not reported yet or hears of none, has its
// equal share.
func (st *State) computeShares(period uint64, now time.Time) {
	t := &st.quotas
	if t.reported != nil && len(t.view.Claims) > 1 {
		t.view.Period = period
		t.shares = t.allocator.Own(t.view, st.Name, t.shares[:0])
		return
	}
	n := st.countEntries(now)
	i := int(slotshare.Turn(st.Name, 0) % uint64(n))
	t.shares = t.shares[:0]
	for _, ep := range t.view.Endpoints {
		t.shares = append(t.shares, slotshare.Part(ep.Free, i, n, slotshare.Turn(ep.ID, period)))
	}
}
