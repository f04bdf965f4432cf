package frontend

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

const (
	// passEach is the least time between two messages to the entries of the own
	// data centre, for each of them: so many messages a hub's core bears.
	passEach = 5 * time.Millisecond
	// farTimes is how many times more seldom other data centres are told: bytes
	// on the way there are dear, and what is heard late is made up for by the
	// reports of engines.
	farTimes = 4
)

// hub gathers what entries tell of their work and passes it on: to the other entries
// of the data centre, and to one entry of each other data centre, which passes it on
// there.
//
// Load: 150 entries in five data centres, of which each tells all others. Harm
// prevented: 30,000 messages a second take more of the entries' cores than their
// callers' requests, and most of the bytes between data centres. Any entry passes on
// what it is told to, so nothing has to be agreed on.
type hub struct {
	woken wake.Signal

	mu sync.Mutex // guards near and far
	// near and far hold what the own and the other data centres are still to be
	// told, the newest of each entry.
	near, far map[string]passed
}

// passed is the work of an entry that is passed on, and when it was so.
type passed struct {
	work *fleetpb.EntryWork
	at   time.Time
}

// add takes in what is to be passed on.
func (h *hub) add(w *fleetpb.EntryWork, to fleetpb.Passing, now time.Time) {
	if to == fleetpb.Passing_NOBODY {
		return
	}
	p := passed{work: w, at: now.Add(-time.Duration(w.GetAgeMicros()) * time.Microsecond)}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.near = keepNewest(h.near, p)
	if to == fleetpb.Passing_ALL {
		h.far = keepNewest(h.far, p)
	}
	h.woken.Raise()
}

// keepNewest puts what an entry told in the place of what it told before.
func keepNewest(all map[string]passed, p passed) map[string]passed {
	if all == nil {
		all = map[string]passed{}
	}
	old, ok := all[p.work.GetName()]
	if !ok || newer(p.work, old.work) {
		all[p.work.GetName()] = p
	}
	return all
}

// newer reports whether an entry told a after b.
func newer(a, b *fleetpb.EntryWork) bool {
	return cmp.Or(cmp.Compare(a.GetBorn(), b.GetBorn()), cmp.Compare(a.GetNumber(), b.GetNumber())) > 0
}

// takeNear returns what the own data centre is to be told now, and takeFar the same
// for the others.
func (h *hub) takeNear(now time.Time) []*fleetpb.EntryWork { return h.take(&h.near, now) }
func (h *hub) takeFar(now time.Time) []*fleetpb.EntryWork  { return h.take(&h.far, now) }

// take empties near or far and returns what was in it.
func (h *hub) take(from *map[string]passed, now time.Time) []*fleetpb.EntryWork {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := aged(*from, now)
	*from = nil
	return out
}

// waits reports whether other data centres are still to be told of something.
func (h *hub) waits() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.far) > 0
}

// aged returns messages with their ages.
func aged(all map[string]passed, now time.Time) []*fleetpb.EntryWork {
	out := make([]*fleetpb.EntryWork, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		p := all[name]
		w := p.work
		out = append(out, &fleetpb.EntryWork{
			Name: w.GetName(), Born: w.GetBorn(), Number: w.GetNumber(), Works: w.GetWorks(), Waiting: w.GetWaiting(),
			Limits:    w.GetLimits(),
			AgeMicros: uint64(max(0, now.Sub(p.at).Microseconds())),
		})
	}
	return out
}

// passPause returns the time between two messages to so many entries of the own data
// centre.
func passPause(entries int) time.Duration { return max(tellEvery, time.Duration(entries)*passEach) }

// passOn passes on what the hub gathers, until ctx ends.
func (f *Frontend) passOn(ctx context.Context) error {
	var toldFar time.Time
	timer := time.NewTimer(tellAlways)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-f.hub.woken.Raised():
		case <-timer.C:
		}
		now := boottime.Now()
		near := f.others.near(f.Settings.DataCentre)
		rest := passPause(len(near))
		f.passNear(ctx, near, f.hub.takeNear(now))
		if now.Sub(toldFar) >= farTimes*rest {
			toldFar = now
			f.passFar(ctx, f.hub.takeFar(now))
		}
		timer.Reset(tellAlways)
		if f.hub.waits() {
			timer.Reset(farTimes * rest)
		}
		pause.For(ctx, rest)
	}
	return nil
}

// passNear tells the other entries of the data centre.
func (f *Frontend) passNear(ctx context.Context, near map[string]fleet.Member, works []*fleetpb.EntryWork) {
	if len(works) == 0 {
		return
	}
	q := &fleetpb.WorkRequest{Entries: works}
	for _, m := range near {
		f.work.send(ctx, m, q)
	}
}

// passFar tells one entry of each other data centre.
func (f *Frontend) passFar(ctx context.Context, works []*fleetpb.EntryWork) {
	if len(works) == 0 {
		return
	}
	q := &fleetpb.WorkRequest{Entries: works, To: fleetpb.Passing_DATA_CENTRE}
	for _, b := range f.work.tree.Bunches(f.others.far(f.Settings.DataCentre)) {
		f.work.send(ctx, f.work.tree.Delegate(b), q)
	}
}

// Work implements fleetpb.EntryServer.
func (s *service) Work(_ context.Context, q *fleetpb.WorkRequest) (*fleetpb.WorkReply, error) {
	f := s.frontend
	now := boottime.Now()
	works := make([]relay.Work, 0, len(q.GetEntries()))
	for _, e := range q.GetEntries() {
		f.hub.add(e, q.GetTo(), now)
		if e.GetName() != f.Settings.Name {
			f.hearLimits(e, now)
			works = append(works, workFrom(e, now))
		}
	}
	f.belief.SetWorks(works, now)
	return &fleetpb.WorkReply{}, nil
}

func workFrom(e *fleetpb.EntryWork, now time.Time) relay.Work {
	w := relay.Work{
		Entry: e.GetName(), Born: e.GetBorn(), Number: e.GetNumber(), Running: map[string]int{}, Waiting: e.GetWaiting(),
		At: now.Add(-time.Duration(e.GetAgeMicros()) * time.Microsecond),
	}
	for _, one := range e.GetWorks() {
		w.Running[one.GetEndpoint()] = int(one.GetRunning())
	}
	return w
}
