package naming

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

// fakeEngine is the ranks of one endpoint. They begin at most a step a tick.
type fakeEngine struct {
	EngineState
	ran map[uint64]Ref
}

func (e *fakeEngine) order(o EngineOrder) {
	switch o := o.(type) {
	case EngineStage:
		if !e.has(RefOf(o.Map)) {
			e.Staged = append(e.Staged, RefOf(o.Map))
			e.dropOldest()
		}
	case EngineActivate:
		e.activate(o)
	case EngineAllow:
		e.Allowed = max(e.Allowed, o.Step)
	}
}

// dropOldest makes room by dropping a map that no step to come uses.
func (e *fakeEngine) dropOldest() {
	const room = 3
	for i := 0; len(e.Staged) > room && i < len(e.Staged)-1; i++ {
		used := len(After(e.Schedule, e.Begun)) > 0
		if r, ok := MapAt(e.Schedule, e.Begun+1); !used && (!ok || r != e.Staged[i]) {
			e.Staged = append(e.Staged[:i], e.Staged[i+1:]...)
			return
		}
	}
}

func (e *fakeEngine) has(r Ref) bool {
	for _, o := range e.Staged {
		if o == r {
			return true
		}
	}
	return false
}

func (e *fakeEngine) activate(o EngineActivate) {
	if scheduled(e.Schedule, o.Entry) || !e.has(o.Entry.Map) {
		return
	}
	if o.Restart && o.Entry.From > e.Begun {
		e.Schedule = After(e.Schedule, o.Entry.From)
		e.Begun = o.Entry.From - 1
	}
	e.Schedule = append(e.Schedule, o.Entry)
}

// fakeKV keeps the group's record and lease. Calls fail while it is down, and
// may take effect and still fail.
type fakeKV struct {
	record   Record
	revision int64
	down     bool
	lossy    bool
	token    uint64
	holder   int
	until    time.Time
}

func testMap(version uint64) *expertmap.Map {
	l, err := expertmap.Contiguous(expertmap.Shape{Ranks: 2, Slots: 2, Experts: 4})
	if err != nil {
		panic(err)
	}
	m, err := expertmap.NewMap(version, []*expertmap.Layer{l})
	if err != nil {
		panic(err)
	}
	return m
}

func (w *world) fault() {
	i := w.rng.Intn(w.n)
	switch {
	case w.chance(0.01):
		w.restartRanks(i)
	case w.chance(0.01):
		w.restartAgent(i)
	case w.chance(0.003):
		for j := range w.n {
			w.restartRanks(j)
			w.restartAgent(j)
		}
	case w.chance(0.01):
		w.leads[i].paused = w.tick + 20 + w.rng.Intn(200)
	case w.chance(0.02):
		w.kv.down = !w.kv.down
	}
	w.kv.lossy = w.chance(0.2)
}

// restartRanks loses the maps of an endpoint's ranks. They do the step again
// that not all ranks have begun.
func (w *world) restartRanks(i int) {
	e := w.engines[i]
	begun := e.Begun
	for _, o := range w.engines {
		if o.Begun < begun {
			begun = e.Begun - 1
			delete(e.ran, e.Begun)
			break
		}
	}
	e.EngineState = EngineState{Incarnation: e.Incarnation + 1, Begun: begun}
}

func (w *world) restartAgent(i int) {
	w.members[i] = w.newMember(i, w.members[i].Incarnation+1)
	w.leads[i] = &candidate{next: w.leads[i].next}
	w.down[i] = w.tick + drain + w.rng.Intn(30)
}
