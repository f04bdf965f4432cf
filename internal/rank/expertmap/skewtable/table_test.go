package skewtable_test

import (
	"io"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap/skewtable"
)

// shortRunIntervals is the number of intervals for cases whose full run takes
// long.
const shortRunIntervals = 20

// TestPlansKeepTheSkewLow checks the results in docs/design/expertmaps.md:
// plans need few moves and have less skew than a static map in all cases, and
// with up to 32 ranks and a correlation time of at least an hour the skew itself
// is low. The other cases run for a few intervals only, because a full run takes
// long.
func TestPlansKeepTheSkewLow(t *testing.T) {
	var rows []skewtable.Row
	for _, c := range skewtable.Cases() {
		steady := c.Shape.Ranks <= 32 && c.CorrelationTime >= time.Hour
		if !steady {
			c.Intervals = shortRunIntervals
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

// assertMoves checks that plans take less than a quarter of the moves of a
// solution from scratch and have less skew than a static map.
func assertMoves(t *testing.T, r skewtable.Row) {
	t.Helper()
	if got, fromScratch := r.Planned().Moves(), r.FromScratch().Moves(); got*4 >= fromScratch {
		t.Errorf("%v: %d moves, want under a quarter of %d", r.Case(), got, fromScratch)
	}
	if got, static := r.Planned().Mean(), r.Static().Mean(); got >= static {
		t.Errorf("%v: mean skew %.3f, want under %.3f", r.Case(), got, static)
	}
}

// assertSkew checks that plans have at most the skew of a solution from
// scratch, and with 8 ranks are within 5% of the lower bound.
func assertSkew(t *testing.T, r skewtable.Row) {
	t.Helper()
	got := r.Planned().Mean()
	if fromScratch := r.FromScratch().Mean(); got > fromScratch {
		t.Errorf("%v: mean skew %.3f, want at most that of a solution from scratch, %.3f", r.Case(), got, fromScratch)
	}
	if limit := 1.05 * r.Bound().Mean(); r.Case().Shape.Ranks == 8 && got > limit {
		t.Errorf("%v: mean skew %.3f, want at most %.3f", r.Case(), got, limit)
	}
}
