// Package wake tells a waiting goroutine that there is something to do.
package wake

import "sync"

// Signal wakes one waiter. Signals that are raised while nobody waits count as one.
// The zero value is ready to use; a Signal must not be copied.
type Signal struct {
	once sync.Once
	ch   chan struct{}
}

// Raise wakes the waiter, or the next one to come. It never waits.
func (s *Signal) Raise() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}

// Raised returns a channel that yields a value once the signal has been raised.
// Reading the value takes the signal back.
func (s *Signal) Raised() <-chan struct{} { return s.channel() }

func (s *Signal) channel() chan struct{} {
	s.once.Do(func() { s.ch = make(chan struct{}, 1) })
	return s.ch
}
