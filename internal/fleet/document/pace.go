package document

import (
	"sync"
	"time"
)

// Pacer limits the rate at which copies are sent over a network link. Set the exported
// fields before the first call. It is safe for concurrent use.
//
// If all entries of a data centre requested a value of a megabyte from one of them at
// once and without a limit, its link would be saturated for a second. Urgent messages
// to all of them, such as the removal of an endpoint or of a key, would be queued behind
// the copies.
type Pacer struct {
	// BytesPerSecond is the bandwidth available to copies.
	BytesPerSecond float64

	mu     sync.Mutex // guards freeAt
	freeAt time.Time  // end of the time reserved for copies
}

// Delay returns the delay that Reserve would return for the next copy.
func (p *Pacer) Delay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.freeAt.Sub(now))
}

// Reserve reserves bandwidth for a copy of n bytes and returns the delay after which it
// is to be sent.
func (p *Pacer) Reserve(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(0, p.freeAt.Sub(now))
	sendTime := time.Duration(float64(n) / p.BytesPerSecond * float64(time.Second))
	p.freeAt = now.Add(wait + sendTime)
	return wait
}
