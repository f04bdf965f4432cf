package endpoint_test

import (
	"context"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
)

// An agent is told to stop just as it starts, and never ends: its event loop's
// goroutine runs for the first time after the order to stop, and undoes it.
func TestStopRightAfterStart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 300 {
		c := &endpoint.Client{Addr: "127.0.0.1:1", Metrics: metrics.NewRegistry()}
		if err := c.Run(ctx); err != nil {
			t.Fatal(err)
		}
	}
}
