package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/silence"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// play advances the group by a time, in which the engines named are heard and those seen are reported.
func (g *slowGroup) play(from time.Time, d time.Duration, heard, seen []int) time.Time {
	now := from
	for now.Before(from.Add(d)) {
		now = now.Add(silenceInterval)
		for _, r := range g.attempts {
			for _, i := range heard {
				if r.assigned.Endpoint.ID == fmt.Sprint("e", i) {
					g.st.PartReceived(r.assigned, now)
				}
			}
		}
		var loads []EndpointLoad
		for _, i := range seen {
			loads = append(loads, EndpointLoad{Address: fmt.Sprintf("10.0.0.%d:1", i), Slowdown: 1, Group: uint64(len(seen)), At: now})
		}
		g.st.SetLoads(loads, now)
		g.st.AdvanceSilences(now)
	}
	return now
}

// wantMoved checks how many streams are being moved off the engine e2, and that none goes there.
func (g *slowGroup) wantMoved(t *testing.T, want int) {
	t.Helper()
	off, onto := g.moved(t)
	if off["e2"] != want || onto["e2"] != 0 || len(off) > 1 {
		t.Errorf("moved off %v, onto %v, want %d off e2", off, onto, want)
	}
}

var (
	allEngines  = []int{0, 1, 2, 3}
	withoutE2   = []int{0, 1, 3}
	noEngine    []int
	whileSilent = 3 * time.Second
)

// An engine can't be heard while its group goes on. Guards against streams that stay there, and that are
// moved for less: a group that stands as a whole, or an engine that only its leader doesn't see.
func TestStreamsAreMovedOffASilentEngine(t *testing.T) {
	for name, c := range map[string]struct {
		heard, seen []int
		lasting     time.Duration
		want        int
	}{
		"silent and not seen":             {withoutE2, withoutE2, time.Second, 3},
		"silent, nobody reports":          {withoutE2, noEngine, 2 * time.Second, 3},
		"silent for a moment":             {withoutE2, noEngine, 800 * time.Millisecond, 0},
		"the group stands":                {noEngine, allEngines, whileSilent, 0},
		"nobody is heard":                 {noEngine, noEngine, whileSilent, 0},
		"not seen, but heard":             {allEngines, withoutE2, whileSilent, 0},
		"not seen while the group stands": {noEngine, withoutE2, time.Second, 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := newSlowGroup(t, 12)
			now := g.play(start, 500*time.Millisecond, allEngines, allEngines)
			g.play(now, c.lasting, c.heard, c.seen)
			g.wantMoved(t, c.want)
		})
	}
}

// Guards against moving a stream first whose caller has waited less than others, who leave before the next slot
// is free.
func TestCallerThatHasWaitedLongestIsMovedFirst(t *testing.T) {
	g := newSlowGroup(t, 12)
	now := g.play(start, 500*time.Millisecond, allEngines, allEngines)
	var want []*movableAttempt
	for i := len(g.attempts) - 1; i >= 0; i-- {
		if r := g.attempts[i]; r.assigned.Endpoint.ID == "e2" {
			now = now.Add(10 * time.Millisecond)
			g.st.PartReceived(r.assigned, now)
			want = append(want, r)
		}
	}
	g.play(now, time.Second, withoutE2, withoutE2)
	g.wantMoved(t, 3)
	if !slices.Equal(g.order, want) {
		t.Errorf("order %v, want %v", g.order, want)
	}
}

// All slots are taken when an engine falls silent. Guards against streams that stay there, as the next free slots go
// to requests that wait elsewhere, and against more than one more stream at each engine.
func TestStreamsLeaveASilentEngineAlsoIfTheOthersAreFull(t *testing.T) {
	streams := 1
	for g := newSlowGroup(t, 1); ; streams++ {
		if _, e := g.st.Choose(g.service, placement.Query{}, start); e != nil {
			break
		}
	}
	g := newSlowGroup(t, streams)
	now := g.play(start, 500*time.Millisecond, allEngines, allEngines)
	now = g.play(now, time.Second, withoutE2, withoutE2)
	g.wantMoved(t, 3)
	_, onto := g.moved(t)
	for id, n := range onto {
		if n != extraMoved {
			t.Errorf("%d streams were moved onto %s", n, id)
		}
	}
	if _, e := g.st.Choose(g.service, placement.Query{}, now); e == nil {
		t.Error("a new request was assigned beyond the allowance")
	}
}

// Guards against an engine that gets no requests although it can be heard again, and against one that gets
// them at once although nothing has shown that it can.
func TestSilentEngineIsAvoidedUntilItIsBack(t *testing.T) {
	chosen := func(g *slowGroup, now time.Time) (n int) {
		for range 8 {
			if assigned, e := g.st.Choose(g.service, placement.Query{}, now); e == nil && assigned.Endpoint.ID == "e2" {
				n++
			}
		}
		return n
	}
	for name, c := range map[string]struct {
		heard, seen []int
		lasting     time.Duration
		least, most int
	}{
		"still silent":            {withoutE2, withoutE2, 5 * time.Second, 0, 0},
		"seen again":              {withoutE2, allEngines, 200 * time.Millisecond, 2, 8},
		"nobody reports any more": {withoutE2, noEngine, 3 * time.Second, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := newSlowGroup(t, 12)
			now := g.play(start, 500*time.Millisecond, allEngines, allEngines)
			now = g.play(now, time.Second, withoutE2, withoutE2)
			g.leave("e2", now)
			now = g.play(now, c.lasting, c.heard, c.seen)
			if n := chosen(g, now); n < c.least || n > c.most {
				t.Errorf("%d of 8 requests were sent to the engine", n)
			}
		})
	}
}

