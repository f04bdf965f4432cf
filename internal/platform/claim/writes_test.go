package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// The service takes a few hundred writes a second. The test prints how many it
// gets a request; the bounds only catch a loss of batching.
func TestWritesPerRequest(t *testing.T) {
	for _, c := range []struct {
		perSecond int
		most      float64
	}{{10, 2.1}, {100, 1.6}, {1000, 0.2}} {
		t.Run(fmt.Sprint(c.perSecond), func(t *testing.T) {
			var n float64
			synctest.Test(t, func(t *testing.T) { n = writesPerRequest(t, c.perSecond) })
			t.Logf("%d requests a second over %d agents: %.2f writes a request", c.perSecond, fleetAgents, n)
			if n > c.most {
				t.Errorf("%.2f writes a request, at most %.2f", n, c.most)
			}
		})
	}
}

func writesPerRequest(t *testing.T, perSecond int) float64 {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := newFleet(ctx, 1, fleetAgents)
	f.server.SetSlow(3 * time.Millisecond)
	n := 20 * perSecond
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(f.rng.upTo(20 * time.Second))
			b := f.agents[i%fleetAgents]
			id := fmt.Sprint(i)
			v := b.Claim(ctx, Request{Key: testKey(i), BodyDigest: "d", RequestID: id, AttemptID: id})
			time.Sleep(f.rng.upTo(200 * time.Millisecond))
			if err := b.Conclude(v.(Granted).Grant, Completed, Answer{Status: 200}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	for _, b := range f.agents {
		if err := b.Flush(ctx); err != nil {
			t.Error(err)
		}
	}
	cancel()
	f.stop(t)
	return float64(f.server.Counts().Writes()) / float64(n)
}
