package document

import (
	"sync"
	"time"
)

// Pace says when copies may be sent over a line. Set the exported fields before the
// first call. It is safe for concurrent use.
//
// Load: all entries of a data centre ask one of them for a value of a megabyte at
// once. Harm prevented: its line is full for a second, and what all of them wait for,
// an endpoint that leaves or a key that is taken away, stands behind it.
type Pace struct {
	// BytesPerSecond is what copies may take of the line.
	BytesPerSecond float64

	mu   sync.Mutex // guards free
	free time.Time  // when what was let through will have been sent
}

// Wait returns how long the next copy would have to wait.
func (p *Pace) Wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.free.Sub(now))
}

// Take returns how long a copy of n bytes has to wait before it is sent.
func (p *Pace) Take(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(0, p.free.Sub(now))
	sent := time.Duration(float64(n) / p.BytesPerSecond * float64(time.Second))
	p.free = now.Add(wait + sent)
	return wait
}
