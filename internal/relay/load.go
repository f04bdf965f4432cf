package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

// SetLoads takes in load reports.
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
			b.outages.began(ep.Service, now)
		}
		b.tell(ep, now)
	}
	b.refresh(now)
	b.moveAway(now)
	b.pump(now)
}

// SetWorks takes in what other entries have given to endpoints. What is older than
// is known of an entry is left out.
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
		noteChanges(changed, old.Running, w.Running)
		noteChanges(changed, w.Running, old.Running)
	}
	for id := range changed {
		if ep, ok := b.endpoints[id]; ok {
			b.tell(ep, now)
		}
	}
	b.pump(now)
}

// Informers returns of how many other entries it is known what work they have given.
func (b *Belief) Informers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.works)
}

// addWork adds an entry's work to what all others have, or takes it off.
func (b *Belief) addWork(w Work, sign int) {
	for id, n := range w.Running {
		if b.given[id] += sign * n; b.given[id] == 0 {
			delete(b.given, id)
		}
	}
}

// dropWork forgets the work of an entry.
func (b *Belief) dropWork(entry string) {
	b.addWork(b.works[entry], -1)
	delete(b.works, entry)
}

// dropStaleWorks forgets the work of entries that have not told of it for long.
func (b *Belief) dropStaleWorks(now time.Time) {
	for name, w := range b.works {
		if now.Sub(w.At) >= workStale {
			b.dropWork(name)
		}
	}
}

// noteChanges notes the endpoints of one count that have another in the other.
func noteChanges(changed map[string]bool, counts, other map[string]int) {
	for id, n := range counts {
		if other[id] != n {
			changed[id] = true
		}
	}
}

// bears returns how many requests an endpoint is given at once, and by how many
// its load is measured.
func (b *Belief) bears(ep directory.Endpoint) (allowance, capacity int) {
	slots := ep.Slots
	if slots <= 0 {
		slots = plainSlots
	}
	if b.table == nil {
		return slots, slots
	}
	if s := b.table.Service(ep.Service); s != nil && s.Engine != nil {
		n := min(slots, batch.MostWriters(s.Engine, b.gaps[ep.Service]))
		return b.slowed(ep, n), n
	}
	return slots + queueBeyond, slots
}

// slowed returns how many of n requests an endpoint is given that works slower
// than the others of its service.
//
// The load is a group of ranks that run in lock-step, one of which turns slow:
// every pass waits for it, so the streams of all ranks are late, and nothing
// that an entry measures tells which one it is. Without requests of its own the
// slow rank holds up the others least.
func (b *Belief) slowed(ep directory.Endpoint, n int) int {
	pace, least := b.paces(ep)
	if pace/least < batch.SlowFrom {
		return n
	}
	return int(float64(n) * (least / pace) * (least / pace))
}

// paces returns how many times slower than usual an endpoint works, and the fastest
// of its service. Both are 1 for one that is not slow, which is nearly always, so
// that the others need not be looked at with each report.
func (b *Belief) paces(ep directory.Endpoint) (pace, least float64) {
	pace = b.loads[ep.ID].Pace
	if pace < batch.SlowFrom {
		return 1, 1
	}
	least = pace
	for _, other := range b.endpoints {
		if other.Service == ep.Service {
			least = min(least, max(1, b.loads[other.ID].Pace))
		}
	}
	return pace, least
}

// running returns how many requests an endpoint has from all entries: what they
// told of each other, or what a process beside the endpoint reported if that is
// more, as it may know of entries that are cut off from this one.
func (b *Belief) running(ep directory.Endpoint, now time.Time) (int, time.Time) {
	n, heard := b.own[ep.ID]+b.given[ep.ID], len(b.works)
	l, ok := b.loads[ep.ID]
	if !ok || now.Sub(l.At) >= loadStale || heard+1 >= len(b.entries) && heard > 0 {
		return n, now
	}
	if reported := l.Running + l.Queued; heard == 0 || reported > n {
		return reported, l.At
	}
	return n, now
}

// refresh brings the picture up to the directory.
func (b *Belief) refresh(now time.Time) {
	if !b.dirty && now.Sub(b.fed) < reportEvery && !b.dir.Lapsed(now) {
		return
	}
	b.dirty, b.fed = false, now
	b.dropStaleWorks(now)
	usable, addresses := map[string]directory.Endpoint{}, map[string]directory.Endpoint{}
	for _, ep := range b.dir.Endpoints(now) {
		usable[ep.ID], addresses[ep.Address] = ep, ep
		b.tell(ep, now)
	}
	for id := range b.endpoints {
		if _, ok := usable[id]; !ok {
			b.picture.Remove(id)
			b.cold.Forget(id)
			b.limited.Forget(id)
			delete(b.loads, id)
			delete(b.failures, id)
			b.limits.forget(id)
			delete(b.turns.starts, id)
		}
	}
	b.endpoints, b.addresses = usable, addresses
}

// tell gives the picture a report of one endpoint: what a process beside it
// last reported, or else this entry's own count.
func (b *Belief) tell(ep directory.Endpoint, now time.Time) {
	r := placement.Report{
		Endpoint: ep.ID, Incarnation: ep.Born, DataCentre: ep.DataCentre, Routes: []string{ep.Service},
	}
	r.Allowance, r.Capacity = b.bears(ep)
	r.Running, r.At = b.running(ep, now)
	b.picture.Update(r, now)
}
