package platform

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// counters are the client's metrics.
type counters struct {
	reads          metrics.Counter
	writes         metrics.Counter
	notSent        metrics.Counter
	outcomeUnknown metrics.Counter
	overBudget     metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.DefaultRegistry
	}
	return counters{
		reads:          metrics.GetOrRegisterCounter("platform.reads", r),
		writes:         metrics.GetOrRegisterCounter("platform.writes", r),
		notSent:        metrics.GetOrRegisterCounter("platform.notSent", r),
		outcomeUnknown: metrics.GetOrRegisterCounter("platform.outcomeUnknown", r),
		overBudget:     metrics.GetOrRegisterCounter("platform.overBudget", r),
	}
}

// withTimeout returns a context that ends after Client.Timeout at the latest.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Timeout)
}

// acquire waits for the rate limiter and then for a connection in the state Ready.
// Its errors are NotSentErrors. A call is passed to the transport only over such a
// connection, so that a call without one is known to have had no effect. Each
// later error of a write that is not a rejection counts as an unknown outcome.
func (c *Client) acquire(ctx context.Context, l *RateLimiter) (*grpc.ClientConn, error) {
	c.init()
	if err := c.waitForRateLimit(ctx, l); err != nil {
		return nil, err
	}
	for {
		conn, ok := c.readyConn()
		if ok {
			return conn, nil
		}
		if err := c.waitForConn(ctx); err != nil {
			c.counters.notSent.Inc(1)
			return nil, err
		}
	}
}

func (c *Client) waitForRateLimit(ctx context.Context, l *RateLimiter) error {
	remaining := c.Timeout
	now := time.Now()
	if d, ok := ctx.Deadline(); ok {
		remaining = d.Sub(now)
	}
	wait, ok := l.Reserve(now, remaining)
	if !ok {
		c.counters.overBudget.Inc(1)
		return NewNotSentError("this process's call budget is used up")
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
		return NewNotSentError("the time limit passed in the wait for the call budget")
	}
}

// waitForConn waits until the state of a connection has changed, so that one may be
// ready. It returns a NotSentError when ctx ends first or the client is not running.
func (c *Client) waitForConn(ctx context.Context) error {
	select {
	case <-c.started:
	case <-ctx.Done():
		return NewNotSentError("the client has not been started")
	}
	conns := c.connections()
	if len(conns) == 0 {
		return NewNotSentError("the client has been stopped")
	}
	if !waitForStateChange(ctx, conns) {
		return NewNotSentError("no connection to the service")
	}
	return nil
}

// waitForStateChange waits until one of the connections is ready or has changed
// its state. It returns false if ctx ends first.
func waitForStateChange(ctx context.Context, conns []*grpc.ClientConn) bool {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan bool, len(conns))
	for _, conn := range conns {
		s := conn.GetState()
		if s == connectivity.Idle {
			conn.Connect()
		}
		go func() { results <- s == connectivity.Ready || conn.WaitForStateChange(ctx, s) }()
	}
	changed := <-results
	cancel()
	for range len(conns) - 1 {
		<-results
	}
	return changed
}
