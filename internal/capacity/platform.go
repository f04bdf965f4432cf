package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/hyssoprelay/hyssoprelay/internal/demo"
	"github.com/hyssoprelay/hyssoprelay/internal/measure"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

// restTime is how long a system is left alone: several periods of each poll.
const restTime = 6 * time.Second

// Platform measures the calls to the platform's key-value service of entries
// at rest.
func Platform() Section {
	return Section{Name: "platform", Tables: platformTables}
}

func platformTables(ctx context.Context) ([]measure.Table, error) {
	sizes := []float64{3, 9, 18}
	reads := series{what: "reads with waiting watches", unit: "1/s"}
	writes := series{what: "writes", unit: "1/s"}
	for _, n := range sizes {
		r, w, err := callsAtRest(ctx, int(n))
		if err != nil {
			return nil, err
		}
		reads.values = append(reads.values, r)
		writes.values = append(writes.values, w)
	}
	notes := []string{
		"One data centre, one engine with its agent. Reads that are sent in a second,",
		"without the watches that wait. Slope: for each entry.",
	}
	return []measure.Table{table("Platform calls at rest", "entries", notes, sizes, reads, writes)}, nil
}

// callsAtRest returns reads and writes a second of n entries.
func callsAtRest(ctx context.Context, n int) (reads, writes float64, err error) {
	s := &demo.System{
		DataCentres: []string{"a"}, Entries: n, Engines: 1,
		EngineSettings: engine.Settings{Capacity: 8, ColdBound: 2, WarmAfter: 4, TokenMicros: 200},
		Preset:         demo.Preset("ordinary", 1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.Start(ctx); err != nil {
		return 0, 0, fmt.Errorf("%d entries: %w", n, err)
	}
	defer s.Stop()
	if !pause.For(ctx, restTime) {
		return 0, 0, errors.New("cancelled")
	}
	before := s.KV.Counts()
	pause.For(ctx, restTime)
	after := s.KV.Counts()
	reads = float64(after.Reads()-before.Reads()) / restTime.Seconds()
	writes = float64(after.Writes()-before.Writes()) / restTime.Seconds()
	return reads, writes, nil
}
