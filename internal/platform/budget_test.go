package platform

import (
	"testing"
	"time"
)

// After an outage all that waited is sent at once. The budget lets one second's
// calls through and spreads the rest, and refuses what would wait beyond its
// time limit.
func TestBudgetSpreadsBurst(t *testing.T) {
	b := Budget{PerSecond: 10}
	now := time.Unix(100, 0)
	const limit = 500 * time.Millisecond
	var waits []time.Duration
	refused := 0
	for range 20 {
		d, ok := b.Take(now, limit)
		if !ok {
			refused++
			continue
		}
		waits = append(waits, d)
	}
	if len(waits) != 15 || waits[9] != 0 || waits[14] != limit || refused != 5 {
		t.Errorf("waits %v, %d refused", waits, refused)
	}
	if d, ok := b.Take(now.Add(time.Second), limit); !ok || d != 0 {
		t.Errorf("a second later a call waits %v, %v", d, ok)
	}
}

func TestNoBudgetNeverWaits(t *testing.T) {
	var b Budget
	for range 1000 {
		if d, ok := b.Take(time.Unix(0, 0), 0); !ok || d != 0 {
			t.Fatalf("wait %v, %v", d, ok)
		}
	}
}
