package platform

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// counts are the client's counters.
type counts struct {
	reads    metrics.Counter
	writes   metrics.Counter
	notSent  metrics.Counter
	unknown  metrics.Counter
	overRate metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	if r == nil {
		r = metrics.DefaultRegistry
	}
	return counts{
		reads:    metrics.GetOrRegisterCounter("platform.reads", r),
		writes:   metrics.GetOrRegisterCounter("platform.writes", r),
		notSent:  metrics.GetOrRegisterCounter("platform.notSent", r),
		unknown:  metrics.GetOrRegisterCounter("platform.outcomeUnknown", r),
		overRate: metrics.GetOrRegisterCounter("platform.overBudget", r),
	}
}

// limit gives a call its time limit.
func (c *Client) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Timeout)
}

// acquire waits for the call's turn in the budget and then for a connection
// that is up. Its errors are NotSentErrors. It guards the truth of "not sent":
// a call is handed to the transport only over a connection that was up, so an
// error before that is known to have had no effect, and each later error of a
// write counts as an unknown outcome.
func (c *Client) acquire(ctx context.Context, b *Budget) (*grpc.ClientConn, error) {
	c.init()
	if err := c.turn(ctx, b); err != nil {
		return nil, err
	}
	for {
		conn, ok := c.ready()
		if ok {
			return conn, nil
		}
		if err := c.await(ctx); err != nil {
			c.counts.notSent.Inc(1)
			return nil, err
		}
	}
}

func (c *Client) turn(ctx context.Context, b *Budget) error {
	left := c.Timeout
	now := time.Now()
	if d, ok := ctx.Deadline(); ok {
		left = d.Sub(now)
	}
	wait, ok := b.Take(now, left)
	if !ok {
		c.counts.overRate.Inc(1)
		return NotSent("this process's call budget is used up")
	}
	if wait == 0 {
		return nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return NotSent("the time limit passed in the wait for the call budget")
	}
}

// await returns when a connection may have come up, or with a NotSentError.
func (c *Client) await(ctx context.Context) error {
	select {
	case <-c.start:
	case <-ctx.Done():
		return NotSent("the client has not been started")
	}
	conns := c.current()
	if len(conns) == 0 {
		return NotSent("the client has been stopped")
	}
	if !changed(ctx, conns) {
		return NotSent("no connection to the service")
	}
	return nil
}

// changed returns true after a connection changed its state, and false when
// ctx ended before.
func changed(ctx context.Context, conns []*grpc.ClientConn) bool {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan bool, len(conns))
	for _, conn := range conns {
		s := conn.GetState()
		if s == connectivity.Idle {
			conn.Connect()
		}
		go func() { done <- s == connectivity.Ready || conn.WaitForStateChange(ctx, s) }()
	}
	first := <-done
	cancel()
	for range len(conns) - 1 {
		<-done
	}
	return first
}
