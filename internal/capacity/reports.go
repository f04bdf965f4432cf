package capacity

import (
	"context"
	"errors"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/hyssoprelay/hyssoprelay/internal/demo"
	"github.com/hyssoprelay/hyssoprelay/internal/measure"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

// reportTime is for how long reports are counted.
const reportTime = 5 * time.Second

// Reports measures what the streams of agents' reports cost at rest.
func Reports() Section {
	return Section{Name: "reports", Tables: reportTables}
}

// systemCost is what a system uses in a second at rest.
type systemCost struct {
	bytes, processor, memory float64
}

func reportTables(ctx context.Context) ([]measure.Table, error) {
	agents := []float64{8, 32, 128}
	byAgents, err := systemTable(ctx, agents, func(n int) (int, int) { return 1, n })
	if err != nil {
		return nil, err
	}
	entries := []float64{1, 2, 4}
	byEntries, err := systemTable(ctx, entries, func(n int) (int, int) { return n, 32 })
	if err != nil {
		return nil, err
	}
	byFewer, err := systemTable(ctx, entries, func(n int) (int, int) { return n, 8 })
	if err != nil {
		return nil, err
	}
	notes := []string{
		"One data centre at rest in one process. Bytes are those between entries and",
		"agents, with the headers of HTTP/2; processor time and memory are of all",
		"parts together: entries, agents and the engines' stand-ins.",
	}
	return []measure.Table{
		table("Reports of agents to one entry", "agents", notes, agents, byAgents...),
		table("Entries that listen to 32 agents", "entries", notes, entries, byEntries...),
		table("Entries that listen to 8 agents", "entries", notes, entries, byFewer...),
	}, nil
}

func systemTable(ctx context.Context, sizes []float64, shape func(n int) (entries, agents int)) ([]series, error) {
	bytes := series{what: "bytes", unit: "B/s"}
	processor := series{what: "processor time", unit: "us/s"}
	memory := series{what: "memory", unit: "B"}
	for _, n := range sizes {
		entries, agents := shape(int(n))
		c, err := systemAtRest(ctx, entries, agents)
		if err != nil {
			return nil, err
		}
		bytes.values = append(bytes.values, c.bytes)
		processor.values = append(processor.values, c.processor)
		memory.values = append(memory.values, c.memory)
	}
	return []series{bytes, processor, memory}, nil
}

func systemAtRest(ctx context.Context, entries, agents int) (systemCost, error) {
	before := heap()
	s := &demo.System{
		DataCentres: []string{"a"}, Entries: entries, Engines: agents,
		EngineSettings: engine.Settings{Capacity: 8, ColdBound: 2, WarmAfter: 4, TokenMicros: 200},
		Preset:         demo.Preset("ordinary", 1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.Start(ctx); err != nil {
		return systemCost{}, err
	}
	defer s.Stop()
	pause.For(ctx, time.Second)
	bytes, used := s.Network.Bytes("a", "a"), processorTime()
	if !pause.For(ctx, reportTime) {
		return systemCost{}, errors.New("cancelled")
	}
	return systemCost{
		bytes:     float64(s.Network.Bytes("a", "a")-bytes) / reportTime.Seconds(),
		processor: float64((processorTime() - used).Microseconds()) / reportTime.Seconds(),
		memory:    heap() - before,
	}, nil
}
