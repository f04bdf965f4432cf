package platform

import (
	"testing"
	"time"
)

// After an outage all pending calls are sent at once. The limiter must admit
// the calls of one second at once, delay further ones, and reject calls whose
// delay would exceed their time limit.
func TestRateLimiterSpreadsBurst(t *testing.T) {
	l := RateLimiter{PerSecond: 10}
	now := time.Unix(100, 0)
	const maxWait = 500 * time.Millisecond
	var waits []time.Duration
	refused := 0
	for range 20 {
		d, ok := l.Reserve(now, maxWait)
		if !ok {
			refused++
			continue
		}
		waits = append(waits, d)
	}
	if len(waits) != 15 || waits[9] != 0 || waits[14] != maxWait || refused != 5 {
		t.Errorf("waits %v, %d refused", waits, refused)
	}
	if d, ok := l.Reserve(now.Add(time.Second), maxWait); !ok || d != 0 {
		t.Errorf("one second later a call waits %v (ok %v)", d, ok)
	}
}

func TestZeroRateLimiterNeverWaits(t *testing.T) {
	var l RateLimiter
	for range 1000 {
		if d, ok := l.Reserve(time.Unix(0, 0), 0); !ok || d != 0 {
			t.Fatalf("wait %v, ok %v, want no wait", d, ok)
		}
	}
}
