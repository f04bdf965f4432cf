package ranks

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// Group is a group of ranks spread over endpoints. Set the fields before the
// first call.
type Group struct {
	// Endpoints is the number of endpoints. Each has the same number of the
	// map's ranks, in order.
	Endpoints int
	// StepTime is the time between two steps of Run.
	StepTime time.Duration

	mu      sync.Mutex // guards what follows
	engines []*Engine
	load    [][]float64
	faults  []string
	steps   uint64
}

// Engine is the part of a Group at one endpoint.
type Engine struct {
	group  *Group
	index  int
	state  naming.EngineState
	maps   []*expertmap.Map
	failed bool
	// ranStep and ran are the newest step and the map it used.
	ranStep uint64
	ran     naming.Ref
}

var _ rank.Engine = (*Engine)(nil)

func (g *Group) init() {
	for i := len(g.engines); i < g.Endpoints; i++ {
		g.engines = append(g.engines, &Engine{
			group: g, index: i, state: naming.EngineState{Incarnation: 1},
		})
	}
}

// Engine returns the part at endpoint i.
func (g *Group) Engine(i int) *Engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.init()
	return g.engines[i]
}

// SetLoad sets the tokens a step of each expert in each layer.
func (g *Group) SetLoad(load [][]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load = load
}

// Faults returns the steps in which endpoints used different maps.
func (g *Group) Faults() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.faults...)
}

// Steps returns the newest step that all endpoints have begun.
func (g *Group) Steps() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.steps
}

// Run steps the group until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	t := time.NewTicker(g.StepTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			g.Step()
		}
	}
}

// Step lets each endpoint begin its next step if it may: when all have begun the
// step before, and it has a map for the step and leave to begin it.
func (g *Group) Step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.init()
	for _, e := range g.engines {
		g.begin(e)
	}
	g.steps = g.engines[0].state.LastStep
	for _, e := range g.engines {
		g.steps = min(g.steps, e.state.LastStep)
	}
}

func (g *Group) begin(e *Engine) {
	next := e.state.LastStep + 1
	for _, o := range g.engines {
		if o.state.LastStep < e.state.LastStep {
			return
		}
	}
	m, ok := naming.MapAt(e.state.Schedule, next)
	if !ok || next > e.state.StepLimit {
		return
	}
	e.state.LastStep, e.ranStep, e.ran = next, next, m
	for _, o := range g.engines {
		if o.ranStep == next && o.ran != m {
			g.faults = append(g.faults, fmt.Sprintf("step %d: endpoint %d uses version %d, endpoint %d version %d",
				next, e.index, m.Version, o.index, o.ran.Version))
		}
	}
}
