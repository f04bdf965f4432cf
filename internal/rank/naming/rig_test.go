package naming

import (
	"testing"
	"time"
)

// rig is a group of two without faults of its own: messages arrive at once
// unless a test holds them back.
type rig struct {
	*world
	t *testing.T
	// back holds the orders that a test held back.
	back []Send
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{world: newWorld(1, 2), t: t}
	r.faults = false
	r.run(5)
	return r
}

// run lets members and ranks go on, without leaders.
func (r *rig) run(ticks int) {
	for range ticks {
		for i, m := range r.members {
			for _, o := range m.Tick(r.engines[i].EngineState) {
				r.engines[i].order(o)
			}
			if j, ask := m.Joins(); ask {
				m.HandleJoining(r.members[1-i].HandleJoin(j))
			}
		}
		for i := range r.members {
			r.begin(i)
		}
	}
}

func (r *rig) leader(token uint64) *Leader {
	l := &Leader{
		Members: 2, Token: token, Resend: tick, Refresh: tick, HoldTime: 10 * tick, Margin: 8,
	}
	l.Extend(r.now.Add(time.Hour))
	return l
}

// drive lets a leader act for some ticks. Orders for which back holds are not
// sent but kept, and so is a write when late is set.
func (r *rig) drive(l *Leader, ticks int, back func(Send) bool, write func(WriteRecord) WriteOutcome) {
	for range ticks {
		r.now = r.now.Add(tick)
		for _, a := range l.Step(r.now) {
			switch a := a.(type) {
			case ReadRecord:
				l.HandleRecord(r.kv.record, r.kv.revision, !r.kv.down)
			case WriteRecord:
				l.HandleWritten(write(a))
			case Send:
				if back != nil && back(a) {
					r.back = append(r.back, a)
				} else {
					l.HandleState(r.give(a), r.now)
				}
			}
		}
		r.run(1)
	}
}

func (r *rig) give(s Send) State {
	state, _ := r.members[s.To].Handle(s.Order)
	return state
}

// deliver gives all orders that were held back.
func (r *rig) deliver() {
	for _, s := range r.back {
		r.give(s)
	}
	r.back = nil
}

func (r *rig) write(w WriteRecord) WriteOutcome {
	if w.Revision != r.kv.revision {
		return NotWritten
	}
	r.kv.record = w.Record
	r.kv.revision++
	return Written
}

// begun brings version 1 into force and returns the group and its leader.
func begun(t *testing.T) (*rig, *Leader) {
	t.Helper()
	r := newRig(t)
	a := r.leader(1)
	a.Propose(testMap(1))
	r.drive(a, 40, nil, r.write)
	r.assertInForce(1)
	return r, a
}

func (r *rig) assertInForce(version uint64) {
	r.t.Helper()
	for i, m := range r.members {
		if got := latest(m.State().Schedule).Map.Version; got != version {
			r.t.Fatalf("member %d runs on version %d, want %d", i, got, version)
		}
	}
}

func (r *rig) assertOneMap() {
	r.t.Helper()
	for _, v := range r.violations {
		r.t.Error(v)
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
