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
		b.RecordFirstAttempt(now)
		for range 5 {
			if b.TrySpend(now) {
				retries++
			}
		}
	}
	// A tenth of the first attempts, one retry per second, and the burst.
	if maxRetries := 1000 + 10 + 20; retries > maxRetries || retries < 1000 {
		t.Errorf("%d retries for 10000 first attempts, want 1000 to %d", retries, maxRetries)
	}
	b.Percent = 0
	if b.TrySpend(now.Add(time.Hour)) {
		t.Error("a zero budget allowed a retry")
	}
}
