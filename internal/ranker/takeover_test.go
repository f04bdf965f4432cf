package ranker

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	logs "github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// leaseCase is a case of a decision about a leader's lease.
type leaseCase struct {
	stood, silence time.Duration
	fencing, want  bool
}

// wantDecisions checks what is decided in each case.
func wantDecisions(t *testing.T, decide func(stood, silence time.Duration, fencing bool) bool, cases map[string]leaseCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := decide(c.stood, c.silence, c.fencing); got != c.want {
				t.Errorf("%t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a lease that is ended while its leader is heard, during a short hold, or where only the lapse
// of the lease keeps the old leader from giving orders.
func TestLeaseIsEndedOnlyWhileAGroupStandsWithoutItsLeader(t *testing.T) {
	wantDecisions(t, mayEndLease, map[string]leaseCase{
		"stands, leader silent":            {minStandTime, maxLeaderSilence, true, true},
		"held for a moment":                {minStandTime - 1, maxLeaderSilence, true, false},
		"runs":                             {0, time.Hour, true, false},
		"leader heard":                     {time.Hour, maxLeaderSilence - 1, true, false},
		"engines ignore the fencing token": {time.Hour, time.Hour, false, false},
	})
}

// Guards against a stand that counts several holds, or steps that are still to come, as one.
func TestStandstillCountsOneHeldStep(t *testing.T) {
	start := time.Unix(1000, 0)
	state := func(step, held uint64) lockstep.State {
		s := lockstep.State{Step: step}
		if held > 0 {
			s.Held = &held
		}
		return s
	}
	var h standstill
	for _, c := range []struct {
		after time.Duration
		state lockstep.State
		want  time.Duration
	}{
		{0, state(7, 0), 0},
		{100, state(8, 10), 0},
		{200, state(9, 10), 0},
		{300, state(9, 10), 100},
		{400, state(9, 10), 200},
		{500, state(13, 14), 0},
		{600, state(13, 14), 100},
		{700, state(14, 0), 0},
		{800, state(13, 14), 0},
		{3800, state(13, 14), 0}, // the agent stood still
		{3900, state(13, 14), 100},
	} {
		if got := h.observe(c.state, start.Add(c.after*time.Millisecond)); got != c.want*time.Millisecond {
			t.Errorf("after %d ms the group has stood for %v, want %d ms", c.after, got, c.want)
		}
	}
}

// Guards against a leader that is asked while its group goes on or while it polls, and against one whose lease is ended
// where only the lapse of the lease keeps it from giving orders.
func TestLeaderIsAskedOnlyWhileItsGroupStandsInSilence(t *testing.T) {
	wantDecisions(t, mayAskLeader, map[string]leaseCase{
		"stands, leader silent":            {standPollInterval, minSilenceToAsk, true, true},
		"runs":                             {0, time.Hour, true, false},
		"leader heard":                     {time.Hour, minSilenceToAsk - 1, true, false},
		"engines ignore the fencing token": {time.Hour, time.Hour, false, false},
	})
}

// Guards against the end of the lease of a leader that is there and silent, as it waits for another rank's frozen VM,
// and against waiting for one that is gone or leads no longer.
func TestOnlyALeaderThatIsThereAnswers(t *testing.T) {
	g := startSmallGroup(t)
	g.eventually("an agent leads", func() bool { return g.leader() >= 0 })
	leader := g.leader()
	other := g.rankers[(leader+1)%3]
	ctx := context.Background()
	g.eventually("the leader's address is known", func() bool {
		last, known := other.leader.last()
		if !known || last.name != fmt.Sprint("agent", leader) {
			return false
		}
		_, ok := other.leaderAddress(ctx, last)
		return ok
	})
	if !other.leaderAnswers(ctx) {
		t.Error("the leader does not answer")
	}
	token := g.rankers[leader].leadToken.Swap(0)
	if other.leaderAnswers(ctx) {
		t.Error("an agent that leads no longer answers as the leader")
	}
	g.rankers[leader].leadToken.Store(token)
	other.mu.Lock()
	other.asked.address = logs.LoopbackIP() + ":1"
	other.mu.Unlock()
	if other.leaderAnswers(ctx) {
		t.Error("a leader that is gone answers")
	}
}
