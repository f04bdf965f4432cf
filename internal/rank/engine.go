package rank

import (
	"context"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// Engine controls the ranks of one endpoint. The implementation forwards the
// fencing token; naming.Member checks it first, because some engines do not.
// Each order is idempotent and may take effect later, even if its call has
// failed; but not after the ranks to which it was sent have restarted, because
// it is dropped when their connection ends, and no later than Runner.StartDelay
// after the agent that sent it has ended.
type Engine interface {
	// Stage loads the weights that m needs and keeps m ready. To make room for
	// three other maps the engine may drop maps, oldest first, except those
	// that the activated entries use for future steps; State lists the maps
	// that it keeps.
	Stage(ctx context.Context, m *expertmap.Map, token uint64) error
	// Activate makes the ranks use a staged map from the entry's first step on,
	// until the next greater first step of an activated entry, regardless of
	// the order in which the entries arrive. With restart the ranks discard
	// entries for earlier steps and skip to the entry's first step, unless they
	// have already begun it.
	Activate(ctx context.Context, e naming.ScheduleEntry, restart bool, token uint64) error
	// SetStepLimit sets the step limit: the ranks may begin steps up to and
	// including step. Ranks wait before a step that they may not begin or have
	// no map for. A step lower than the current limit has no effect.
	SetStepLimit(ctx context.Context, step, token uint64) error
	// State returns the state that the ranks report.
	State(ctx context.Context) (naming.EngineState, error)
	// Counts returns the mean number of tokens per step that the endpoint's
	// ranks computed recently, for the experts they hold. The average covers
	// some seconds at most, ideally a quarter of the time between two plans,
	// because older counts describe a popularity that no longer applies.
	Counts(ctx context.Context) ([]ExpertLoad, error)
}

// ExpertLoad is the load of one expert on the ranks of one endpoint.
type ExpertLoad struct {
	// Layer and Expert identify the expert.
	Layer, Expert int
	// Tokens is the mean number of tokens per step.
	Tokens float64
}
