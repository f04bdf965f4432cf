package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

// SetLoads stores load reports that are newer than the known ones.
func (b *Belief) SetLoads(loads []Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range loads {
		ep, ok := b.addresses[l.Address]
		if old, known := b.loads[ep.ID]; !ok || known && !l.At.After(old.At) {
			continue
		}
		b.loads[ep.ID] = l
		if l.Closed {
			b.outages.markDown(ep.Service, now)
		}
		b.updateReport(ep, now)
	}
	b.refresh(now)
	b.moveOffSlowEngines(now)
	b.dispatchWaiting(now)
}

// SetWorks stores other entries' reports of their work. It ignores reports that are older than the
// known ones.
func (b *Belief) SetWorks(works []Work, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := map[string]bool{}
	for _, w := range works {
		old, ok := b.works[w.Entry]
		if ok && (w.Born < old.Born || w.Born == old.Born && w.Number <= old.Number) {
			continue
		}
		b.works[w.Entry] = w
		b.addWork(old, -1)
		b.addWork(w, 1)
		markDifferences(changed, old.Running, w.Running)
		markDifferences(changed, w.Running, old.Running)
	}
	for id := range changed {
		if ep, ok := b.endpoints[id]; ok {
			b.updateReport(ep, now)
		}
	}
	b.dispatchWaiting(now)
}

// Informers returns the number of other entries whose work is known.
func (b *Belief) Informers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.works)
}

// addWork adds an entry's requests to othersRunning, or subtracts them if sign is -1.
func (b *Belief) addWork(w Work, sign int) {
	for id, n := range w.Running {
		if b.othersRunning[id] += sign * n; b.othersRunning[id] == 0 {
			delete(b.othersRunning, id)
		}
	}
}

// removeWork deletes the report of an entry.
func (b *Belief) removeWork(entry string) {
	b.addWork(b.works[entry], -1)
	delete(b.works, entry)
}

// removeStaleWorks deletes reports older than maxWorkAge.
func (b *Belief) removeStaleWorks(now time.Time) {
	for name, w := range b.works {
		if now.Sub(w.At) >= maxWorkAge {
			b.removeWork(name)
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
func (b *Belief) endpointCapacity(ep directory.Endpoint) (allowance, capacity int) {
	slots := ep.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	if b.table == nil {
		return slots, slots
	}
	if s := b.table.Service(ep.Service); s != nil && s.Engine != nil {
		n := min(slots, batch.MostWriters(s.Engine, b.maxPauses[ep.Service]))
		return b.slowAllowance(ep, n), n
	}
	return slots + extraQueue, slots
}

// slowAllowance reduces the allowance n of an endpoint that is slower than others of its service.
//
// When one rank of a group that runs in lockstep becomes slow, every pass waits for it. The streams
// of all ranks are late, and nothing that an entry measures shows which rank it is. The slow rank
// holds up the others least when it has no requests of its own.
func (b *Belief) slowAllowance(ep directory.Endpoint, n int) int {
	pace, fastest := b.paces(ep)
	if pace/fastest < batch.SlowFrom {
		return n
	}
	return int(float64(n) * (fastest / pace) * (fastest / pace))
}

// paces returns the slowdown factor of an endpoint and the lowest one of its service. Both are 1
// for an endpoint that is not slow, which is the usual case, so that a report seldom has to look at
// all other endpoints.
func (b *Belief) paces(ep directory.Endpoint) (pace, fastest float64) {
	pace = b.loads[ep.ID].Pace
	if pace < batch.SlowFrom {
		return 1, 1
	}
	fastest = pace
	for _, other := range b.endpoints {
		if other.Service == ep.Service {
			fastest = min(fastest, max(1, b.loads[other.ID].Pace))
		}
	}
	return pace, fastest
}

// running returns how many requests an endpoint has from all entries, and as of when: the number
// according to the entries' reports, or according to a process beside the endpoint if that is
// larger, as it may know of entries that are cut off from this one.
func (b *Belief) running(ep directory.Endpoint, now time.Time) (int, time.Time) {
	n, reporters := b.ownRunning[ep.ID]+b.othersRunning[ep.ID], len(b.works)
	l, ok := b.loads[ep.ID]
	if !ok || now.Sub(l.At) >= maxLoadAge || reporters+1 >= len(b.entries) && reporters > 0 {
		return n, now
	}
	if reported := l.Running + l.Queued; reporters == 0 || reported > n {
		return reported, l.At
	}
	return n, now
}

// refresh updates endpoints, addresses and the selector from the directory.
func (b *Belief) refresh(now time.Time) {
	if !b.dirty && now.Sub(b.refreshedAt) < reportInterval && !b.dir.RetentionExpired(now) {
		return
	}
	b.dirty, b.refreshedAt = false, now
	b.removeStaleWorks(now)
	usable, addresses := map[string]directory.Endpoint{}, map[string]directory.Endpoint{}
	for _, ep := range b.dir.Endpoints(now) {
		usable[ep.ID], addresses[ep.Address] = ep, ep
		b.updateReport(ep, now)
	}
	for id := range b.endpoints {
		if _, ok := usable[id]; !ok {
			b.selector.Remove(id)
			b.coldShares.Forget(id)
			b.limitShares.Forget(id)
			delete(b.loads, id)
			delete(b.failures, id)
			b.limits.remove(id)
			delete(b.recentStarts.starts, id)
		}
	}
	b.endpoints, b.addresses = usable, addresses
}

// updateReport gives the selector a load report for one endpoint.
func (b *Belief) updateReport(ep directory.Endpoint, now time.Time) {
	r := placement.Report{
		Endpoint: ep.ID, Incarnation: ep.StartMillis, DataCentre: ep.DataCentre, Routes: []string{ep.Service},
	}
	r.Allowance, r.Capacity = b.endpointCapacity(ep)
	r.Running, r.At = b.running(ep, now)
	b.selector.Update(r, now)
}
