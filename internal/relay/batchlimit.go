package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/concurrency"
)

// batchCountInterval is how often the running requests of groups are counted for their batch
// limits. It is about the duration of a pass.
const batchCountInterval = 100 * time.Millisecond

// batchLimits holds the adaptive batch limits of the groups of services with classes.
type batchLimits struct {
	// groups holds the limit of each endpoint's group, by endpoint ID.
	groups map[string]*groupLimit
	// countedAt is when running requests were last counted.
	countedAt time.Time
}

// groupLimit is the batch limit of a group. running is the number of its requests and engines that
// of its endpoints, as of the last count.
type groupLimit struct {
	*concurrency.Limit

	running, engines int
}

// decoding returns the mean number of requests that an engine of the group runs.
func (g *groupLimit) decoding() float64 {
	if g.engines == 0 {
		return 0
	}
	return float64(g.running) / float64(g.engines)
}

// ObservePauses records two successive pauses between events of an attempt's stream. A new limit takes
// effect with the next load report of the endpoint, ten times per second, or else within
// reportInterval.
func (st *State) ObservePauses(assigned Assignment, previous, pause time.Duration, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	g := st.batchLimits.groups[assigned.Endpoint.ID]
	if g == nil {
		return
	}
	st.countBatches(now)
	g.Observe(previous, pause, g.decoding(), now)
	g.Advance(now)
}

// countBatches counts the running requests of all groups with a batch limit, unless that was done
// within batchCountInterval.
func (st *State) countBatches(now time.Time) {
	b := &st.batchLimits
	if now.Sub(b.countedAt) < batchCountInterval {
		return
	}
	b.countedAt = now
	for _, g := range b.groups {
		g.running, g.engines = 0, 0
	}
	for id, g := range b.groups {
		n, _ := st.running(st.endpoints[id], now)
		g.running += n
		g.engines++
	}
}

// batchBounds returns the bounds of the batch limit of a service's groups. Services without classes
// have none.
func (st *State) batchBounds(service string) (concurrency.Bounds, bool) {
	if st.table == nil || !st.table.HasClasses(service) {
		return concurrency.Bounds{}, false
	}
	s := st.table.Service(service)
	if s == nil || s.Engine == nil || st.maxGaps[service] <= 0 {
		return concurrency.Bounds{}, false
	}
	return concurrency.NewBounds(s.Engine, st.maxGaps[service]), true
}

// joinGroup assigns an endpoint the batch limit of its group: that of another endpoint with the same
// group identifier, or else present, or else a new one without history. Endpoints of services without
// batch limits are assigned none.
func (st *State) joinGroup(ep directory.Endpoint, present *groupLimit) {
	bounds, ok := st.batchBounds(ep.Service)
	if !ok {
		return
	}
	b := &st.batchLimits
	if b.groups == nil {
		b.groups = map[string]*groupLimit{}
	}
	for id, other := range b.groups {
		if id != ep.ID && st.endpoints[id].Service == ep.Service && st.loads[id].Group == st.loads[ep.ID].Group {
			b.groups[ep.ID] = other
			return
		}
	}
	if present == nil {
		present = &groupLimit{Limit: concurrency.New(bounds)}
	}
	b.groups[ep.ID] = present
}

// joinGroups assigns batch limits to the endpoints of open groups that have none.
func (st *State) joinGroups() {
	for id, ep := range st.endpoints {
		if st.batchLimits.groups[id] == nil && !st.loads[id].Closed {
			st.joinGroup(ep, nil)
		}
	}
}

// noteGroup follows a change of the load report of an endpoint. A group that closes loses its
// history: when it opens again, its engines may hold other expert maps.
//
// The group identifier changes when a leader's report lacks a rank for a moment. The limit must not
// be lost then: for as long as the group stays open, it remains that of the same engines. Engines
// whose groups were unknown may belong to different ones.
func (st *State) noteGroup(ep directory.Endpoint, old, l EndpointLoad) {
	switch {
	case l.Closed:
		delete(st.batchLimits.groups, ep.ID)
	case old.Group == 0 && l.Group != 0:
		st.joinGroup(ep, nil)
	case l.Group != old.Group:
		st.joinGroup(ep, st.batchLimits.groups[ep.ID])
	}
}

// configureBatchLimits applies a new configuration to the batch limits.
func (st *State) configureBatchLimits() {
	for id, g := range st.batchLimits.groups {
		bounds, ok := st.batchBounds(st.endpoints[id].Service)
		if !ok {
			delete(st.batchLimits.groups, id)
			continue
		}
		g.Configure(bounds)
	}
}

// advanceBatchLimits brings all batch limits up to date, also those of groups without observations.
func (st *State) advanceBatchLimits(now time.Time) {
	for _, g := range st.batchLimits.groups {
		g.Advance(now)
	}
}

// batchLimit returns the batch limit of an endpoint, which is at most n.
func (st *State) batchLimit(ep directory.Endpoint, n int) int {
	if g := st.batchLimits.groups[ep.ID]; g != nil {
		return min(n, g.Requests())
	}
	return n
}
