package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// slowGroup is a state with four engines, each of which runs some movable streams of this entry.
type slowGroup struct {
	st       *State
	service  *routing.Service
	attempts []*movableAttempt
	// next holds the assignments of the attempts that are being moved, and order those attempts as their
	// moves began.
	next  map[*movableAttempt]Assignment
	order []*movableAttempt
}

func newSlowGroup(t *testing.T, streams int) *slowGroup {
	t.Helper()
	g := &slowGroup{
		st:   newState("me", &routing.Service{Name: "quotes", Engine: testEngine()}),
		next: map[*movableAttempt]Assignment{},
	}
	g.st.SetRetry(RetryBudget{Share: 0.2, Slack: 900, Window: 10 * time.Second})
	listEndpoints(g.st, 4, "quotes")
	g.service = g.st.Table().Service("quotes")
	for range streams {
		g.st.CountFirstAttempt("quotes", start)
		assigned, e := g.st.Choose(g.service, placement.Query{}, start)
		if e != nil {
			t.Fatal(e)
		}
		r := &movableAttempt{
			service: g.service, query: placement.Query{Excluded: []string{assigned.Endpoint.ID}}, assigned: assigned,
			deadline: start.Add(8 * time.Second),
		}
		r.begin = func(next Assignment, _ MoveReason) { g.next[r], g.order = next, append(g.order, r) }
		g.st.registerMovable(r)
		g.attempts = append(g.attempts, r)
	}
	return g
}

// report delivers load reports with the engines' slowdowns and the assigned requests.
func (g *slowGroup) report(now time.Time, slowdowns ...float64) {
	var loads []EndpointLoad
	for i, slowdown := range slowdowns {
		l := EndpointLoad{Address: fmt.Sprintf("10.0.0.%d:1", i), Slowdown: slowdown, At: now}
		for _, r := range g.attempts {
			if r.assigned.Endpoint.Address == l.Address && !r.moved {
				l.Running++
			}
		}
		loads = append(loads, l)
	}
	g.st.SetLoads(loads, now)
}

// moved returns how many streams were moved off and onto each engine.
func (g *slowGroup) moved(t *testing.T) (off, onto map[string]int) {
	t.Helper()
	off, onto = map[string]int{}, map[string]int{}
	for _, r := range g.attempts {
		next, begun := g.next[r]
		if begun != r.moved {
			t.Fatalf("moved is %v and begun %v", r.moved, begun)
		}
		if r.moved {
			off[r.assigned.Endpoint.ID]++
			onto[next.Endpoint.ID]++
		}
	}
	return off, onto
}

// One rank of a group is twelve times slower. With seven streams of its own, the passes of all
// ranks took 0.8 s instead of 0.07 s until those ended six seconds later. Guards against streams
// that stay there or move to another slow engine.
func TestStreamsAreMovedOffASlowEngine(t *testing.T) {
	g := newSlowGroup(t, 24)
	g.report(start, 1, 1, 12, 1)
	off, onto := g.moved(t)
	if len(off) != 1 || off["e2"] != 6 || onto["e2"] != 0 {
		t.Fatalf("moved off %v, onto %v", off, onto)
	}
	for _, r := range g.attempts {
		if moved := g.st.unregisterMovable(r); moved != r.moved {
			t.Error("unregisterMovable does not report the move")
		}
	}
	if len(g.st.movable) != 0 {
		t.Errorf("%d engines still hold attempts that have ended", len(g.st.movable))
	}
}

// An engine is 2.4 times slower than the others. Guards against moving streams that it can run
// without exceeding the route's MaxGap.
func TestOnlyExcessStreamsAreMoved(t *testing.T) {
	g := newSlowGroup(t, 40)
	g.report(start, 1, 1, 2.4, 1)
	off, _ := g.moved(t)
	if off["e2"] == 0 || off["e2"] >= 10 {
		t.Fatalf("moved off %v of 10", off)
	}
	before := off["e2"]
	g.report(start.Add(100*time.Millisecond), 1, 1, 2.4, 1)
	if off, _ := g.moved(t); off["e2"] > before+1 {
		t.Fatalf("%d were moved, then %d", before, off["e2"])
	}
}

// Guards against streams that are moved for a temporary slowdown of a tenth, when all engines are
// as slow, when the others are full, when the request is nearly over, or beyond the retry budget:
// an attempt would be used up and nothing gained.
func TestStreamsStayWhereMovingDoesNotPay(t *testing.T) {
	for name, c := range map[string]struct {
		streams   int
		slowdowns []float64
		now       time.Time
	}{
		"slight slowdown":        {24, []float64{1, 1, 1.3, 1}, start},
		"all engines are slow":   {24, []float64{12, 12, 12, 12}, start},
		"other engines are full": {48, []float64{1, 1, 12, 1}, start},
		"little time is left":    {24, []float64{1, 1, 12, 1}, start.Add(7500 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			g := newSlowGroup(t, c.streams)
			g.report(c.now, c.slowdowns...)
			if off, _ := g.moved(t); len(off) != 0 {
				t.Fatalf("moved off %v", off)
			}
		})
	}
	t.Run("retry budget is used up", func(t *testing.T) {
		g := newSlowGroup(t, 24)
		for g.st.TakeRetry("quotes", start) {
		}
		g.report(start, 1, 1, 12, 1)
		if off, _ := g.moved(t); len(off) != 0 {
			t.Fatalf("moved off %v", off)
		}
	})
}

// The only streams of a slow engine have events without a number. Guards against moving them, which gives
// their callers these events twice.
func TestPinnedStreamsAreNotMoved(t *testing.T) {
	g := newSlowGroup(t, 24)
	for _, r := range g.attempts {
		if !g.st.pin(r) {
			t.Fatal("an attempt that was not moved can't be pinned")
		}
	}
	g.report(start, 1, 1, 12, 1)
	if off, _ := g.moved(t); len(off) != 0 {
		t.Fatalf("moved off %v", off)
	}
}

// A stream is moved, and then an event without a number arrives. Guards against forwarding it, because the
// next engine sends it again.
func TestMovedStreamCannotBePinned(t *testing.T) {
	g := newSlowGroup(t, 24)
	g.report(start, 1, 1, 12, 1)
	for _, r := range g.attempts {
		j := &job{relay: &Relay{State: g.st}, movable: r}
		if kept := j.keepHere(); kept == r.moved || j.unnumbered == r.moved {
			t.Errorf("moved %t, kept %t, unnumbered %t", r.moved, kept, j.unnumbered)
		}
	}
}

// One engine fails a part of its requests. Guards against moving streams to it, each of which loses an
// attempt there, and against leaving it out when it has answered since.
func TestStreamsAreNotMovedToAnEngineThatJustFailed(t *testing.T) {
	for _, answeredSince := range []bool{false, true} {
		t.Run(fmt.Sprintf("answered since %t", answeredSince), func(t *testing.T) {
			g := newSlowGroup(t, 24)
			g.st.recordFailure(assignedTo("e1"), start)
			if answeredSince {
				delete(g.st.failures, "e1")
			}
			g.report(start, 1, 1, 12, 1)
			off, onto := g.moved(t)
			if off["e2"] == 0 || onto["e1"] > 0 != answeredSince {
				t.Errorf("moved off %v, onto %v", off, onto)
			}
		})
	}
}
