package ranker

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// loadsEvery is how often entries are told of the engines' work. A request lasts a
// second or two.
const loadsEvery = 100 * time.Millisecond

// loadTeller tells entries of the engines' work.
//
// Load: 129 engines and 150 entries, and a leader with a line of 6 Mbit/s. Told to
// each entry ten times a second, engine by engine with its address, the loads took
// 40 Mbit/s. Harm prevented: nothing else passed the line, no look saw all ranks,
// and the group never got a map. One entry of each data centre is told now, in half
// a kilobyte, and tells the others.
type loadTeller struct {
	// tree says which entry of a data centre is told.
	tree fanout.Tree
	// told is when entries were last told, and closed whether the group was then.
	told   time.Time
	closed bool
	// known is which engines each entry has been told.
	known fleet.Told
}

func newLoadTeller() loadTeller {
	return loadTeller{tree: fanout.Tree{Direct: fanout.FewEntries, Most: fanout.BunchEntries}}
}

// due reports whether entries are told now. That a group opens or closes is told at
// once: requests wait for it.
func (l *loadTeller) due(closed bool, now time.Time) bool {
	if now.Sub(l.told) < loadsEvery && closed == l.closed {
		return false
	}
	l.told, l.closed = now, closed
	return true
}

// loadsOf describes the work of engines, in the order of their ranks. Whole says
// that no rank is missing.
func loadsOf(looks []found, whole bool) *fleetpb.LoadsRequest {
	sorted := slices.SortedFunc(slices.Values(looks), func(a, b found) int { return a.state.Rank - b.state.Rank })
	closed := isClosed(looks)
	q := &fleetpb.LoadsRequest{Closed: closed, Forming: closed && whole}
	slow := false
	for _, l := range sorted {
		q.Targets = append(q.Targets, &fleetpb.Target{Endpoint: l.address})
		q.Running = append(q.Running, uint32(l.state.Running))
		q.Queued = append(q.Queued, uint32(l.state.Queued))
		q.Pace = append(q.Pace, uint32(100*l.state.Pace))
		slow = slow || l.state.Pace > 1
	}
	if !slow {
		q.Pace = nil
	}
	q.List = fleet.ListName(q.Targets)
	return q
}

func isClosed(looks []found) bool {
	return slices.ContainsFunc(looks, func(f found) bool { return !f.state.Open })
}

// tellEntries tells entries how much work the engines have, and whether their group
// takes requests. Whole says that no rank is missing.
func (t *term) tellEntries(ctx context.Context, entries []fleet.Member, looks []found, whole bool, now time.Time) {
	if !t.loads.due(isClosed(looks), now) {
		return
	}
	q := loadsOf(looks, whole)
	for _, b := range t.loads.tree.Bunches(entries) {
		go t.tellEntry(ctx, t.loads.tree.Delegate(b), q, len(b) > 1)
	}
}

// tellEntry tells one entry, which tells the others of its data centre with forward.
func (t *term) tellEntry(ctx context.Context, m fleet.Member, loads *fleetpb.LoadsRequest, forward bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := t.ranker.conns.Get(m.Address)
	if err != nil {
		return
	}
	q := &fleetpb.LoadsRequest{
		List: loads.List, Targets: loads.Targets, Running: loads.Running, Queued: loads.Queued,
		Pace: loads.Pace, Closed: loads.Closed, Forming: loads.Forming, Forward: forward,
	}
	if t.loads.known.Knows(m.Name, q.List) {
		q.Targets = nil
	}
	p, err := fleetpb.NewEntryClient(conn).Loads(ctx, q)
	switch {
	case err != nil:
		t.loads.known.Forget(m.Name)
		t.loads.tree.Failed(m.Name, boottime.Now())
		t.ranker.conns.DropSilent(m.Address)
		t.ranker.Log.WithFields(logrus.Fields{"entry": m.Name, "cause": err.Error()}).Debug("loads not told")
	case p.GetUnknownList():
		t.loads.known.Forget(m.Name)
	}
}
