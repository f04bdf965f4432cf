package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

// SetLoads stores load reports that are newer than the known ones.
func (st *State) SetLoads(loads []EndpointLoad, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recordSightings(loads)
	for _, l := range loads {
		ep, ok := st.addresses[l.Address]
		old, known := st.loads[ep.ID]
		if !ok || known && !l.At.After(old.At) {
			continue
		}
		st.loads[ep.ID] = l
		st.noteGroup(ep, old, l)
		if l.Closed {
			st.outages.markDown(ep.Service, now)
		}
		st.updateReport(ep, now)
	}
	st.quotas.markStale()
	st.refresh(now)
	st.moveOffSlowEngines(now)
	st.dispatchWaiting(now)
}

// recordSightings records which endpoints the leader of a group has seen, according to a report that is
// newer than the known ones.
func (st *State) recordSightings(loads []EndpointLoad) {
	var ids []string
	for _, l := range loads {
		ep, ok := st.addresses[l.Address]
		if ok && l.At.After(st.loads[ep.ID].At) {
			ids = append(ids, ep.ID)
		}
	}
	if len(ids) > 0 {
		st.silences.sightings.record(ids, loads[0].At)
		st.recordStand(ids, loads[0])
	}
}

// SetEntryLoads stores other entries' reports of their work. It ignores reports that are older than
// the known ones.
func (st *State) SetEntryLoads(entryLoads []EntryLoad, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	changed := map[string]bool{}
	for _, l := range entryLoads {
		old, ok := st.entryLoads[l.Entry]
		if ok && (l.Incarnation < old.Incarnation || l.Incarnation == old.Incarnation && l.Sequence <= old.Sequence) {
			continue
		}
		st.entryLoads[l.Entry] = l
		st.clock.observe(l)
		st.addEntryLoad(old, -1)
		st.addEntryLoad(l, 1)
		markDifferences(changed, old.Running, l.Running)
		markDifferences(changed, l.Running, old.Running)
	}
	st.quotas.markStale()
	for id := range changed {
		if ep, ok := st.endpoints[id]; ok {
			st.updateReport(ep, now)
		}
	}
	st.dispatchWaiting(now)
}

// ReportingEntries returns the number of other entries whose work is known.
func (st *State) ReportingEntries() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.entryLoads)
}

// addEntryLoad adds an entry's requests to othersRunning, or subtracts them if sign is -1.
func (st *State) addEntryLoad(l EntryLoad, sign int) {
	for id, n := range l.Running {
		if st.othersRunning[id] += sign * n; st.othersRunning[id] == 0 {
			delete(st.othersRunning, id)
		}
	}
}

// removeEntryLoad deletes the report of an entry.
func (st *State) removeEntryLoad(entry string) {
	st.addEntryLoad(st.entryLoads[entry], -1)
	delete(st.entryLoads, entry)
}

// removeStaleEntryLoads deletes reports older than maxEntryLoadAge.
func (st *State) removeStaleEntryLoads(now time.Time) {
	for name, l := range st.entryLoads {
		if now.Sub(l.At) >= maxEntryLoadAge {
			st.removeEntryLoad(name)
		}
	}
}

// markDifferences adds to changed the endpoints in counts whose number differs in other.
func markDifferences(changed map[string]bool, counts, other map[string]int) {
	for id, n := range counts {
		if other[id] != n {
			changed[id] = true
		}
	}
}

// endpointCapacity returns how many requests an endpoint may run at once, and the capacity relative
// to which its load is measured.
func (st *State) endpointCapacity(ep directory.Endpoint) (allowance, capacity int) {
	slots := ep.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	if st.table == nil {
		return slots, slots
	}
	if s := st.table.Service(ep.Service); s != nil && s.Engine != nil {
		n := st.batchLimit(ep, min(slots, batch.MaxBatch(s.Engine, st.maxGaps[ep.Service])))
		return st.slowAllowance(ep, n), n
	}
	return slots + extraQueue, slots
}

