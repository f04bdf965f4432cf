package allowance

import (
	"container/heap"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// moment is when something happens in the simulated burst.
type moment struct {
	at   time.Duration
	ends bool
	held Ticket
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at < m[j].at }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// outcome is what a burst came to.
type outcome struct {
	refusals int
	most     int
	last     time.Duration
}

// burst lets callers arrive at once; each comes back as told when refused.
func burst(a *Allowance, callers int, work time.Duration, wait func(*result.Error) time.Duration) outcome {
	var (
		out outcome
		m   moments
	)
	for range callers {
		heap.Push(&m, moment{})
	}
	for m.Len() > 0 {
		e := heap.Pop(&m).(moment)
		now := start.Add(e.at)
		out.last = e.at
		if e.ends {
			a.Completed(e.held, now)
			continue
		}
		ticket, err := a.Admit(now)
		if err != nil {
			out.refusals++
			heap.Push(&m, moment{at: e.at + wait(err)})
			continue
		}
		out.most = max(out.most, a.State().Running())
		heap.Push(&m, moment{at: e.at + work, ends: true, held: ticket})
	}
	return out
}

// A show's deadline brings hundreds of drafts at once to one endpoint. Callers
// who are all told the same time come back in one wave, are refused again, and
// the endpoint runs empty between the waves.
func TestRetryAfterSpreadsBurst(t *testing.T) {
	const callers, work = 400, 100 * time.Millisecond
	limits := Limits{Cold: 2, Full: 8, RampCompletions: 2}
	told := func(e *result.Error) time.Duration { return e.RetryAfter() }
	second := func(*result.Error) time.Duration { return time.Second }
	ours := burst(newAllowance(t, limits), callers, work, told)
	fixed := burst(newAllowance(t, limits), callers, work, second)
	ideal := time.Duration(callers/limits.Full) * work
	t.Logf("computed: %+v; one second for all: %+v; ideal %v", ours, fixed, ideal)
	if ours.most > limits.Full || fixed.most > limits.Full {
		t.Fatal("the bound was exceeded")
	}
	if ours.refusals*2 > fixed.refusals || ours.last*2 > fixed.last {
		t.Fatal("the computed time is no better than one second for all")
	}
}

// An endpoint without work for an hour is not stalled: the first ones refused
// after that must not be sent away for long.
func TestIdleTimeIsNoStall(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 1, Full: 1, RampCompletions: 1})
	out := burst(a, 3, 100*time.Millisecond, func(e *result.Error) time.Duration { return e.RetryAfter() })
	later := start.Add(out.last + time.Hour)
	if _, err := a.Admit(later); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Admit(later); err.RetryAfter() > time.Second {
		t.Fatalf("told to stay away for %v", err.RetryAfter())
	}
	stalled := later.Add(3 * time.Second)
	if _, err := a.Admit(stalled); err.RetryAfter() < time.Second {
		t.Fatalf("told to come back to a stalled endpoint after %v", err.RetryAfter())
	}
}

// A burst meets a cold endpoint: it never bears more than its bound, which
// grows only with whole answers.
func TestBurstOnColdEndpoint(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 1, Full: 16, RampCompletions: 4})
	out := burst(a, 200, 50*time.Millisecond, func(e *result.Error) time.Duration { return e.RetryAfter() })
	t.Logf("%+v", out)
	if out.most > 16 || a.State().Running() != 0 {
		t.Fatalf("%+v, %d left running", out, a.State().Running())
	}
}

func BenchmarkAdmit(b *testing.B) {
	for name, limits := range map[string]Limits{
		"admitted": {Cold: 4, Full: 8, RampCompletions: 2},
		"refused":  {Cold: 1, Full: 1, RampCompletions: 2},
	} {
		b.Run(name, func(b *testing.B) {
			a := newAllowance(b, limits)
			if name == "refused" {
				if _, err := a.Admit(start); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				if ticket, err := a.Admit(start); err == nil {
					a.Completed(ticket, start)
				}
			}
		})
	}
}
