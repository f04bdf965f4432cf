// Package inflight counts the work that a process has not ended, so that a
// graceful stop can wait for it.
package inflight

import (
	"context"
	"sync"
	"sync/atomic"
)

// Count counts work that has begun and not ended. Its zero value is ready for
// use by several goroutines; one at a time may Wait.
type Count struct {
	n    atomic.Int64
	once sync.Once
	// ended holds a token when some work has ended since the last look.
	ended chan struct{}
}

// Begin notes that one piece of work has begun.
func (c *Count) Begin() { c.n.Add(1) }

// End notes that one piece of work has ended. It never waits.
func (c *Count) End() {
	c.n.Add(-1)
	select {
	case c.signal() <- struct{}{}:
	default:
	}
}

// Running returns how much work has not ended.
func (c *Count) Running() int { return int(c.n.Load()) }

// Wait returns when nothing runs any more or ctx ends.
func (c *Count) Wait(ctx context.Context) {
	for c.n.Load() > 0 {
		select {
		case <-c.signal():
		case <-ctx.Done():
			return
		}
	}
}

func (c *Count) signal() chan struct{} {
	c.once.Do(func() { c.ended = make(chan struct{}, 1) })
	return c.ended
}
