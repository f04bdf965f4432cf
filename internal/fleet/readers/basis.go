package readers

import (
	"sync"
	"time"
)

// PollSlack is how long a poll of the store may outlast its wait before it counts as
// unanswered: the store answers in milliseconds, and half a second is more than its slow
// answers take within the time for a change of the configuration.
const PollSlack = 500 * time.Millisecond

// awaySlack is added to the two waits of a poll that knowledge may be old.
const awaySlack = 400 * time.Millisecond

// Basis is what the knowledge of a process rests on, and so whether others may hear
// from it. Set the exported fields before the first call. It is safe for concurrent
// use.
type Basis struct {
	// Own is the name of the process.
	Own string
	// Wait is how long a poll of the store waits for a change at most.
	Wait time.Duration

	mu   sync.Mutex // guards all below
	lost bool
	// origin is the process that the store itself has told what this one knows.
	origin string
}

// Lose notes that the store did not answer the process. It reports whether that is new.
func (b *Basis) Lose() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.lost
	b.lost = true
	return !was
}

// Learn notes that the process was told what the store has told origin, which is itself
// or another one. It reports whether it had lost the store before.
func (b *Basis) Learn(origin string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.lost
	b.lost, b.origin = false, origin
	return was
}

// Origin returns the process that the store itself has told what this one knows.
func (b *Basis) Origin() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.origin
}

// Lost reports whether the process hears of nothing, as the store didn't answer it.
func (b *Basis) Lost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// Answer returns what the process may tell another one, the asker, if it knows all
// changes that were made before asked.
//
// Guard: two processes that hear from each other ask the store no more, and each would
// take the other's silence for a sign that nothing has changed.
func (b *Basis) Answer(asker string, asked, now time.Time) Answer {
	switch {
	case b.Lost():
		return Lost
	case b.Origin() == asker:
		return Echo
	case now.Sub(asked) > 2*b.Wait+awaySlack:
		return Away
	default:
		return Fresh
	}
}
