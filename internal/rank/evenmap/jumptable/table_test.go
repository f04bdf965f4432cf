package jumptable_test

import (
	"io"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap/jumptable"
)

// Popularity jumps every few seconds. Steps of a group that keeps its first map
// take three times as long as level ones; a leader that solves everything anew
// copies for longer than the popularity lasts.
func TestPlansFollowJumps(t *testing.T) {
	r, err := jumptable.Run(jumptable.Cases()[0])
	if err != nil {
		t.Fatal(err)
	}
	planned, naive := r.Planned(), r.Naive()
	if planned.Skew() >= naive.Skew() || planned.Skew() > 0.6*r.None().Skew() {
		t.Errorf("planned %.2f, naive %.2f, no maps %.2f", planned.Skew(), naive.Skew(), r.None().Skew())
	}
	if planned.Copies() > naive.Copies() || planned.Copies() > r.Afresh().Copies()/4 {
		t.Errorf("copies: planned %.0f, naive %.0f, afresh %.0f", planned.Copies(), naive.Copies(), r.Afresh().Copies())
	}
	if r.Bound().Skew() > planned.Skew() {
		t.Errorf("bound %.2f, planned %.2f", r.Bound().Skew(), planned.Skew())
	}
	if err := jumptable.Write(io.Discard, []jumptable.Row{r}); err != nil {
		t.Error(err)
	}
}
