// Command demo runs three data centres with entries, agents and stand-ins in
// one process, sends a mix of requests, takes a data centre out and back,
// switches a preset, and prints what became of the requests. It exits with 1
// when a promise was broken.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hyssoprelay/hyssoprelay/internal/demo"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

const (
	exitBroken = 1
	exitUsage  = 2
	// limit bounds the whole run.
	limit = 60 * time.Second
)

type options struct {
	Rate     float64       `long:"rate" default:"120" description:"requests a second"`
	Phase    time.Duration `long:"phase" default:"2s" description:"time between two changes"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of arrivals and shapes"`
	Timeline bool          `long:"timeline" description:"print the events of one request and of the changes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	broken, err := run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || broken {
		os.Exit(exitBroken)
	}
}

// run plays the demonstration and reports whether a promise was broken.
func run(ctx context.Context, o options) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s := &demo.System{
		DataCentres: []string{"a", "b", "c"}, Entries: 2, Engines: 4, Services: 1,
		EngineSettings: engine.Settings{Capacity: 16, ColdBound: 4, WarmAfter: 5, TokenMicros: 1500, ColdFactor: 2},
		Preset:         demo.Preset("ordinary", 1),
	}
	if err := s.Start(ctx); err != nil {
		return false, err
	}
	defer s.Stop()
	fmt.Println("three data centres, 6 entries, 12 engines, 3 order desks")
	load := &demo.Load{
		Entries: func() []*demo.Entry { return s.EntriesOf("") },
		Rate:    o.Rate, Deadline: 3 * time.Second, Seed: o.Seed,
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- load.Run(loadCtx) }()
	changes, err := operate(ctx, s, o.Phase)
	stopLoad()
	if lerr := <-done; err == nil {
		err = lerr
	}
	if err != nil {
		return false, err
	}
	if o.Timeline {
		out, err := s.Order(ctx, "timeline", "--since", "30s")
		if err != nil {
			return false, err
		}
		fmt.Println(out)
	}
	report := demo.NewReport(s, load.Outcomes(), changes)
	return len(report.Broken()) > 0, report.Print(os.Stdout)
}

// operate gives the operators' orders while the load runs.
func operate(ctx context.Context, s *demo.System, phase time.Duration) ([]demo.Change, error) {
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	peak := filepath.Join(dir, "peak.ini")
	if err := os.WriteFile(peak, []byte(demo.Preset("peak", 2)), 0o600); err != nil {
		return nil, err
	}
	var changes []demo.Change
	for _, c := range []struct {
		name string
		args []string
	}{
		{"data centre b out", []string{"datacentre", "out", "b"}},
		{"data centre b back", []string{"datacentre", "in", "b"}},
		{"preset peak put", []string{"preset", "put", peak}},
		{"preset peak switched to", []string{"preset", "switch", "peak"}},
	} {
		time.Sleep(phase)
		change, err := s.Change(ctx, c.name, c.args...)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	time.Sleep(phase)
	return changes, nil
}
