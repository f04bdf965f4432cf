package entry

import (
	"context"
	"sync"
	"time"
)

// maxTimerDelay is how late a timer fires at most in a process that has processor time.
const maxTimerDelay = 100 * time.Millisecond

// silence ends the watch of an agent that has sent nothing for silentAfter.
//
// An entry that has itself stood still for that long, as its VM froze or had no processor time,
// finds the timers of all agents due when it goes on, before it has read what they have sent
// meanwhile. If it took them for silent, it would refuse its callers and give up all attempts. A
// timer that fires late shows that the entry stood still, so the agent is waited for once more.
type silence struct {
	cancel context.CancelFunc

	mu    sync.Mutex // guards all below
	timer *time.Timer
	due   time.Time
}

// newSilence returns a silence that calls cancel unless heard is called often enough. stop must be
// called in the end.
func newSilence(now time.Time, cancel context.CancelFunc) *silence {
	s := &silence{cancel: cancel, due: now.Add(silentAfter)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(silentAfter, func() { s.expire(time.Now()) })
	return s
}

// heard records that the agent has sent something.
func (s *silence) heard(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart(now)
}

// expire ends the watch, or waits once more if the timer has fired late.
func (s *silence) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.due) > maxTimerDelay {
		s.restart(now)
		return
	}
	s.cancel()
}

// restart waits for silentAfter from now on. mu must be held.
func (s *silence) restart(now time.Time) {
	s.due = now.Add(silentAfter)
	s.timer.Reset(silentAfter)
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}
