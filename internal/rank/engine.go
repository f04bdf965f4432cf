package rank

import (
	"context"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// Engine is the way to the ranks of one endpoint. The implementation passes the
// fencing token on; the Member checks it before, because some engines don't.
// Each order is idempotent and may take effect although its call has failed, or
// later; but not after the ranks that it was sent to have restarted, because it
// ends with their connection, and no later than Runner.Drain after the agent
// that gave it has ended.
type Engine interface {
	// Stage loads the weights that m needs and keeps m ready. The engine may
	// drop a map that is in no activated entry that a step to come uses, oldest
	// first, when it needs the room for three others; State tells.
	Stage(ctx context.Context, m *expertmap.Map, fencing uint64) error
	// Activate makes the ranks use a staged map from a step on, until the next
	// greater step of an activated map, in whatever order they came. With restart
	// the ranks forget earlier entries and steps and begin at this step, unless
	// they are beyond it.
	Activate(ctx context.Context, e naming.Entry, restart bool, fencing uint64) error
	// Allow lets the ranks begin steps up to and with the given one. Ranks
	// wait before a step that they may not begin or have no map for. A lower
	// step than before changes nothing.
	Allow(ctx context.Context, step, fencing uint64) error
	// State returns what the ranks say of themselves.
	State(ctx context.Context) (naming.EngineState, error)
	// Counts returns the mean tokens a step that the endpoint's ranks computed
	// lately, for the experts they hold: over some seconds at most, and best over
	// a quarter of the time between two plans, because older ones tell of a
	// popularity that has passed.
	Counts(ctx context.Context) ([]Count, error)
}

// Count is the load of one expert on the ranks of one endpoint.
type Count struct {
	// Layer and Expert name the expert.
	Layer, Expert int
	// Tokens is the mean number of tokens a step.
	Tokens float64
}
