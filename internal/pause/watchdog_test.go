package pause

import (
	"context"
	"testing"
	"time"
)

// Guards against an entry that takes an agent for silent because it has itself stood still, and
// against one that waits for a silent agent forever.
func TestWatchdogWaitsOnceMoreAfterAStandstill(t *testing.T) {
	start := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	const silentAfter = 2 * time.Second
	s := NewWatchdog(silentAfter, start, cancel)
	defer s.Stop()
	woken := start.Add(silentAfter + 3*time.Second)
	s.expire(woken)
	if ctx.Err() != nil {
		t.Error("the agent was taken for silent by a timer that fired 3 s late")
	}
	s.expire(woken.Add(silentAfter + maxTimerDelay/2))
	if ctx.Err() == nil {
		t.Error("the agent was not taken for silent by a timer that fired in time")
	}
}
