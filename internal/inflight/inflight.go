// Package inflight counts operations in progress, so that a graceful shutdown can wait for them.
package inflight

import (
	"context"
	"sync"
	"sync/atomic"
)

// Count counts operations in progress. The zero value is ready to use. It is safe for concurrent
// use, except that only one goroutine at a time may call Wait.
type Count struct {
	n    atomic.Int64
	once sync.Once
	// ended holds a token if an operation has ended since Wait last received from it.
	ended chan struct{}
}

// Begin records the start of an operation.
func (c *Count) Begin() { c.n.Add(1) }

// End records the end of an operation. It does not block.
func (c *Count) End() {
	c.n.Add(-1)
	select {
	case c.endedChan() <- struct{}{}:
	default:
	}
}

// Running returns the number of operations in progress.
func (c *Count) Running() int { return int(c.n.Load()) }

// Wait blocks until no operation is in progress or ctx is done.
func (c *Count) Wait(ctx context.Context) {
	for c.n.Load() > 0 {
		select {
		case <-c.endedChan():
		case <-ctx.Done():
			return
		}
	}
}

func (c *Count) endedChan() chan struct{} {
	c.once.Do(func() { c.ended = make(chan struct{}, 1) })
	return c.ended
}
