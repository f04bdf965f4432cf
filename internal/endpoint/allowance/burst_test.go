package allowance

import (
	"container/heap"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// simEvent is an event of the simulated burst: the arrival of a request, or its
// completion if ends is set.
type simEvent struct {
	at     time.Duration
	ends   bool
	ticket Ticket
}

// eventQueue is a heap of events ordered by time.
type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// outcome is the result of a simulated burst.
type outcome struct {
	refusals   int
	maxRunning int
	duration   time.Duration
}

// simulateBurst simulates requests that all arrive at the same time and take
// serviceTime each. A refused request is retried after the delay that wait
// returns.
func simulateBurst(a *Allowance, requests int, serviceTime time.Duration, wait func(*result.Error) time.Duration) outcome {
	var (
		out   outcome
		queue eventQueue
	)
	for range requests {
		heap.Push(&queue, simEvent{})
	}
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(simEvent)
		now := start.Add(e.at)
		out.duration = e.at
		if e.ends {
			a.Complete(e.ticket, now)
			continue
		}
		ticket, err := a.Admit(now)
		if err != nil {
			out.refusals++
			heap.Push(&queue, simEvent{at: e.at + wait(err)})
			continue
		}
		out.maxRunning = max(out.maxRunning, a.State().Running())
		heap.Push(&queue, simEvent{at: e.at + serviceTime, ends: true, ticket: ticket})
	}
	return out
}

// Hundreds of requests arrive at one endpoint at once. If all refused callers get
// the same retry delay, they retry at the same time, are refused again, and the
// endpoint is idle in between.
func TestRetryAfterSpreadsBurst(t *testing.T) {
	const requests, serviceTime = 400, 100 * time.Millisecond
	limits := Limits{Cold: 2, Full: 8, RampCompletions: 2}
	computedDelay := func(e *result.Error) time.Duration { return e.RetryAfter() }
	fixedDelay := func(*result.Error) time.Duration { return time.Second }
	computed := simulateBurst(newAllowance(t, limits), requests, serviceTime, computedDelay)
	fixed := simulateBurst(newAllowance(t, limits), requests, serviceTime, fixedDelay)
	ideal := time.Duration(requests/limits.Full) * serviceTime
	t.Logf("computed delay: %+v; fixed delay of 1 s: %+v; ideal %v", computed, fixed, ideal)
	if computed.maxRunning > limits.Full || fixed.maxRunning > limits.Full {
		t.Fatal("the limit was exceeded")
	}
	if computed.refusals*2 > fixed.refusals || computed.duration*2 > fixed.duration {
		t.Fatal("the computed delay is no better than a fixed one")
	}
}

// An endpoint that was idle for an hour is not stalled: the first requests refused
// after that must not get a long retry delay.
func TestIdleTimeIsNotAStall(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 1, Full: 1, RampCompletions: 1})
	out := simulateBurst(a, 3, 100*time.Millisecond, func(e *result.Error) time.Duration { return e.RetryAfter() })
	later := start.Add(out.duration + time.Hour)
	if _, err := a.Admit(later); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Admit(later); err.RetryAfter() > time.Second {
		t.Fatalf("retry delay after idle time is %v, want at most 1 s", err.RetryAfter())
	}
	stalled := later.Add(3 * time.Second)
	if _, err := a.Admit(stalled); err.RetryAfter() < time.Second {
		t.Fatalf("retry delay of a stalled endpoint is %v, want at least 1 s", err.RetryAfter())
	}
}

// A burst of requests reaches a cold endpoint. The full limit must not be exceeded
// while the current one grows.
func TestBurstOnColdEndpoint(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 1, Full: 16, RampCompletions: 4})
	out := simulateBurst(a, 200, 50*time.Millisecond, func(e *result.Error) time.Duration { return e.RetryAfter() })
	t.Logf("%+v", out)
	if out.maxRunning > 16 || a.State().Running() != 0 {
		t.Fatalf("%+v, %d requests left running", out, a.State().Running())
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
					a.Complete(ticket, start)
				}
			}
		})
	}
}
