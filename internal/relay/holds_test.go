package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/holdback"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// hold holds back a class of the service quotes, or releases it.
func hold(st *State, class routing.Class, held bool, revision int64) {
	target := holdback.ServiceClass{Service: "quotes", Class: class}
	u := holdback.Update{Revision: revision}
	if held {
		u.Held = []holdback.Order{{Target: target, Revision: revision}}
	} else {
		u.Released = []holdback.Target{target}
	}
	st.ApplyHolds(u)
}

// classRequest returns a request with a class, which waits for a group that forms.
func classRequest(s *routing.Service, id string, class routing.Class, now time.Time) AdmitRequest {
	return AdmitRequest{
		Service: s, ID: id, Account: anonymousAccount, Class: class, FirstPartDeadline: now.Add(400 * time.Millisecond),
		Deadline: now.Add(8 * time.Second), TargetLatency: 400 * time.Millisecond,
		AskedBefore: true, AbandonAt: now.Add(2 * time.Second),
	}
}

// A group forms, and requests of two classes wait for it. Guards against a hold that leaves the covered
// ones waiting, refuses others, or ends what runs.
func TestHoldRefusesWaitingRequestsOfItsClassOnly(t *testing.T) {
	st, s := newGroup(2)
	now := start.Add(100 * time.Millisecond)
	if _, e := st.Admit(t.Context(), classRequest(s, "running", 1, start), fixedClock(start)); e != nil {
		t.Fatal(e)
	}
	reportLoads(st, true, true, now)
	covered := admitAsync(st, classRequest(s, "covered", 1, now), fixedClock(now))
	other := admitAsync(st, classRequest(s, "other", 0, now), fixedClock(now))
	for queued(st) < 2 && len(covered)+len(other) == 0 {
		time.Sleep(time.Millisecond)
	}
	before := fmt.Sprint(st.OwnRunning())
	hold(st, 1, true, 1)
	if n := queued(st); n != 1 || len(other) != 0 {
		t.Fatalf("%d requests wait, %d of the other class ended", n, len(other))
	}
	wantCode(t, <-covered, result.HeldBack)
	if after := fmt.Sprint(st.OwnRunning()); after != before {
		t.Errorf("running requests %s, before the order %s", after, before)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, e := st.Admit(ctx, classRequest(s, "new", 1, now), fixedClock(now))
	wantCode(t, e, result.HeldBack)
	if e.RetryAfter() <= 0 || e.Code().Effect() != result.NotRun {
		t.Errorf("retry after %v, effect %v", e.RetryAfter(), e.Code().Effect())
	}
}

// A group closes and forms again and again, so that callers of three classes wait for it, while an operator holds back the least urgent
// class and releases it, again and again. Guards against requests that are let through although
// they arrived after the order was in force, and against others that are refused.
func TestHoldsUnderOverload(t *testing.T) {
	const callers, rounds, classes = 24, 200, 3
	st, s := newGroup(2)
	began := time.Now()
	clock := func() time.Time { return start.Add(time.Since(began)) }
	// changes counts the changes of the order; while it is odd and does not change, class 2 is held.
	var changes, wrong, refused atomic.Int64
	waited := 0
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for c := range callers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				before, class := changes.Load(), routing.Class(c%classes)
				assigned, e := st.Admit(t.Context(), classRequest(s, fmt.Sprint(c, "-", i), class, clock()), clock)
				held := e != nil && e.Code() == result.HeldBack
				if held {
					refused.Add(1)
				}
				if held && class != 2 || !held && class == 2 && before%2 == 1 && changes.Load() == before {
					wrong.Add(1)
				}
				if e == nil {
					time.Sleep(time.Millisecond)
					st.Release(assigned, Delivered{}, clock())
				}
			}
		})
	}
	for r := range int64(rounds) {
		held := r%2 == 0
		if !held {
			changes.Add(1)
		}
		hold(st, 2, held, r+1)
		if held {
			changes.Add(1)
		}
		reportLoads(st, r%8 < 4, r%8 < 4, clock())
		waited = max(waited, queued(st))
		time.Sleep(time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if wrong.Load() != 0 || refused.Load() == 0 || waited == 0 {
		t.Errorf("%d requests decided wrongly, %d held back, at most %d waited", wrong.Load(), refused.Load(), waited)
	}
}

// Guards against a check that allocates on each arrival.
func TestCheckOfHoldsDoesNotAllocate(t *testing.T) {
	st := newState("me", &routing.Service{Name: "quotes"})
	hold(st, 2, true, 1)
	if n := testing.AllocsPerRun(100, func() { _ = st.heldBack("quotes", 1, "a") }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkHeldBack measures what an arrival costs that no order covers.
func BenchmarkHeldBack(b *testing.B) {
	for _, orders := range []int{0, 1, 1000} {
		b.Run(fmt.Sprint("orders=", orders), func(b *testing.B) {
			st := newState("me", &routing.Service{Name: "quotes"})
			for i := range orders {
				o := holdback.Order{Target: holdback.Account{Name: fmt.Sprint(i)}, Revision: int64(i + 1)}
				st.ApplyHolds(holdback.Update{Revision: o.Revision, Held: []holdback.Order{o}})
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = st.heldBack("quotes", 1, "other")
			}
		})
	}
}