// slowAllowance reduces the allowance n of an endpoint that is slower than others of its service.
//
// When one rank of a group that runs in lockstep becomes slow, every pass waits for it. The streams
// of all ranks are late, and nothing that an entry measures shows which rank it is. The slow rank
// holds up the others least when it has no requests of its own.
func (st *State) slowAllowance(ep directory.Endpoint, n int) int {
	slowdown, fastest := st.slowdowns(ep)
	if slowdown/fastest < batch.SlowdownThreshold {
		return n
	}
	return int(float64(n) * (fastest / slowdown) * (fastest / slowdown))
}

// slowdowns returns the slowdown factor of an endpoint and the lowest one of its service. Both are
// 1 for an endpoint that is not slow, which is the usual case, so that a report seldom has to look
// at all other endpoints.
func (st *State) slowdowns(ep directory.Endpoint) (slowdown, fastest float64) {
	slowdown = st.loads[ep.ID].Slowdown
	if slowdown < batch.SlowdownThreshold {
		return 1, 1
	}
	fastest = slowdown
	for _, other := range st.endpoints {
		if other.Service == ep.Service {
			fastest = min(fastest, max(1, st.loads[other.ID].Slowdown))
		}
	}
	return slowdown, fastest
}

// running returns how many requests an endpoint has from all entries, and as of when. The number
// comes from the entries' reports. While some entries do not report, the number that a process
// beside the endpoint reports is used if it is larger, as that process may know of entries that are
// cut off from this one; if no other entry reports, it is used in any case.
func (st *State) running(ep directory.Endpoint, now time.Time) (int, time.Time) {
	n, reporters := st.ownRunning[ep.ID]+st.othersRunning[ep.ID], len(st.entryLoads)
	l, ok := st.loads[ep.ID]
	if !ok || now.Sub(l.At) >= maxLoadAge || reporters+1 >= len(st.entries) && reporters > 0 {
		return n, now
	}
	if reported := l.Running + l.Queued; reporters == 0 || reported > n {
		return reported, l.At
	}
	return n, now
}

// refresh updates endpoints, addresses and the balancer from the directory.
func (st *State) refresh(now time.Time) {
	if !st.dirty && now.Sub(st.refreshedAt) < reportInterval && !st.dir.RetentionExpired(now) {
		return
	}
	st.dirty, st.refreshedAt = false, now
	st.removeStaleEntryLoads(now)
	st.rests.expire(now)
	st.limits.expire(now)
	st.expireCases(now)
	st.advanceBatchLimits(now)
	usable, addresses := map[string]directory.Endpoint{}, map[string]directory.Endpoint{}
	for _, ep := range st.dir.Endpoints(now) {
		usable[ep.ID], addresses[ep.Address] = ep, ep
		st.updateReport(ep, now)
	}
	for id := range st.endpoints {
		if _, ok := usable[id]; !ok {
			st.balancer.Remove(id)
			st.coldShares.Forget(id)
			delete(st.loads, id)
			delete(st.failures, id)
			delete(st.batchLimits.groups, id)
			st.refusing.forget(id)
			st.forgetSilence(id)
			delete(st.quotas.unreported, id)
		}
	}
	st.endpoints, st.addresses = usable, addresses
	st.quotas.markStale()
	st.joinGroups()
	st.refreshDemands(now)
	st.limitShares.Retain(func(id string) bool { return st.limits.newest[id] != (RateLimit{}) })
}

// updateReport gives the balancer a load report for one endpoint.
func (st *State) updateReport(ep directory.Endpoint, now time.Time) {
	r := placement.Report{
		Endpoint: ep.ID, Incarnation: ep.StartMillis, DataCentre: ep.DataCentre, Routes: []string{ep.Service},
	}
	r.Allowance, r.Capacity = st.endpointCapacity(ep)
	r.Running, r.ValidAt = st.running(ep, now)
	st.balancer.Update(r, now)
}
