package naming

import "github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"

// EngineState is what the ranks of an endpoint say of themselves.
type EngineState struct {
	// Incarnation changes when the ranks have restarted and lost their maps.
	Incarnation uint64
	// Begun is the last step that a rank has begun. A rank that restarts in a
	// step does the step again, so it is the step before then.
	Begun uint64
	// Allowed is the last step that the ranks may begin.
	Allowed uint64
	// Staged lists the maps kept ready.
	Staged []Ref
	// Schedule holds the activated maps, oldest first.
	Schedule []Entry
}

// EngineOrder is an order of the Member to its engine.
type EngineOrder interface{ isEngineOrder() }

// EngineStage asks the engine to load the weights that a map needs and to keep
// the map ready.
type EngineStage struct{ Map *expertmap.Map }

// EngineActivate asks the ranks to use a staged map from a step on, until the
// next greater step of an activated map, in whatever order they came. With
// Restart the ranks forget earlier entries and steps and begin at this step.
type EngineActivate struct {
	Entry   Entry
	Restart bool
}

// EngineAllow lets the ranks begin steps up to and with the given one. A lower
// step than before changes nothing.
type EngineAllow struct{ Step uint64 }

func (EngineStage) isEngineOrder()    {}
func (EngineActivate) isEngineOrder() {}
func (EngineAllow) isEngineOrder()    {}
