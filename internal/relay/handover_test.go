package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

// TestHandoverLosesNoStream guards against ending an attempt for one that can't go on with its stream, and
// against two attempts that both go on or neither of which does. It covers all pairs of states.
func TestHandoverLosesNoStream(t *testing.T) {
	for _, c := range []struct {
		running RunningState
		next    NextState
		want    Verdict
	}{
		{Running, NextAsked, Undecided},
		{Running, NextOverdue, SwitchOver},
		{Running, NextUsable, SwitchOver},
		{Running, NextUnusable, KeepRunning},
		{RanWhole, NextAsked, KeepRunning},
		{RanWhole, NextOverdue, KeepRunning},
		{RanWhole, NextUsable, KeepRunning},
		{RanWhole, NextUnusable, KeepRunning},
		{RanOut, NextAsked, SwitchOver},
		{RanOut, NextOverdue, SwitchOver},
		{RanOut, NextUsable, SwitchOver},
		{RanOut, NextUnusable, KeepRunning},
		{Resumed, NextAsked, KeepRunning},
		{Resumed, NextOverdue, KeepRunning},
		{Resumed, NextUsable, KeepRunning},
		{Resumed, NextUnusable, KeepRunning},
	} {
		t.Run(fmt.Sprintf("running %d, next %d", c.running, c.next), func(t *testing.T) {
			if got := DecideHandover(c.running, c.next); got != c.want {
				t.Errorf("verdict %d, want %d", got, c.want)
			}
			h := newTestHandover()
			if decided := h.decide(c.running, c.next); decided != (c.want != Undecided) {
				t.Errorf("decided %t", decided)
			}
		})
	}
}

// TestFirstVerdictStands guards against an attempt that is ended after it was to go on.
func TestFirstVerdictStands(t *testing.T) {
	h := newTestHandover()
	h.decide(RanWhole, NextAsked)
	if h.decide(Running, NextOverdue) || h.await() != KeepRunning {
		t.Errorf("verdict %d", h.await())
	}
}

func newTestHandover() *handover { return newHandover(context.Background(), Assignment{}, EngineSlow) }

// movingJob returns a job with a move in progress.
func movingJob(g *slowGroup) (*job, *handover) {
	h := newTestHandover()
	r := g.attempts[0]
	r.startHandover(h)
	return &job{relay: &Relay{State: g.st}, movable: r}, h
}

// TestCompleteAnswerEndsAMove guards against a stream that is complete and nevertheless goes on elsewhere,
// and against the end of an attempt that has been left.
func TestCompleteAnswerEndsAMove(t *testing.T) {
	g := newSlowGroup(t, 1)
	j, h := movingJob(g)
	if !j.mayEnd() || h.await() != KeepRunning {
		t.Errorf("verdict %d", h.await())
	}
	j, h = movingJob(g)
	h.decide(Running, NextUsable)
	if j.mayEnd() {
		t.Error("an attempt that was left may end")
	}
}

// TestNoEventIsForwardedDuringAMove guards against events of two attempts beside each other: the next one
// goes on behind the event at which the move began.
func TestNoEventIsForwardedDuringAMove(t *testing.T) {
	for _, ev := range []direct.Event{{ID: 4, HasID: true}, {}} {
		t.Run(fmt.Sprintf("numbered %t", ev.HasID), func(t *testing.T) {
			g := newSlowGroup(t, 1)
			g.attempts[0].moved = true
			j, h := movingJob(g)
			forwarded := make(chan bool, 1)
			go func() { forwarded <- j.mayForward(t.Context(), "text/event-stream", ev) }()
			select {
			case <-forwarded:
				t.Fatal("forwarded before the verdict")
			case <-time.After(20 * time.Millisecond):
			}
			h.decide(Running, NextUsable)
			if <-forwarded || j.unnumbered {
				t.Error("forwarded by an attempt that was left")
			}
		})
	}
}

// TestMoveBeginsBehindTheLastEvent guards against an event that is neither forwarded nor asked for again.
func TestMoveBeginsBehindTheLastEvent(t *testing.T) {
	g := newSlowGroup(t, 1)
	j := &job{relay: &Relay{State: g.st}, movable: g.attempts[0]}
	if !j.mayForward(t.Context(), "text/event-stream", direct.Event{ID: 7, HasID: true}) {
		t.Fatal("not forwarded")
	}
	want := position{progress: PartSent, lastEventID: 7, contentType: "text/event-stream"}
	if got := g.attempts[0].startHandover(newTestHandover()); got != want {
		t.Errorf("the move begins at %+v, want %+v", got, want)
	}
}

// TestKeptStreamIsMovedAgainIfAnAttemptIsLeft guards against a stream that stays on a slow engine since
// another one turned it down, and against a further move without an attempt left.
func TestKeptStreamIsMovedAgainIfAnAttemptIsLeft(t *testing.T) {
	for _, again := range []bool{true, false} {
		t.Run(fmt.Sprintf("attempt left %t", again), func(t *testing.T) {
			g := newSlowGroup(t, 24)
			g.report(start, 1, 1, 12, 1)
			first := g.next
			g.next = map[*movableAttempt]Assignment{}
			for r := range first {
				g.st.keep(r, placement.Query{Excluded: []string{"e2", first[r].Endpoint.ID}}, again)
				g.st.Release(first[r], NotRun{Sent: true}, start)
			}
			g.report(start.Add(100*time.Millisecond), 1, 1, 12, 1)
			for r, next := range g.next {
				if next.Endpoint.ID == first[r].Endpoint.ID {
					t.Error("moved to the engine that turned it down")
				}
			}
			if moved := len(g.next) > 0; moved != again {
				t.Errorf("moved again: %t", moved)
			}
		})
	}
}
