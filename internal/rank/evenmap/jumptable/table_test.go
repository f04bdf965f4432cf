package jumptable_test

import (
	"io"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap/jumptable"
)

// TestPlannedBeatsBaselines guards against plans that do not keep up with the
// popularity of experts, which jumps every few seconds. Steps of a group that
// keeps its initial placement take three times as long as balanced ones, and a
// placement computed from scratch needs copies that take longer than the
// popularity lasts.
func TestPlannedBeatsBaselines(t *testing.T) {
	r, err := jumptable.Run(jumptable.Cases()[0])
	if err != nil {
		t.Fatal(err)
	}
	planned, naive := r.Planned(), r.Naive()
	if planned.Skew() >= naive.Skew() || planned.Skew() > 0.6*r.Static().Skew() {
		t.Errorf("skew: planned %.2f, naive %.2f, static %.2f", planned.Skew(), naive.Skew(), r.Static().Skew())
	}
	if planned.Copies() > naive.Copies() || planned.Copies() > r.FromScratch().Copies()/4 {
		t.Errorf("copies: planned %.0f, naive %.0f, from scratch %.0f", planned.Copies(), naive.Copies(), r.FromScratch().Copies())
	}
	if r.Oracle().Skew() > planned.Skew() {
		t.Errorf("skew: oracle %.2f, planned %.2f", r.Oracle().Skew(), planned.Skew())
	}
	if err := jumptable.Write(io.Discard, []jumptable.Row{r}); err != nil {
		t.Error(err)
	}
}
