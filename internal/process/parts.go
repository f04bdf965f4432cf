package process

import (
	"context"
	"errors"
	"net/netip"

	"github.com/rcrowley/go-metrics"
)

// Part is what one goroutine of a process does until ctx ends.
type Part func(ctx context.Context) error

// RunParts runs all parts until ctx ends or one of them does. Then it calls
// leave, with the parts still running, so that a process can finish its work
// with all that the work needs; after that it ends the parts and waits for
// them. It returns what failed.
func RunParts(ctx context.Context, parts []Part, leave func(failed error) error) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, len(parts))
	for _, p := range parts {
		go func() { done <- p(inner) }()
	}
	var failed error
	running := len(parts)
	select {
	case <-ctx.Done():
	case failed = <-done:
		running--
	}
	failed = errors.Join(failed, leave(failed))
	stop()
	for range running {
		failed = errors.Join(failed, <-done)
	}
	return failed
}

// MetricsParts returns the part that shows metrics at addr, or none when the
// settings name no address.
func MetricsParts(addr netip.AddrPort, r metrics.Registry) []Part {
	if !addr.IsValid() {
		return nil
	}
	return []Part{func(ctx context.Context) error { return ServeMetrics(ctx, addr.String(), r) }}
}
