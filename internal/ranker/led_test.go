package ranker

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

func leaderAt(rank int, token uint64) predecessor {
	return predecessor{name: "agent", Predecessor: lockstep.Predecessor{Rank: rank, Token: token}}
}

// asksIn counts how often the agents of a group ask the store within a time after
// their leader was last seen, each looking at that every 50 ms.
func asksIn(d time.Duration, size int, prepare func(l *led)) int {
	asks := 0
	for r := range size {
		l := &led{}
		prepare(l)
		for now := start; now.Before(start.Add(d)); now = now.Add(50 * time.Millisecond) {
			if l.ask(r, size, now) {
				asks++
			}
		}
	}
	return asks
}

// Guards against calls to the store that grow with the group, as all of its agents ask
// who leads when the leader is lost, or all processes start.
func TestFewAgentsAskWhoLeads(t *testing.T) {
	for _, size := range []int{3, 12, 129, 258} {
		lost := asksIn(1400*time.Millisecond, size, func(l *led) { l.leads(leaderAt(1, 5), start) })
		if most := successors * 6; lost > most || lost == 0 {
			t.Errorf("%d of %d agents ask after the loss, want 1 to %d", lost, size, most)
		}
		if n := asksIn(500*time.Millisecond, size, func(l *led) { l.leads(leaderAt(1, 5), start) }); n != 0 {
			t.Errorf("%d ask before the leader is silent", n)
		}
		if n := asksIn(500*time.Millisecond, size, func(*led) {}); n == 0 || n > successors*4 {
			t.Errorf("%d of %d agents ask at their start", n, size)
		}
	}
}

// Guards against a group without a leader because all of those that ask first were
// lost with the last one.
func TestLateAgentsAskToo(t *testing.T) {
	l := &led{}
	l.leads(leaderAt(1, 5), start)
	now := start.Add(lateAfter + 129*turn)
	if !l.ask(100, 129, now) || l.ask(100, 129, now.Add(lateAgain/2)) || !l.ask(100, 129, now.Add(lateAgain)) {
		t.Error("an agent far from the leader doesn't ask once a second in the end")
	}
}

// Guards against a successor that goes by a leader which was followed by another, and
// against an end that is taken for the present leader's.
func TestNewestLeaderCounts(t *testing.T) {
	l := &led{}
	l.leads(leaderAt(1, 5), start)
	l.leads(leaderAt(2, 7), start)
	l.leads(leaderAt(1, 5), start.Add(time.Second))
	if by, ok := l.last(); !ok || by.Token != 7 || by.Rank != 2 {
		t.Errorf("the last leader is %v", by)
	}
	if l.ended(5) || !l.ended(7) {
		t.Error("the end of another leader counts")
	}
	if !l.ask(3, 12, start) {
		t.Error("the first successor waits though the leader has ended")
	}
}
