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
	// Wait is how long a poll of the store waits for a change at most.
	Wait time.Duration

	mu   sync.Mutex // guards lost
	lost bool
}

// Lose notes that the store did not answer the process. It reports whether that is new.
func (b *Basis) Lose() bool { return b.setLost(true) }

// Learn notes that the process was told something new, by the store or by another one.
// It reports whether it had lost the store before.
func (b *Basis) Learn() bool { return b.setLost(false) }

func (b *Basis) setLost(lost bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.lost != lost
	b.lost = lost
	return changed
}

// Lost reports whether the process hears of nothing, as the store didn't answer it.
func (b *Basis) Lost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// Answer returns what the process may tell another one if it knows all changes that
// were made before asked.
func (b *Basis) Answer(asked, now time.Time) Answer {
	switch {
	case b.Lost():
		return Lost
	case now.Sub(asked) > 2*b.Wait+awaySlack:
		return Away
	default:
		return Fresh
	}
}
