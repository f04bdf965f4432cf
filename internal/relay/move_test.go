package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// slowGroup is a belief about four engines on each of which this entry has some
// streams that may be moved.
type slowGroup struct {
	b       *Belief
	service *routing.Service
	runs    []*attemptRun
	ctxs    []context.Context
}

func newSlowGroup(t *testing.T, streams int) *slowGroup {
	t.Helper()
	g := &slowGroup{b: newBelief("me", &routing.Service{Name: "quotes", Engine: engine()})}
	g.b.SetRetry(Budget{Share: 0.2, Slack: 900, Window: 10 * time.Second})
	list(g.b, 4, "quotes")
	g.service = g.b.Table().Service("quotes")
	for range streams {
		g.b.First("quotes", start)
		p, e := g.b.Choose(g.service, placement.Query{}, start)
		if e != nil {
			t.Fatal(e)
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		r := &attemptRun{
			service: g.service, query: placement.Query{Tried: []string{p.Endpoint.ID}}, place: p,
			end: start.Add(8 * time.Second), cancel: cancel,
		}
		g.b.movable(r)
		g.runs, g.ctxs = append(g.runs, r), append(g.ctxs, ctx)
	}
	return g
}

// report tells of the engines' paces and of the work that was placed.
func (g *slowGroup) report(now time.Time, paces ...float64) {
	var loads []Load
	for i, pace := range paces {
		l := Load{Address: fmt.Sprintf("10.0.0.%d:1", i), Pace: pace, At: now}
		for _, r := range g.runs {
			if r.place.Endpoint.Address == l.Address && !r.moved {
				l.Running++
			}
		}
		loads = append(loads, l)
	}
	g.b.SetLoads(loads, now)
}

// moved returns how many streams were moved off and onto each engine.
func (g *slowGroup) moved(t *testing.T) (off, onto map[string]int) {
	t.Helper()
	off, onto = map[string]int{}, map[string]int{}
	for i, r := range g.runs {
		if ended := g.ctxs[i].Err() != nil; ended != r.moved {
			t.Fatalf("moved is %v and ended %v", r.moved, ended)
		}
		if r.moved {
			off[r.place.Endpoint.ID]++
			onto[r.next.Endpoint.ID]++
		}
	}
	return off, onto
}

// One rank of a group turns twelve times slower. With seven streams of its own the
// passes of all ranks took 0.8 s in place of 0.07 s until they had ended, six
// seconds later. They are moved at once, to engines that keep up.
func TestStreamsAreMovedOffASlowEngine(t *testing.T) {
	g := newSlowGroup(t, 24)
	g.report(start, 1, 1, 12, 1)
	off, onto := g.moved(t)
	if len(off) != 1 || off["e2"] != 6 || onto["e2"] != 0 {
		t.Fatalf("moved off %v, onto %v", off, onto)
	}
	for _, r := range g.runs {
		if _, moved := g.b.settled(r); moved != r.moved {
			t.Error("the next place is not told")
		}
	}
	if len(g.b.movables) != 0 {
		t.Errorf("%d engines still hold attempts that have ended", len(g.b.movables))
	}
}

// An engine is half as fast as the others: it keeps as many streams as still keep
// the pause that callers bear, and only the rest are moved.
func TestOnlyWhatASlowEngineCannotBearIsMoved(t *testing.T) {
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

// Nothing is moved for a passing tenth, when all engines are as slow, when the
// others are full, when the request is nearly over, or beyond the retry budget: a
// stream that is given up for nothing is lost.
func TestStreamsStayWhereMovingDoesNotPay(t *testing.T) {
	for name, c := range map[string]struct {
		streams int
		paces   []float64
		now     time.Time
	}{
		"a passing tenth":     {24, []float64{1, 1, 1.3, 1}, start},
		"all are as slow":     {24, []float64{12, 12, 12, 12}, start},
		"the others are full": {48, []float64{1, 1, 12, 1}, start},
		"nearly over":         {24, []float64{1, 1, 12, 1}, start.Add(7500 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			g := newSlowGroup(t, c.streams)
			g.report(c.now, c.paces...)
			if off, _ := g.moved(t); len(off) != 0 {
				t.Fatalf("moved off %v", off)
			}
		})
	}
	t.Run("no budget is left", func(t *testing.T) {
		g := newSlowGroup(t, 24)
		for g.b.Spend("quotes", start) {
		}
		g.report(start, 1, 1, 12, 1)
		if off, _ := g.moved(t); len(off) != 0 {
			t.Fatalf("moved off %v", off)
		}
	})
}
