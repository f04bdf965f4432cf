package demo

import (
	"context"
	"slices"
	"testing"
	"time"
)

// stagedAt returns the newest version that an endpoint's ranks keep ready.
func stagedAt(s *System, endpoint string) uint64 {
	state, err := s.Group.Engine(slices.Index(s.inGroup, endpoint)).State(context.Background())
	if err != nil {
		return 0
	}
	newest := uint64(0)
	for _, m := range state.Staged {
		newest = max(newest, m.Version)
	}
	return newest
}

// TestLeaderCutOffWhileItNames: callers would get garbled answers if the leader's
// ranks went over to a map of which the others never heard. The platform is slow,
// so that a name's commit takes long; meanwhile the leader is cut off from the
// other agents, and when the commit is done it can tell its own ranks alone. The
// others must stand before the name's step until a leader reaches them.
func TestLeaderCutOffWhileItNames(t *testing.T) {
	s := startGroup(t)
	assertSteps(t, s, 100)
	s.KV.SetSlow(100 * time.Millisecond)
	for i := range 6 {
		assertNewMap(t, s, 2*i%rankExperts)
		old := leader(t, s, nil)
		before := stagedAt(s, old.Name)
		s.Group.SetLoad(hotExpert((2*i + 1) % rankExperts))
		eventually(t, "a staged map", func() bool { return stagedAt(s, old.Name) > before })
		// The cut comes at another moment of the naming each time.
		time.Sleep(time.Duration(i) * 20 * time.Millisecond)
		old.host.Cut("a")
		time.Sleep(600 * time.Millisecond)
		old.host.Cut("")
		assertSteps(t, s, 200)
		assertOneMapAStep(t, s)
	}
}
