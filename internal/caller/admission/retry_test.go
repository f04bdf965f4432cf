package admission

import (
	"testing"
	"time"
)

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := RetryBudget{Percent: DefaultRetryPercent}
	now, retries := epoch, 0
	for range 10000 {
		now = now.Add(time.Millisecond)
		b.First(now)
		for range 5 {
			if b.Take(now) {
				retries++
			}
		}
	}
	// A tenth of the first attempts, one a second, and what was saved up.
	if most := 1000 + 10 + 20; retries > most || retries < 1000 {
		t.Errorf("%d retries of 10000 first attempts, want 1000 to %d", retries, most)
	}
	b.Percent = 0
	if b.Take(now.Add(time.Hour)) {
		t.Error("a budget of zero allowed a retry")
	}
}
