package skewtable_test

import (
	"io"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap/skewtable"
)

// few is the number of intervals for cases that take long.
const few = 20

// TestPlansKeepTheSkewLow holds what docs/design/expertmaps.md promises: for all
// cases few moves and less skew than a static map, over a few intervals where a
// whole run takes long, and for up to 32 ranks whose popularity drifts over hours
// the skew itself.
func TestPlansKeepTheSkewLow(t *testing.T) {
	var rows []skewtable.Row
	for _, c := range skewtable.Cases() {
		steady := c.Shape.Ranks <= 32 && c.Correlation >= time.Hour
		if !steady {
			c.Intervals = few
		}
		r, err := skewtable.Run(c)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, r)
		assertMoves(t, r)
		if steady {
			assertSkew(t, r)
		}
	}
	if err := skewtable.Write(io.Discard, rows); err != nil {
		t.Error(err)
	}
}

// assertMoves holds that plans move under a quarter of what a full solution does
// and beat a static map.
func assertMoves(t *testing.T, r skewtable.Row) {
	t.Helper()
	if got, full := r.Planned().Moves(), r.Full().Moves(); got*4 >= full {
		t.Errorf("%v: %d moves, want under a quarter of %d", r.Case(), got, full)
	}
	if got, static := r.Planned().Mean(), r.Static().Mean(); got >= static {
		t.Errorf("%v: mean skew %.3f, want under %.3f", r.Case(), got, static)
	}
}

// assertSkew holds that plans are no worse than a full solution, and with 8 ranks
// within 5 in 100 of the bound.
func assertSkew(t *testing.T, r skewtable.Row) {
	t.Helper()
	got := r.Planned().Mean()
	if full := r.Full().Mean(); got > full {
		t.Errorf("%v: mean skew %.3f, want at most that of a full solution, %.3f", r.Case(), got, full)
	}
	if most := 1.05 * r.Bound().Mean(); r.Case().Shape.Ranks == 8 && got > most {
		t.Errorf("%v: mean skew %.3f, want at most %.3f", r.Case(), got, most)
	}
}
