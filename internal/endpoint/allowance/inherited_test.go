package allowance

import (
	"testing"
	"time"
)

// An agent's VM fails while its cold engine, which can run four requests, runs
// three. If the next agent didn't count them, it would admit four more, and the
// engine would crash with seven.
func TestInheritedWorkCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	newAgent := func() *Allowance {
		a := &Allowance{}
		if err := a.Configure(Limits{Cold: 4, Full: 16, RampCompletions: 5}); err != nil {
			t.Fatal(err)
		}
		return a
	}
	admitted := func(a *Allowance, now time.Time) int {
		n := 0
		for {
			if _, err := a.Admit(now); err != nil {
				return n
			}
			n++
		}
	}
	cases := []struct {
		name string
		do   func(a *Allowance) time.Time
		want int
	}{
		{"nothing runs", func(a *Allowance) time.Time { a.ReportRunning(0, 0, now); return now }, 4},
		{"three run", func(a *Allowance) time.Time { a.ReportRunning(3, 0, now); return now }, 1},
		{"own requests are not inherited", func(a *Allowance) time.Time { a.ReportRunning(3, 3, now); return now }, 4},
		{"two have ended", func(a *Allowance) time.Time {
			a.ReportRunning(3, 0, now)
			a.ReportRunning(1, 0, now)
			return now
		}, 3},
		{"later report does not raise the count", func(a *Allowance) time.Time {
			a.ReportRunning(1, 0, now)
			a.ReportRunning(4, 0, now)
			return now
		}, 3},
		{"restart clears the count", func(a *Allowance) time.Time {
			a.SetIncarnation("1")
			a.ReportRunning(3, 0, now)
			a.SetIncarnation("2")
			return now
		}, 4},
		{"count expires", func(a *Allowance) time.Time {
			a.ReportRunning(4, 0, now)
			return now.Add(inheritedTTL)
		}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newAgent()
			at := c.do(a)
			if got := admitted(a, at); got != c.want {
				t.Errorf("%d requests admitted, want %d", got, c.want)
			}
		})
	}
}
