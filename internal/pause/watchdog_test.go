package pause

import (
	"context"
	"testing"
	"time"
)

// Guards against an entry that takes an agent for silent because it has itself stood still, for any
// time, and against one that waits for a silent agent forever.
func TestWatchdogCountsOnlyTimeInWhichTheProcessRuns(t *testing.T) {
	const after = 800 * time.Millisecond
	start := time.Now()
	for _, still := range []time.Duration{after, after + maxTimerDelay/2, 3 * time.Second} {
		ctx, cancel := context.WithCancel(t.Context())
		w := NewWatchdog(after, start, cancel)
		w.timer.Stop() // the test gives the ticks
		now := start.Add(still)
		w.tick(now)
		for i := range ticksToExpire {
			if ctx.Err() != nil {
				t.Errorf("expired after a standstill of %v and %d ticks", still, i)
			}
			now = now.Add(after/ticksToExpire + maxTimerDelay/2)
			w.tick(now)
			w.timer.Stop()
		}
		if ctx.Err() == nil {
			t.Errorf("not expired after a standstill of %v and all ticks", still)
		}
		w.Stop()
	}
}

// Guards against a watchdog that goes on counting after a restart, or expires after its stop.
func TestWatchdogStartsAnew(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	now := time.Now()
	w := NewWatchdog(time.Hour, now, cancel)
	tick := func() {
		now = now.Add(time.Hour / ticksToExpire)
		w.tick(now)
	}
	for range 3 {
		for range ticksToExpire - 1 {
			tick()
		}
		w.Restart(now)
	}
	w.Stop()
	for range 2 * ticksToExpire {
		tick()
	}
	if ctx.Err() != nil {
		t.Error("expired although it was restarted in time and then stopped")
	}
}

// A process that stood still reads a message at the moment at which the timer fires. Guards against a
// tick that was due before the restart and is counted after it.
func TestWatchdogIgnoresATickFromBeforeItsRestart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	now := time.Now()
	w := NewWatchdog(time.Hour, now, cancel)
	defer w.Stop()
	for range 2 * ticksToExpire {
		now = now.Add(time.Hour / ticksToExpire)
		w.Restart(now)
		w.tick(now)
	}
	if ctx.Err() != nil || w.left != ticksToExpire {
		t.Errorf("%d of %d ticks left, %v", w.left, ticksToExpire, ctx.Err())
	}
}
