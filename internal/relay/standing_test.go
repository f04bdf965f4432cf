package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// standingGroup is a state with four engines of one group, each of which runs some streams of this entry.
type standingGroup struct {
	st      *State
	service *routing.Service
	running []Assignment
}

func newStandingGroup(t *testing.T) *standingGroup {
	t.Helper()
	st, s := newGroup(4)
	g := &standingGroup{st: st, service: s}
	for range 8 {
		assigned, e := st.Choose(s, placement.Query{}, start)
		if e != nil {
			t.Fatal(e)
		}
		g.running = append(g.running, assigned)
	}
	return g
}

// play advances the group by d. parts means that parts of answers arrive, and stood, unless it is nil, what the
// leader reports.
func (g *standingGroup) play(from time.Time, d time.Duration, parts bool, stood func(now time.Time) time.Duration) time.Time {
	now := from
	for now.Before(from.Add(d)) {
		now = now.Add(silenceInterval)
		if parts {
			for _, assigned := range g.running {
				g.st.PartReceived(assigned, now)
			}
		}
		if stood != nil {
			g.report(stood(now), now)
		}
		g.st.AdvanceSilences(now)
	}
	return now
}

// report delivers a leader's report about all engines.
func (g *standingGroup) report(stood time.Duration, now time.Time) {
	var loads []EndpointLoad
	for i := range 4 {
		loads = append(loads, EndpointLoad{Address: fmt.Sprintf("10.0.0.%d:1", i), Slowdown: 1, Group: 1, Stood: stood, At: now})
	}
	g.st.SetLoads(loads, now)
}

func goesOn(time.Time) time.Duration { return 0 }

// standsSince returns the reports of the leader of a group that stands since a time.
func standsSince(t time.Time) func(now time.Time) time.Duration {
	return func(now time.Time) time.Duration { return max(time.Millisecond, now.Sub(t)) }
}

// submit submits a request and returns whether it waits, and why it is refused.
func (g *standingGroup) submit(id string, askedBefore bool, now time.Time) (*waiter, bool, *result.Error) {
	req := newAdmitRequest(id, g.service, now)
	req.AbandonAt, req.AskedBefore = now.Add(2*time.Second), askedBefore
	w := &waiter{req: req, done: make(chan *result.Error, 1)}
	waits, e := g.st.submit(w, now)
	return w, waits, e
}

// Guards against requests that are sent into a group that stands still: nothing runs there, and they can't be taken
// back from an engine whose VM freezes before the group goes on.
func TestNothingIsSentIntoAStandingGroup(t *testing.T) {
	began := start.Add(500 * time.Millisecond)
	for name, c := range map[string]struct {
		parts bool
		stood func(now time.Time) time.Duration
		waits bool
	}{
		"its leader says so":            {false, standsSince(began), true},
		"its leader is silent too":      {false, nil, true},
		"it goes on":                    {true, goesOn, false},
		"answers pause, says a leader":  {false, goesOn, false},
		"answers come without a leader": {true, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newStandingGroup(t)
			now := g.play(start, began.Sub(start), true, goesOn)
			now = g.play(now, 900*time.Millisecond, c.parts, c.stood)
			if c.stood == nil {
				_, _, _ = g.submit("probe", false, now)
			}
			if _, waits, e := g.submit("r1", false, now); e != nil || waits != c.waits {
				t.Fatalf("waits is %v, want %v, refused with %v", waits, c.waits, e)
			}
		})
	}
}

// Guards against a silence from before a leader's report that counts when its reports have ended: a group that was
// closed meanwhile, or whose callers have left, would get no requests when it is open again.
func TestSilenceBeforeAReportDoesNotCount(t *testing.T) {
	g := newStandingGroup(t)
	now := g.play(start, 500*time.Millisecond, true, goesOn)
	now = g.play(now, 2*time.Second, false, nil)
	now = g.play(now, silenceInterval, false, goesOn)
	g.play(now, maxStandReportAge, false, nil)
	if n := g.st.StandingGroups(); n != 0 {
		t.Errorf("%d groups count as standing", n)
	}
}

// Guards against requests that wait on when a group goes on again.
func TestWaitingRequestIsSentWhenTheGroupGoesOn(t *testing.T) {
	g := newStandingGroup(t)
	now := g.play(start, 500*time.Millisecond, true, goesOn)
	now = g.play(now, 500*time.Millisecond, false, standsSince(now))
	w, waits, e := g.submit("r1", true, now)
	if e != nil || !waits {
		t.Fatalf("waits is %v, refused with %v", waits, e)
	}
	g.play(now, silenceInterval, true, goesOn)
	select {
	case e := <-w.done:
		if e != nil {
			t.Error(e)
		}
	default:
		t.Error("the request still waits")
	}
}

// Guards against callers that are held, for as long as they wait, through a standstill of unknown duration.
func TestCallersAreRefusedWhileAGroupStandsForLong(t *testing.T) {
	g := newStandingGroup(t)
	now := g.play(start, 500*time.Millisecond, true, goesOn)
	since := now
	now = g.play(now, 500*time.Millisecond, false, standsSince(since))
	w, waits, _ := g.submit("r1", false, now)
	if !waits {
		t.Fatal("refused while a new leader may still end the standstill")
	}
	now = g.play(now, 2*time.Second, false, standsSince(since))
	select {
	case e := <-w.done:
		wantCode(t, e, result.GroupClosed)
	default:
		t.Error("the request still waits")
	}
	_, _, e := g.submit("r2", false, now)
	wantCode(t, e, result.GroupClosed)
	if e.RetryAfter() < now.Sub(since) {
		t.Errorf("retry after %v, while the group has stood for %v", e.RetryAfter(), now.Sub(since))
	}
}

// Guards against an entry that sends nothing any more because no part can show it that the group goes on.
func TestStandingGroupWithoutReportsIsProbed(t *testing.T) {
	g := newStandingGroup(t)
	now := g.play(start, 500*time.Millisecond, true, goesOn)
	now = g.play(now, time.Second, false, nil)
	sent := 0
	for i := range 20 {
		if _, waits, e := g.submit(fmt.Sprint("r", i), false, now); !waits && e == nil {
			sent++
		}
		now = g.play(now, silenceInterval, false, nil)
	}
	if sent < 1 || sent > 3 {
		t.Errorf("%d requests were sent in 2 s", sent)
	}
}
