package pause

import (
	"context"
	"sync"
	"time"
)

// maxTimerDelay is how late a timer fires at most in a process that has processor time.
const maxTimerDelay = 100 * time.Millisecond

// Watchdog cancels a context unless it is restarted often enough.
//
// A process that has itself stood still, as its VM froze or had no processor time, finds its timers
// due when it goes on, before it has read what came meanwhile. If it took others for silent, or what
// waits for too old, it would give up all of its work. A timer that fires late shows that the process
// stood still, so the Watchdog waits once more.
type Watchdog struct {
	after  time.Duration
	cancel context.CancelFunc

	mu    sync.Mutex // guards all below
	timer *time.Timer
	due   time.Time
}

// NewWatchdog returns a Watchdog that calls cancel when the process has been running for the duration
// after without a call of Restart. Stop must be called in the end.
func NewWatchdog(after time.Duration, now time.Time, cancel context.CancelFunc) *Watchdog {
	w := &Watchdog{after: after, cancel: cancel, due: now.Add(after)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(after, func() { w.expire(time.Now()) })
	return w
}

// Restart waits anew from now on.
func (w *Watchdog) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart(now)
}

// Stop ends the Watchdog without calling cancel.
func (w *Watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// expire calls cancel, or waits once more if the timer has fired late.
func (w *Watchdog) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.due) > maxTimerDelay {
		w.restart(now)
		return
	}
	w.cancel()
}

// restart is Restart with mu held.
func (w *Watchdog) restart(now time.Time) {
	w.due = now.Add(w.after)
	w.timer.Reset(w.after)
}
