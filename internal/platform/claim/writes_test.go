package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Logs the service's writes per request, because the service handles only a few
// hundred writes per second. The bounds only detect that batching no longer
// works.
func TestWritesPerRequest(t *testing.T) {
	for _, c := range []struct {
		perSecond int
		maxWrites float64
	}{{10, 2.1}, {100, 1.6}, {1000, 0.2}} {
		t.Run(fmt.Sprint(c.perSecond), func(t *testing.T) {
			var n float64
			synctest.Test(t, func(t *testing.T) { n = writesPerRequest(t, c.perSecond) })
			t.Logf("%d requests per second over %d agents: %.2f writes per request", c.perSecond, clusterAgents, n)
			if n > c.maxWrites {
				t.Errorf("%.2f writes per request, want at most %.2f", n, c.maxWrites)
			}
		})
	}
}

func writesPerRequest(t *testing.T, perSecond int) float64 {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cluster := newTestCluster(ctx, 1, clusterAgents)
	cluster.server.SetSlow(3 * time.Millisecond)
	n := 20 * perSecond
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(cluster.rng.durationBelow(20 * time.Second))
			b := cluster.agents[i%clusterAgents]
			id := fmt.Sprint(i)
			v := b.Claim(ctx, Request{Key: testKey(i), BodyDigest: "d", RequestID: id, AttemptID: id})
			time.Sleep(cluster.rng.durationBelow(200 * time.Millisecond))
			if err := b.StoreOutcome(v.(Granted).Grant, Completed, Answer{Status: 200}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	for _, b := range cluster.agents {
		if err := b.Flush(ctx); err != nil {
			t.Error(err)
		}
	}
	cancel()
	cluster.waitStopped(t)
	return float64(cluster.server.Counts().Writes()) / float64(n)
}
