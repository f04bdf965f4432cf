package skewtable_test

import (
	"os"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap/skewtable"
)

// TestTable prints the whole table with -v and holds that plans move under a
// quarter of what a full solution each interval moves, and beat a static map.
func TestTable(t *testing.T) {
	rows, err := skewtable.Measure()
	if err != nil {
		t.Fatal(err)
	}
	if testing.Verbose() {
		_ = skewtable.Write(os.Stdout, rows)
	}
	for _, r := range rows {
		if got, most := r.Planned().Mean(), r.Static().Mean(); got >= most {
			t.Errorf("%v: mean skew %.3f, want under %.3f", r.Case(), got, most)
		}
		if got, full := r.Planned().Moves(), r.Full().Moves(); got*4 >= full {
			t.Errorf("%v: %d moves, want under a quarter of %d", r.Case(), got, full)
		}
	}
}
