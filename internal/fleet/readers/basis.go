package readers

import (
	"sync"
	"time"
)

// PollSlack is how long a poll of the store may outlast its wait before it counts as
// unanswered: the store answers in milliseconds, and half a second is more than its slow
// answers take within the time for a change of the configuration.
const PollSlack = 500 * time.Millisecond

const (
	// waitPart is the part of the time for a change that a poll of the store waits, and
	// mostWait what it waits at most: knowledge is twice as old while nothing changes,
	// and keys are to be believed for longer.
	waitPart = 0.35
	mostWait = 1500 * time.Millisecond
	// lateAfter is how long after the end of its wait a poll is late. The store's slow
	// answers take less; others try the store meanwhile, and the poll goes on.
	lateAfter = 250 * time.Millisecond
)

// HearWait is how long a process that is asked by another one waits for news. A frozen one
// is noticed a little later, well within the time for a change of the configuration.
const HearWait = 500 * time.Millisecond

// Wait returns how long a poll of the store waits for a change, where a change has to be
// in force everywhere within a time: a poll that is never answered is noticed, and
// another process asks in its place, while a third of that time is left.
func Wait(change time.Duration) time.Duration {
	return min(mostWait, time.Duration(waitPart*float64(change)))
}

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
	// late is from when on a call to the store that is under way has taken too long.
	late time.Time
}

// Ask notes that the store is asked, and when the answer is due.
func (b *Basis) Ask(due time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.late = due.Add(lateAfter)
}

// Late returns from when on the store's answer is late, or zero if it is not asked.
func (b *Basis) Late() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.late
}

// isLate reports whether the store should have answered by now.
func (b *Basis) isLate(now time.Time) bool {
	late := b.Late()
	return !late.IsZero() && !now.Before(late)
}

// Lose notes that the store did not answer the process. It reports whether that is new.
func (b *Basis) Lose() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.lost
	b.lost, b.late = true, time.Time{}
	return !was
}

// Learn notes that the process was told what the store has told origin, which is itself
// or another one. It reports whether it had lost the store before.
func (b *Basis) Learn(origin string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.lost
	b.lost, b.origin, b.late = false, origin, time.Time{}
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
// take the other's silence for a sign that nothing has changed. Nor is a late poll such
// a sign: the way to the store may have fallen silent, for this process alone.
func (b *Basis) Answer(asker string, asked, now time.Time) Answer {
	switch {
	case b.Lost():
		return Lost
	case b.Origin() == asker:
		return Echo
	case b.isLate(now), now.Sub(asked) > 2*b.Wait+awaySlack:
		return Away
	default:
		return Fresh
	}
}
