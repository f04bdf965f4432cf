package rank

import (
	"context"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

// Engine is the way to the ranks of one endpoint. The implementation passes the
// fencing token on; the Member checks it before, because some engines don't.
// Each order is idempotent, and may fail after it has taken effect. No order may
// take effect after its call has returned, nor more than Runner.Drain after the
// agent that gave it has ended.
type Engine interface {
	// Stage loads the weights that m needs and keeps m ready.
	Stage(ctx context.Context, m *expertmap.Map, fencing uint64) error
	// Activate makes the ranks use a staged map from a step on, until the next
	// greater step of an activated map, in whatever order they came. With restart
	// the ranks forget maps and steps before and begin at this step.
	Activate(ctx context.Context, e Entry, restart bool, fencing uint64) error
	// Allow lets the ranks begin steps up to and with the given one. Ranks
	// wait before a step that they may not begin or have no map for. A lower
	// step than before changes nothing.
	Allow(ctx context.Context, step, fencing uint64) error
	// State returns what the ranks say of themselves.
	State(ctx context.Context) (EngineState, error)
}

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

// EngineStage orders Engine.Stage.
type EngineStage struct{ Map *expertmap.Map }

// EngineActivate orders Engine.Activate.
type EngineActivate struct {
	Entry   Entry
	Restart bool
}

// EngineAllow orders Engine.Allow.
type EngineAllow struct{ Step uint64 }

func (EngineStage) isEngineOrder()    {}
func (EngineActivate) isEngineOrder() {}
func (EngineAllow) isEngineOrder()    {}
