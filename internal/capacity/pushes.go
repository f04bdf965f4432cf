package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/demo"
	"github.com/hyssoprelay/hyssoprelay/internal/measure"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

const (
	// pushAgents is the number of agents, and pushChanges that of the changes.
	pushAgents  = 8
	pushChanges = 6
	// pushPause lets each change come to rest.
	pushPause = 1500 * time.Millisecond
)

// Pushes measures how often an agent is handed each change by the entries that
// listen to it.
func Pushes() Section {
	return Section{Name: "pushes", Tables: pushTables}
}

func pushTables(ctx context.Context) ([]measure.Table, error) {
	sizes := []float64{2, 4, 8, 16}
	pushes := series{what: "exchanges for an agent and change", unit: "mean"}
	slowest := series{what: "slowest of all changes to be in force", unit: "ms"}
	for _, n := range sizes {
		p, took, err := pushesOf(ctx, int(n))
		if err != nil {
			return nil, err
		}
		pushes.values = append(pushes.values, p)
		slowest.values = append(slowest.values, float64(took.Milliseconds()))
	}
	notes := []string{"One data centre; each entry listens to all 8 agents. In force: at each agent."}
	return []measure.Table{table("Handing changes to agents", "entries", notes, sizes, pushes, slowest)}, nil
}

func pushesOf(ctx context.Context, entries int) (pushes float64, slowest time.Duration, err error) {
	s := &demo.System{
		DataCentres: []string{"a"}, Entries: entries, Engines: pushAgents,
		EngineSettings: engine.Settings{Capacity: 8, ColdBound: 2, WarmAfter: 4, TokenMicros: 200},
		Preset:         demo.Preset("ordinary", 1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.Start(ctx); err != nil {
		return 0, 0, err
	}
	defer s.Stop()
	pause.For(ctx, 2*pushPause)
	before := pushCount(s)
	for i := range pushChanges {
		want := i%2 == 0
		verb := map[bool]string{true: "out", false: "in"}[want]
		begun := time.Now()
		if _, err := s.Order(ctx, "datacentre", verb, "a"); err != nil {
			return 0, 0, fmt.Errorf("datacentre %s: %w", verb, err)
		}
		for !everywhere(s, want) && pause.For(ctx, time.Millisecond) {
		}
		slowest = max(slowest, time.Since(begun))
		pause.For(ctx, pushPause)
	}
	return float64(pushCount(s)-before) / pushAgents / pushChanges, slowest, nil
}

// everywhere reports whether the data centre is out, or in, at each process.
func everywhere(s *demo.System, out bool) bool {
	for _, a := range s.Agents() {
		if a.Process.OutOfService() != out {
			return false
		}
	}
	for _, e := range s.EntriesOf("") {
		if e.Process.IsOut(config.DataCentre("a")) != out {
			return false
		}
	}
	return true
}

func pushCount(s *demo.System) int64 {
	var n int64
	for _, e := range s.EntriesOf("") {
		if c, ok := e.Process.Registry.Get("entry.pushes").(metrics.Counter); ok {
			n += c.Count()
		}
	}
	return n
}
