package naming

import (
	"testing"
	"time"
)

// testGroup is a group of two members without random faults. Messages are
// delivered at once unless a test holds them back.
type testGroup struct {
	*simulation
	t *testing.T
	// heldBack holds the orders that a test held back.
	heldBack []Send
}

func newTestGroup(t *testing.T) *testGroup {
	t.Helper()
	g := &testGroup{simulation: newSimulation(1, 2), t: t}
	g.faults = false
	g.runMembers(5)
	return g
}

// runMembers advances members and ranks by the given number of ticks, without
// leaders.
func (g *testGroup) runMembers(ticks int) {
	for range ticks {
		for i, m := range g.members {
			for _, o := range m.Tick(g.engines[i].EngineState) {
				g.engines[i].apply(o)
			}
			if j, ask := m.JoinRequest(); ask {
				m.HandleJoinReply(g.members[1-i].HandleJoin(j))
			}
		}
		for i := range g.members {
			g.startStep(i)
		}
	}
}

func (g *testGroup) leader(token uint64) *Leader {
	l := &Leader{
		Members: 2, Token: token, ResendInterval: tick, RefreshInterval: tick, HoldTime: 10 * tick, StepMargin: 8,
	}
	l.ExtendLease(g.now.Add(time.Hour))
	return l
}

// runLeader advances a leader, the members and the ranks by the given number of
// ticks. Orders for which holdBack returns true are kept in heldBack. Writes of
// the record are passed to write.
func (g *testGroup) runLeader(l *Leader, ticks int, holdBack func(Send) bool, write func(WriteRecord) WriteOutcome) {
	for range ticks {
		g.now = g.now.Add(tick)
		for _, a := range l.Tick(g.now) {
			switch a := a.(type) {
			case ReadRecord:
				l.HandleRecord(g.kv.record, g.kv.revision, !g.kv.down)
			case WriteRecord:
				l.HandleWritten(write(a))
			case Send:
				if holdBack != nil && holdBack(a) {
					g.heldBack = append(g.heldBack, a)
				} else {
					l.HandleState(g.deliver(a), g.now)
				}
			}
		}
		g.runMembers(1)
	}
}

func (g *testGroup) deliver(s Send) State {
	state, _ := g.members[s.To].Handle(s.Order)
	return state
}

// deliverHeldBack delivers all orders that were held back.
func (g *testGroup) deliverHeldBack() {
	for _, s := range g.heldBack {
		g.deliver(s)
	}
	g.heldBack = nil
}

func (g *testGroup) writeRecord(w WriteRecord) WriteOutcome {
	if w.Revision != g.kv.revision {
		return NotWritten
	}
	g.kv.record = w.Record
	g.kv.revision++
	return Written
}

// newActiveGroup returns a group in which version 1 is active, and its leader.
func newActiveGroup(t *testing.T) (*testGroup, *Leader) {
	t.Helper()
	g := newTestGroup(t)
	a := g.leader(1)
	a.Propose(testMap(1))
	g.runLeader(a, 40, nil, g.writeRecord)
	g.assertLatestVersion(1)
	return g, a
}

func (g *testGroup) assertLatestVersion(version uint64) {
	g.t.Helper()
	for i, m := range g.members {
		if got := latestEntry(m.State().Schedule).Map.Version; got != version {
			g.t.Fatalf("newest version of member %d is %d, want %d", i, got, version)
		}
	}
}

func (g *testGroup) assertOneMap() {
	g.t.Helper()
	for _, v := range g.violations {
		g.t.Error(v)
	}
}

func isAbandon(s Send) bool {
	_, ok := s.Order.(Abandon)
	return ok
}

func releaseTo(i int) func(Send) bool {
	return func(s Send) bool {
		_, ok := s.Order.(Release)
		return ok && s.To == i
	}
}
