package ranks

import (
	"context"

	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Restart loses the maps of the endpoint's ranks. They do the step again that
// not all endpoints have begun.
func (e *Engine) Restart() {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	begun := e.state.LastStep
	for _, o := range g.engines {
		if o.state.LastStep < begun {
			begun = e.state.LastStep - 1
			e.ranStep = 0
			break
		}
	}
	e.maps = nil
	e.state = naming.EngineState{Incarnation: e.state.Incarnation + 1, LastStep: begun}
}

// Fail makes all calls fail until it is called with false.
func (e *Engine) Fail(failed bool) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.failed = failed
}

// enter takes the group's lock unless the engine fails.
func (e *Engine) enter() error {
	e.group.mu.Lock()
	if e.failed {
		e.group.mu.Unlock()
		return result.New(result.EndpointDown, "stand-in ranks")
	}
	return nil
}

// Stage implements rank.Engine.
func (e *Engine) Stage(_ context.Context, m *expertmap.Map, _ uint64) error {
	if err := e.enter(); err != nil {
		return err
	}
	defer e.group.mu.Unlock()
	if e.find(naming.RefOf(m)) == nil {
		e.maps = append(e.maps, m)
		e.state.Staged = append(e.state.Staged, naming.RefOf(m))
	}
	return nil
}

func (e *Engine) find(r naming.Ref) *expertmap.Map {
	for _, m := range e.maps {
		if naming.RefOf(m) == r {
			return m
		}
	}
	return nil
}

// Activate implements rank.Engine.
func (e *Engine) Activate(_ context.Context, entry naming.ScheduleEntry, restart bool, _ uint64) error {
	if err := e.enter(); err != nil {
		return err
	}
	defer e.group.mu.Unlock()
	if e.find(entry.Map) == nil {
		return result.Newf(result.MapMissing, "version %d", entry.Map.Version)
	}
	for _, other := range e.state.Schedule {
		if other == entry {
			return nil
		}
	}
	if restart && entry.FirstStep > e.state.LastStep {
		e.state.Schedule = naming.EntriesAfter(e.state.Schedule, entry.FirstStep)
		e.state.LastStep = entry.FirstStep - 1
	}
	e.state.Schedule = append(e.state.Schedule, entry)
	return nil
}

// SetStepLimit implements rank.Engine.
func (e *Engine) SetStepLimit(_ context.Context, step, _ uint64) error {
	if err := e.enter(); err != nil {
		return err
	}
	defer e.group.mu.Unlock()
	e.state.StepLimit = max(e.state.StepLimit, step)
	return nil
}

// State implements rank.Engine.
func (e *Engine) State(context.Context) (naming.EngineState, error) {
	if err := e.enter(); err != nil {
		return naming.EngineState{}, err
	}
	defer e.group.mu.Unlock()
	s := e.state
	s.Staged = append([]naming.Ref(nil), s.Staged...)
	s.Schedule = append([]naming.ScheduleEntry(nil), s.Schedule...)
	return s, nil
}

// Counts implements rank.Engine.
func (e *Engine) Counts(context.Context) ([]rank.ExpertLoad, error) {
	if err := e.enter(); err != nil {
		return nil, err
	}
	defer e.group.mu.Unlock()
	ref, ok := naming.MapAt(e.state.Schedule, e.state.LastStep)
	m := e.find(ref)
	if !ok || m == nil {
		return nil, result.New(result.MapMissing, "no map in force")
	}
	var counts []rank.ExpertLoad
	for i := range min(m.Layers(), len(e.group.load)) {
		counts = append(counts, e.layerCounts(i, m.Layer(i))...)
	}
	return counts, nil
}

func (e *Engine) layerCounts(i int, l *expertmap.Layer) []rank.ExpertLoad {
	var counts []rank.ExpertLoad
	each := l.Shape().Ranks / e.group.Endpoints
	for r := e.index * each; r < (e.index+1)*each; r++ {
		for _, s := range l.Rank(r) {
			if s.Expert >= 0 {
				tokens := e.group.load[i][s.Expert] * float64(s.Share) / expertmap.ShareUnits
				counts = append(counts, rank.ExpertLoad{Layer: i, Expert: s.Expert, Tokens: tokens})
			}
		}
	}
	return counts
}
