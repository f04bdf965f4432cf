package ranker

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

func leaderAt(rank int, token uint64) leaderInfo {
	return leaderInfo{name: "agent", Predecessor: lockstep.Predecessor{Rank: rank, Token: token}}
}

// countAsks counts how often the agents of a group ask the store within d after their
// leader was last seen, if each checks every 50 ms.
func countAsks(d time.Duration, size int, prepare func(l *leaderTracker)) int {
	asks := 0
	for r := range size {
		l := &leaderTracker{}
		prepare(l)
		for now := start; now.Before(start.Add(d)); now = now.Add(50 * time.Millisecond) {
			if l.shouldAsk(r, size, now) {
				asks++
			}
		}
	}
	return asks
}

// Guards against calls to the store that grow with the group, because all agents ask
// who leads when the leader is lost or all processes start.
func TestFewAgentsPollForTheLeader(t *testing.T) {
	for _, size := range []int{3, 12, 129, 258} {
		lost := countAsks(1400*time.Millisecond, size, func(l *leaderTracker) { l.observe(leaderAt(1, 5), start) })
		if most := firstCandidates * 6; lost > most || lost == 0 {
			t.Errorf("%d queries by %d agents after the loss of the leader, want 1 to %d", lost, size, most)
		}
		if n := countAsks(500*time.Millisecond, size, func(l *leaderTracker) { l.observe(leaderAt(1, 5), start) }); n != 0 {
			t.Errorf("%d queries before the leader has timed out", n)
		}
		if n := countAsks(500*time.Millisecond, size, func(*leaderTracker) {}); n == 0 || n > firstCandidates*4 {
			t.Errorf("%d queries by %d agents at their start", n, size)
		}
	}
}

// Guards against a group without a leader because all first candidates were lost
// together with the leader.
func TestDistantRanksAskLater(t *testing.T) {
	l := &leaderTracker{}
	l.observe(leaderAt(1, 5), start)
	now := start.Add(lateLeaderTimeout + 129*askStagger)
	if !l.shouldAsk(100, 129, now) || l.shouldAsk(100, 129, now.Add(lateAskInterval/2)) || !l.shouldAsk(100, 129, now.Add(lateAskInterval)) {
		t.Error("an agent far from the leader does not eventually ask once a second")
	}
}

// Guards against following a leader that another one has replaced, and against taking
// the end of an earlier term for that of the current one.
func TestHighestTokenLeads(t *testing.T) {
	l := &leaderTracker{}
	l.observe(leaderAt(1, 5), start)
	l.observe(leaderAt(2, 7), start)
	l.observe(leaderAt(1, 5), start.Add(time.Second))
	if leader, ok := l.last(); !ok || leader.Token != 7 || leader.Rank != 2 {
		t.Errorf("the last leader is %v", leader)
	}
	if l.recordEnd(5) || !l.recordEnd(7) {
		t.Error("the end of an earlier term was accepted, or that of the current one was not")
	}
	if !l.shouldAsk(3, 12, start) {
		t.Error("the first successor waits although the term has ended")
	}
}
