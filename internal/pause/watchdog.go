package pause

import (
	"context"
	"sync"
	"time"
)

// maxTimerDelay is how late a timer fires at most in a process that has processor time.
const maxTimerDelay = 100 * time.Millisecond

// ticksToExpire is the number of ticks into which a Watchdog divides its time.
const ticksToExpire = 8

// Watchdog cancels a context unless it is restarted often enough.
//
// A process that has itself stood still, as its VM froze or had no processor time, finds its timers
// due when it goes on, before it has read what came meanwhile. If it took others for silent, or what
// waits for too old, it would give up all of its work. Therefore a Watchdog counts only time in which
// the process was running: ticks that come late don't count.
type Watchdog struct {
	interval time.Duration
	cancel   context.CancelFunc

	mu    sync.Mutex // guards all below
	timer *time.Timer
	due   time.Time
	left  int
}

// NewWatchdog returns a Watchdog that calls cancel when the process has been running for the duration
// after without a call of Restart. Stop must be called in the end.
func NewWatchdog(after time.Duration, now time.Time, cancel context.CancelFunc) *Watchdog {
	w := &Watchdog{interval: after / ticksToExpire, cancel: cancel, left: ticksToExpire}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = now.Add(w.interval)
	w.timer = time.AfterFunc(w.interval, func() { w.tick(time.Now()) })
	return w
}

// Restart waits anew from now on.
func (w *Watchdog) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = ticksToExpire
	w.schedule(now)
}

// Stop ends the Watchdog without calling cancel.
func (w *Watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = 0
	w.timer.Stop()
}

// tick counts a tick that has come in time, and calls cancel after the last one.
func (w *Watchdog) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left == 0 || now.Before(w.due) {
		return // stopped, expired, or restarted after the timer had fired
	}
	if now.Sub(w.due) <= maxTimerDelay {
		w.left--
	}
	if w.left == 0 {
		w.cancel()
		return
	}
	w.schedule(now)
}

// schedule sets the time of the next tick. mu must be held.
func (w *Watchdog) schedule(now time.Time) {
	w.due = now.Add(w.interval)
	w.timer.Reset(w.interval)
}
