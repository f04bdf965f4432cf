// Package wake provides a signal by which one goroutine tells another that work is available.
package wake

import (
	"context"
	"sync"
	"time"
)

// Signal wakes a single waiting goroutine. Calls of Raise are combined into one until the waiter
// receives it. The zero value is ready to use. A Signal must not be copied.
type Signal struct {
	once sync.Once
	ch   chan struct{}
}

// Raise wakes the waiting goroutine, or the next one that waits. It does not block.
func (s *Signal) Raise() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}

// Raised returns the channel that delivers a value after Raise. Receiving the value clears the
// signal.
func (s *Signal) Raised() <-chan struct{} { return s.channel() }

// Wait waits until the signal is raised, d has elapsed or ctx is done, whichever is first. It
// reports whether the signal was raised, and clears it then.
func (s *Signal) Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.Raised():
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (s *Signal) channel() chan struct{} {
	s.once.Do(func() { s.ch = make(chan struct{}, 1) })
	return s.ch
}
