// Package inflight counts operations in progress, so that a graceful shutdown can wait for them.
package inflight

import (
	"context"
	"sync"
	"sync/atomic"
)

// Counter counts operations in progress. The zero value is ready to use. It is safe for
// concurrent use, except that only one goroutine at a time may call Wait.
type Counter struct {
	n    atomic.Int64
	once sync.Once
	// ended holds a token if an operation has ended since Wait last received from it.
	ended chan struct{}
}

// Begin records the start of an operation.
func (c *Counter) Begin() { c.n.Add(1) }

// End records the end of an operation. It does not block.
func (c *Counter) End() {
	c.n.Add(-1)
	select {
	case c.endedChan() <- struct{}{}:
	default:
	}
}

// Running returns the number of operations in progress.
func (c *Counter) Running() int { return int(c.n.Load()) }

// Wait blocks until no operation is in progress or ctx is done.
func (c *Counter) Wait(ctx context.Context) {
	for c.n.Load() > 0 {
		select {
		case <-c.endedChan():
		case <-ctx.Done():
			return
		}
	}
}

func (c *Counter) endedChan() chan struct{} {
	c.once.Do(func() { c.ended = make(chan struct{}, 1) })
	return c.ended
}
