package naming

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

// fakeEngine simulates the ranks of one endpoint. They begin at most one step a
// tick. mapOfStep holds the map used in each step.
type fakeEngine struct {
	EngineState
	mapOfStep map[uint64]Ref
}

func (e *fakeEngine) apply(o EngineOrder) {
	switch o := o.(type) {
	case EngineStage:
		if !e.hasStaged(RefOf(o.Map)) {
			e.Staged = append(e.Staged, RefOf(o.Map))
			e.dropOldest()
		}
	case EngineActivate:
		e.activate(o)
	case EngineSetStepLimit:
		e.StepLimit = max(e.StepLimit, o.Step)
	}
}

// dropOldest removes the oldest map that the next step does not use, if more
// than maxStaged are staged. It never removes the one staged last, and none
// while the schedule has an entry whose first step has not begun.
func (e *fakeEngine) dropOldest() {
	const maxStaged = 3
	for i := 0; len(e.Staged) > maxStaged && i < len(e.Staged)-1; i++ {
		upcoming := len(EntriesAfter(e.Schedule, e.LastStep)) > 0
		if r, ok := MapAt(e.Schedule, e.LastStep+1); !upcoming && (!ok || r != e.Staged[i]) {
			e.Staged = append(e.Staged[:i], e.Staged[i+1:]...)
			return
		}
	}
}

func (e *fakeEngine) hasStaged(r Ref) bool {
	for _, staged := range e.Staged {
		if staged == r {
			return true
		}
	}
	return false
}

func (e *fakeEngine) activate(o EngineActivate) {
	if containsEntry(e.Schedule, o.Entry) || !e.hasStaged(o.Entry.Map) {
		return
	}
	if o.Restart && o.Entry.FirstStep > e.LastStep {
		e.Schedule = EntriesAfter(e.Schedule, o.Entry.FirstStep)
		e.LastStep = o.Entry.FirstStep - 1
	}
	e.Schedule = append(e.Schedule, o.Entry)
}

// fakeKV holds the group's record and lease. Calls fail while it is down. With
// loseReplies, a write may take effect although its outcome is unknown.
type fakeKV struct {
	record      Record
	revision    int64
	down        bool
	loseReplies bool
	token       uint64
	holder      int
	leaseUntil  time.Time
}

func testMap(version uint64) *expertmap.Map {
	l, err := expertmap.NewContiguousLayer(expertmap.Shape{Ranks: 2, Slots: 2, Experts: 4})
	if err != nil {
		panic(err)
	}
	m, err := expertmap.NewMap(version, []*expertmap.Layer{l})
	if err != nil {
		panic(err)
	}
	return m
}

func (s *simulation) injectFault() {
	i := s.rng.Intn(s.n)
	switch {
	case s.chance(0.01):
		s.restartRanks(i)
	case s.chance(0.01):
		s.restartAgent(i)
	case s.chance(0.003):
		for j := range s.n {
			s.restartRanks(j)
			s.restartAgent(j)
		}
	case s.chance(0.01):
		s.candidates[i].pausedUntil = s.tick + 20 + s.rng.Intn(200)
	case s.chance(0.02):
		s.kv.down = !s.kv.down
	}
	s.kv.loseReplies = s.chance(0.2)
}

// restartRanks restarts the ranks of an endpoint, which lose their maps. They
// repeat their last step if other ranks have not begun it yet.
func (s *simulation) restartRanks(i int) {
	e := s.engines[i]
	lastStep := e.LastStep
	for _, o := range s.engines {
		if o.LastStep < lastStep {
			lastStep = e.LastStep - 1
			delete(e.mapOfStep, e.LastStep)
			break
		}
	}
	e.EngineState = EngineState{Incarnation: e.Incarnation + 1, LastStep: lastStep}
}

func (s *simulation) restartAgent(i int) {
	s.members[i] = s.newMember(i, s.members[i].Incarnation+1)
	s.candidates[i] = &candidate{proposals: s.candidates[i].proposals}
	s.downUntil[i] = s.tick + maxDelayTicks + s.rng.Intn(30)
}
