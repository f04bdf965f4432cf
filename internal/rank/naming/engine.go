package naming

import "github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"

// EngineState is the state that the ranks of an endpoint report.
type EngineState struct {
	// Incarnation changes when the ranks have restarted and lost their maps.
	Incarnation uint64
	// LastStep is the last step that a rank has begun. A rank that restarts
	// during a step repeats it, so LastStep is then the step before.
	LastStep uint64
	// StepLimit is the step limit: the last step that the ranks may begin.
	StepLimit uint64
	// Staged lists the loaded maps.
	Staged []Ref
	// Schedule holds the activated maps, oldest first.
	Schedule []ScheduleEntry
}

// EngineOrder is an order of a Member to its engine.
type EngineOrder interface{ isEngineOrder() }

// EngineStage asks the engine to load the weights that a map needs and to keep
// them loaded.
type EngineStage struct{ Map *expertmap.Map }

// EngineActivate asks the ranks to use a staged map from a step on, until the
// first step of the next activated map, whatever the sequence of the orders.
// With Restart, the ranks discard earlier entries and steps and begin at this
// step.
type EngineActivate struct {
	Entry   ScheduleEntry
	Restart bool
}

// EngineSetStepLimit sets the step limit: the ranks may begin all steps up to
// and including Step. A step lower than the present limit has no effect.
type EngineSetStepLimit struct{ Step uint64 }

func (EngineStage) isEngineOrder()        {}
func (EngineActivate) isEngineOrder()     {}
func (EngineSetStepLimit) isEngineOrder() {}
