package naming

import (
	"testing"
)

const (
	simulationCount = 400
	faultyTicks     = 3000
	healthyTicks    = 600
)

func assertOneMap(t *testing.T, s *simulation, seed int64) {
	t.Helper()
	if len(s.violations) > 0 {
		t.Errorf("seed %d: %d violations, first: %s", seed, len(s.violations), s.violations[0])
	}
}

// TestOneMapInEachStep guards against ranks of a group that compute one step
// with different expert maps, which garbles answers. Messages are lost, delayed
// and duplicated, leaders pause and wake with a lapsed lease, ranks and agents
// restart, one or all, and the platform is down or loses its replies. No step
// may have two maps, and after the faults end a proposed map must become
// active.
func TestOneMapInEachStep(t *testing.T) {
	activated, steps := 0, uint64(0)
	for seed := range int64(simulationCount) {
		s := newSimulation(seed, 2+int(seed%3))
		for range faultyTicks {
			s.runTick()
		}
		assertOneMap(t, s, seed)
		s.faults, s.kv.down, s.kv.loseReplies = false, false, false
		before := s.lowestLatestStep()
		for range healthyTicks {
			s.runTick()
		}
		assertOneMap(t, s, seed)
		after := s.lowestLatestStep()
		if after <= before {
			t.Errorf("seed %d: no map became active after the faults", seed)
		}
		activated += s.distinctMaps()
		steps += s.engines[0].LastStep
		if t.Failed() {
			return
		}
	}
	t.Logf("%d simulations, %d maps activated, %d steps", simulationCount, activated, steps)
}

// lowestLatestStep returns the lowest first step among the engines' newest
// entries.
func (s *simulation) lowestLatestStep() uint64 {
	lowest := uint64(0)
	for i, e := range s.engines {
		v := latestEntry(e.Schedule).FirstStep
		if i == 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}

// distinctMaps returns the number of maps used in any step.
func (s *simulation) distinctMaps() int {
	seen := map[Ref]bool{}
	for _, e := range s.engines {
		for _, r := range e.mapOfStep {
			seen[r] = true
		}
	}
	return len(seen)
}
