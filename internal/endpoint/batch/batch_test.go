package batch

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// engine returns an engine with the parameters used in the deployments.
func engine() *routing.Engine {
	return &routing.Engine{
		Slots: 12, Stride: 4, Step: 4550 * time.Microsecond, PerSequence: 905 * time.Microsecond,
		PerThousandTokens: 18 * time.Microsecond, MeanPrompt: 835, MeanOutput: 97, Experts: routing.Experts{Share: 0.85},
	}
}

func TestPassDurationGrowsWithBatchAndSkew(t *testing.T) {
	e := engine()
	if a, b := PassDuration(e, 4, 1.3), PassDuration(e, 8, 1.3); a >= b {
		t.Fatalf("a pass takes %v with 4 requests, %v with 8", a, b)
	}
	if a, b := PassDuration(e, 8, 1.3), PassDuration(e, 8, 3); a >= b {
		t.Fatalf("a pass takes %v with a planned map, %v with a skew of 3", a, b)
	}
}

// When expert popularity changes while batches are full, passes exceed the
// longest pause that callers tolerate and every stream is late. MaxBatch must keep
// them below it.
func TestMaxBatchKeepsMaxPause(t *testing.T) {
	e := engine()
	for _, maxPause := range []time.Duration{80 * time.Millisecond, 120 * time.Millisecond, 150 * time.Millisecond} {
		n := MaxBatch(e, maxPause)
		if n > 1 && PassDuration(e, n, DesignSkew) > maxPause {
			t.Errorf("a pass over %d requests takes %v, the bound is %v", n, PassDuration(e, n, DesignSkew), maxPause)
		}
		if n < e.Slots && PassDuration(e, n+1, DesignSkew) <= maxPause-DeliveryMargin {
			t.Errorf("got a batch of %d, one more request fits into %v", n, maxPause)
		}
	}
	if n := MaxBatch(e, 0); n != e.Slots {
		t.Errorf("got a batch of %d without a bound", n)
	}
	if n := MaxBatch(e, time.Millisecond); n != 1 {
		t.Errorf("got a batch of %d for a bound that no pass keeps, want 1", n)
	}
}
