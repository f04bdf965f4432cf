package batch

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// engine is that of the deployments.
func engine() *routing.Engine {
	return &routing.Engine{
		Slots: 12, Stride: 4, Step: 4550 * time.Microsecond, PerSequence: 905 * time.Microsecond,
		PerThousandTokens: 18 * time.Microsecond, MeanPrompt: 835, MeanOutput: 97, Experts: routing.Experts{Share: 0.85},
	}
}

func TestPassGrowsWithWritersAndSkew(t *testing.T) {
	e := engine()
	if a, b := Pass(e, 4, 1.3), Pass(e, 8, 1.3); a >= b {
		t.Fatalf("%v with 4 writers, %v with 8", a, b)
	}
	if a, b := Pass(e, 8, 1.3), Pass(e, 8, 3); a >= b {
		t.Fatalf("%v with a planned map, %v after a jump", a, b)
	}
}

// Engines are full when popularity jumps: passes outlast the longest pause that
// callers bear, and every stream is late. MostWriters keeps them below it.
func TestMostWritersKeepThePause(t *testing.T) {
	e := engine()
	for _, gap := range []time.Duration{80 * time.Millisecond, 120 * time.Millisecond, 150 * time.Millisecond} {
		n := MostWriters(e, gap)
		if n > 1 && Pass(e, n, JumpSkew) > gap {
			t.Errorf("%d writers take %v of %v", n, Pass(e, n, JumpSkew), gap)
		}
		if n < e.Slots && Pass(e, n+1, JumpSkew) <= gap-wayMargin {
			t.Errorf("%d writers, one more would fit %v", n, gap)
		}
	}
	if n := MostWriters(e, 0); n != e.Slots {
		t.Errorf("%d writers without a bound", n)
	}
	if n := MostWriters(e, time.Millisecond); n != 1 {
		t.Errorf("%d writers for a pause that no pass keeps", n)
	}
}
