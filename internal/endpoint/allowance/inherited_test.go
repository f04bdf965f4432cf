package allowance

import (
	"testing"
	"time"
)

// An agent's VM dies while its cold engine runs three of the four requests that
// it bears, and the next agent comes up beside it. Without the count it would
// admit four more, and the engine would fall over with seven.
func TestInheritedWorkCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := func() *Allowance {
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
		{"nothing runs", func(a *Allowance) time.Time { a.ReportedRunning(0, 0, now); return now }, 4},
		{"three run", func(a *Allowance) time.Time { a.ReportedRunning(3, 0, now); return now }, 1},
		{"own work is no other's", func(a *Allowance) time.Time { a.ReportedRunning(3, 3, now); return now }, 4},
		{"two have ended", func(a *Allowance) time.Time {
			a.ReportedRunning(3, 0, now)
			a.ReportedRunning(1, 0, now)
			return now
		}, 3},
		{"a later report adds nothing", func(a *Allowance) time.Time {
			a.ReportedRunning(1, 0, now)
			a.ReportedRunning(4, 0, now)
			return now
		}, 3},
		{"a restarted engine runs none of it", func(a *Allowance) time.Time {
			a.Incarnation("1")
			a.ReportedRunning(3, 0, now)
			a.Incarnation("2")
			return now
		}, 4},
		{"a report that never falls", func(a *Allowance) time.Time {
			a.ReportedRunning(4, 0, now)
			return now.Add(inheritedFor)
		}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := fresh()
			at := c.do(a)
			if got := admitted(a, at); got != c.want {
				t.Errorf("%d admitted, want %d", got, c.want)
			}
		})
	}
}
