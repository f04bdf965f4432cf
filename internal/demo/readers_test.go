package demo

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/spread"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func readsPlatform(e *Entry) bool {
	g, ok := e.Process.Registry.Get("entry.readsPlatform").(metrics.Gauge)
	return ok && g.Value() == 1
}

// idleEntry waits until only the chosen entries read the platform's service
// and returns one that does not.
func idleEntry(t *testing.T, s *System) *Entry {
	t.Helper()
	var idle *Entry
	eventually(t, "only the chosen entries read the platform", func() bool {
		n := 0
		for _, e := range s.EntriesOf("") {
			if readsPlatform(e) {
				n++
				continue
			}
			idle = e
		}
		return n == spread.ReadersPerDataCentre
	})
	return idle
}

// The platform's service is down while an operator takes an endpoint out at an
// entry that does not read the service. No agent is there to pass the order on.
// When the service is back the order must be in its document, or the next VM
// that learns from the service alone gives the endpoint work.
func TestHoldAtAnyEntryReachesThePlatform(t *testing.T) {
	s := &System{
		DataCentres: []string{"a"}, Entries: spread.ReadersPerDataCentre + 2, Engines: 1,
		EngineSettings: engine.Settings{Capacity: 8, ColdBound: 2, WarmAfter: 4, TokenMicros: 200},
		Preset:         Preset("ordinary", 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	e := idleEntry(t, s)
	for _, a := range s.Agents() {
		if err := a.Stop(); err != nil {
			t.Fatal(err)
		}
	}
	s.KV.SetDown(true)
	out := orderAt(t, s, e, "endpoint", "out", "a-engine-0")
	if !strings.Contains(out, result.HeldLocally.String()) {
		t.Errorf("the operator was told %q", out)
	}
	s.KV.SetDown(false)
	eventually(t, "the platform's document holds the order", func() bool {
		w := config.Writer{KV: s.client, Store: &config.Store{}}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		return w.Repair(ctx, time.Now()) == nil && w.Store.Current().Head().IsOutOfService(config.Endpoint("a-engine-0"))
	})
}