// leave ends the streams of an engine, as if they had been moved.
func (g *slowGroup) leave(id string, now time.Time) {
	for _, r := range g.attempts {
		if r.assigned.Endpoint.ID == id {
			g.st.unregisterMovable(r)
			g.st.Release(r.assigned, Moved{Reason: EndpointSilent}, now)
		}
	}
}

// The leader of one group of a service stands still while that of another one goes on. Guards against engines
// that count as not seen since the other leader's reports lack them.
func TestReportsOfAnotherGroupSayNothing(t *testing.T) {
	var s sightings
	s.record([]string{"a", "b"}, start)
	s.record([]string{"c", "d"}, start)
	now := start.Add(maxLeaderReportAge)
	s.record([]string{"c", "d"}, now)
	if lag, reported := s.lag("a", now); reported {
		t.Errorf("a is reported with a lag of %v", lag)
	}
	s.record([]string{"c"}, now.Add(time.Second))
	if lag, reported := s.lag("d", now.Add(time.Second)); !reported || lag != time.Second {
		t.Errorf("lag of d %v, reported %t", lag, reported)
	}
}

// The listing of a silent engine lapses while streams wait there. Guards against streams that stay since nothing is
// known of the engine any more, and against knowledge that outlives them.
func TestStreamsLeaveASilentEngineThatIsNoLongerListed(t *testing.T) {
	g := newSlowGroup(t, 12)
	now := g.play(start, 500*time.Millisecond, allEngines, allEngines)
	g.st.UpdateDirectory(func(d *directory.Directory) { d.Remove("e2", now) })
	now = g.play(now, 3*time.Second, withoutE2, withoutE2)
	if _, listed := g.st.endpoints["e2"]; listed {
		t.Fatal("the engine is still listed")
	}
	g.wantMoved(t, 3)
	g.leave("e2", now)
	if s := &g.st.silences; s.services["e2"] != "" || s.tracker.Silence("e2") != 0 || len(s.marks) != 0 {
		t.Errorf("kept: service %q, silence %v, marks %v", s.services["e2"], s.tracker.Silence("e2"), s.marks)
	}
}

// Guards against groups that are kept for ever because their engines were replaced, and against an engine that
// counts as missing in the group that it has left.
func TestGroupsFollowTheirEngines(t *testing.T) {
	var s sightings
	s.record([]string{"a", "b"}, start)
	s.record([]string{"c", "d", "e"}, start)
	s.record([]string{"b", "c", "d", "e"}, start.Add(time.Second)) // b has moved
	s.record([]string{"a"}, start.Add(time.Second))
	if len(s.missing) != 0 {
		t.Errorf("%v are missing", s.missing)
	}
	s.forget("a")
	if len(s.members) != 1 || len(s.whole) != 1 {
		t.Errorf("%d groups, of which %d were seen", len(s.members), len(s.whole))
	}
}

// BenchmarkAdvanceSilences measures the cost of one step for an entry with requests at 12 endpoints.
func BenchmarkAdvanceSilences(b *testing.B) {
	for _, n := range []int{12, 630, 12_000} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			st := newState("me", &routing.Service{Name: "quotes", Engine: testEngine()})
			listEndpoints(st, n, "quotes")
			var loads []EndpointLoad
			for i := range n {
				loads = append(loads, EndpointLoad{Address: fmt.Sprintf("10.0.0.%d:1", i), Slowdown: 1, Group: 1, At: start})
			}
			st.SetLoads(loads, start)
			for range 12 {
				if _, e := st.Choose(st.Table().Service("quotes"), placement.Query{}, start); e != nil {
					b.Fatal(e)
				}
			}
			now := start
			for b.Loop() {
				now = now.Add(silenceInterval)
				st.AdvanceSilences(now)
			}
		})
	}
}

// Guards against an entry that keeps marks of endpoints that have gone.
func TestMarksOfEndpointsThatAreGoneAreDropped(t *testing.T) {
	g := newSlowGroup(t, 12)
	now := g.play(start, 500*time.Millisecond, allEngines, allEngines)
	g.play(now, time.Second, withoutE2, withoutE2)
	if n := g.st.SilentEndpoints(); n != 1 {
		t.Fatalf("%d endpoints are silent", n)
	}
	g.st.silences.forget("e2")
	if n := g.st.SilentEndpoints(); n != 0 || g.st.silences.tracker.Silence("e2") != 0 {
		t.Errorf("%d endpoints are silent", n)
	}
}

// Guards against a change that is logged with a verdict that was not given.
func TestChangesOfSilencesAreReported(t *testing.T) {
	g := newSlowGroup(t, 12)
	now := g.play(start, 500*time.Millisecond, allEngines, allEngines)
	now = g.play(now, 200*time.Millisecond, withoutE2, withoutE2)
	var got []silence.Verdict
	for range 4 {
		now = now.Add(silenceInterval)
		for _, r := range g.attempts {
			if r.assigned.Endpoint.ID != "e2" {
				g.st.PartReceived(r.assigned, now)
			}
		}
		g.st.SetLoads([]EndpointLoad{{Address: "10.0.0.0:1", At: now}, {Address: "10.0.0.1:1", At: now}, {Address: "10.0.0.3:1", At: now}}, now)
		changes, _ := g.st.AdvanceSilences(now)
		for _, c := range changes {
			if c.Endpoint != "e2" || c.From != silence.Audible || c.Running != 3 {
				t.Errorf("change %+v", c)
			}
			got = append(got, c.To)
		}
	}
	if len(got) != 1 || got[0] != silence.Silent {
		t.Errorf("verdicts %v", got)
	}
}
