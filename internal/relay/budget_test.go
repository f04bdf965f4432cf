package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
)

// Entries have nothing to do for a long time, and then all retry as often as they may. Guards
// against a budget that grows with the number of entries, because each rounds its share up.
func TestRetriesSavedUpByAllEntriesStayWithinTheBudget(t *testing.T) {
	const slack, window = 1040, 10 * time.Second
	for _, n := range []int{9, 36, 107, 532, 1064, 4000} {
		spent := 0
		entries := map[string]time.Time{}
		for i := range n {
			entries[fmt.Sprint("entry", i)] = time.Time{}
		}
		for i := range n {
			st := &State{Name: fmt.Sprint("entry", i)}
			now := time.Unix(1000, 0)
			st.Init(now)
			st.SetRetry(RetryBudget{Share: 0.2, Slack: slack, Window: window})
			st.entries = entries
			b := st.budget("s", now)
			b.RecordFirstAttempt(now)
			now = now.Add(time.Hour)
			for step := 0; step <= 10; step++ {
				for b.TrySpend(now) {
					spent++
				}
				now = now.Add(window / 10)
			}
		}
		if spent > slack {
			t.Errorf("%d entries retry %d times in a window of %d", n, spent, slack)
		}
		if least := slack / 4; spent < least {
			t.Errorf("%d entries retry %d times, which uses less than %d", n, spent, least)
		}
	}
}

// Guards against an entry that may save up one retry and begins with a part of one.
func TestFirstRetryIsAvailableAtOnce(t *testing.T) {
	b := admission.RetryBudget{Percent: 1, Burst: 1, RetriesPerSecond: 0.01}
	now := time.Unix(1000, 0)
	if !b.TrySpend(now) || b.TrySpend(now) {
		t.Error("not one retry is available at the start")
	}
}
