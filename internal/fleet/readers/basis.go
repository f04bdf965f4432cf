package readers

import (
	"sync"
	"time"
)

// PollSlack is the time by which a poll of the store may exceed its wait before it counts
// as unanswered. The store answers in milliseconds. 500 ms is more than its slow answers
// take, and fits within the time limit for a change of the configuration.
const PollSlack = 500 * time.Millisecond

const (
	// waitFraction is the fraction of the time limit for a change that a poll of the
	// store waits, and maxWait the longest wait. While nothing changes, the age of the
	// state reaches twice the wait; account keys must be accepted for longer than that.
	waitFraction = 0.35
	maxWait      = 1500 * time.Millisecond
	// lateMargin is the time after the end of its wait from which a poll is late. The
	// store's slow answers take less time than that. A late poll stays pending while
	// other processes poll the store.
	lateMargin = 250 * time.Millisecond
)

// MaxFollowWait is the longest time that a process waits for a change before it answers
// the request of another one. A frozen process is detected a little later, well within the
// time limit for a change of the configuration.
const MaxFollowWait = 500 * time.Millisecond

// Wait returns the wait of a poll of the store, given the time limit within which a
// change has to be in force everywhere. A poll that is never answered is detected, and
// another process polls instead, while a third of that limit is left.
func Wait(change time.Duration) time.Duration {
	return min(maxWait, time.Duration(waitFraction*float64(change)))
}

// ageMargin is added to twice the wait of a poll to get the greatest age of a state that
// may be served to others.
const ageMargin = 400 * time.Millisecond

// Freshness tracks where the state of a process, its copy of the store's keys, comes from
// and whether it is current. This decides whether other processes may get updates from
// it. Set the exported fields before the first call. It is safe for concurrent use.
type Freshness struct {
	// Self is the name of the process.
	Self string
	// Wait is the longest time that a poll of the store waits for a change.
	Wait time.Duration

	mu        sync.Mutex // guards all below
	storeLost bool
	// origin is the name of the process that got this one's state from the store itself.
	origin string
	// lateAt is the time from which the pending call to the store is late.
	lateAt time.Time
	// progressAt is when the process started or last received a part of its state.
	progressAt time.Time
}

// startupPatience is the time without progress after which a process that has no state
// yet no longer keeps its followers.
const startupPatience = time.Second

// NoteProgress records that the process has started, or has received a part of its
// state.
func (f *Freshness) NoteProgress(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progressAt = now
}

// AnswerWithoutState returns the outcome of a request to the process while it has no
// state yet.
func (f *Freshness) AnswerWithoutState(now time.Time) Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.storeLost:
		return StoreLost
	case now.Sub(f.progressAt) < startupPatience:
		return Starting
	default:
		return NotCurrent
	}
}

// NoteRequest records a call to the store whose answer is due at a time.
func (f *Freshness) NoteRequest(due time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateAt = due.Add(lateMargin)
}

// LateAt returns the time from which the pending call to the store is late, or the zero
// time if no call is pending.
func (f *Freshness) LateAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateAt
}

// isLate reports whether the pending call to the store is late.
func (f *Freshness) isLate(now time.Time) bool {
	late := f.LateAt()
	return !late.IsZero() && !now.Before(late)
}

// NoteFailure records that the store did not answer the process. It reports whether this
// is new: the process had not lost the store before.
func (f *Freshness) NoteFailure() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasLost := f.storeLost
	f.storeLost, f.lateAt = true, time.Time{}
	return !wasLost
}

// NoteUpdate records an update that origin, the process itself or another one, got from
// the store. It reports whether the process had lost the store before.
func (f *Freshness) NoteUpdate(origin string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasLost := f.storeLost
	f.storeLost, f.origin, f.lateAt = false, origin, time.Time{}
	return wasLost
}

// Origin returns the name of the process that got the state of this one from the store
// itself.
func (f *Freshness) Origin() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.origin
}

// Lost reports whether the store did not answer the process and the process has got no
// update since, from the store or from another process.
func (f *Freshness) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLost
}

// Answer returns the outcome of a request of the process requester, given that this
// process knows all changes made before knownAt.
//
// Two processes that get their updates from each other would both stop polling the
// store, and each would take the lack of updates from the other as proof that nothing
// has changed. A late poll proves nothing either: the connection to the store may be
// dead for this process alone.
func (f *Freshness) Answer(requester string, knownAt, now time.Time) Outcome {
	switch {
	case f.Lost():
		return StoreLost
	case f.Origin() == requester:
		return OwnState
	case f.isLate(now), now.Sub(knownAt) > 2*f.Wait+ageMargin:
		return NotCurrent
	default:
		return Fresh
	}
}
