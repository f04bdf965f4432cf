package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// newGroup returns a state with n endpoints of a service whose engines work in one group.
func newGroup(n int) (*State, *routing.Service) {
	e := testEngine()
	e.Experts.Sets = 4
	st := newState("me", &routing.Service{Name: "quotes", Engine: e})
	listEndpoints(st, n, "quotes")
	return st, st.Table().Service("quotes")
}

// reportLoads delivers a leader's report about all engines.
func reportLoads(st *State, closed, forming bool, now time.Time) {
	var loads []EndpointLoad
	st.mu.Lock()
	st.refresh(now)
	for _, ep := range st.endpoints {
		loads = append(loads, EndpointLoad{Address: ep.Address, Closed: closed, Forming: forming, At: now})
	}
	st.mu.Unlock()
	st.SetLoads(loads, now)
}

// admitAsync calls Admit in a goroutine and returns a channel with its result.
func admitAsync(st *State, req AdmitRequest, clock func() time.Time) <-chan *result.Error {
	done := make(chan *result.Error, 1)
	go func() {
		_, e := st.Admit(context.Background(), req, clock)
		done <- e
	}()
	return done
}

// queued returns the number of waiting requests.
func queued(st *State) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.Waiting()
}

// awaitQueuedOrDone waits until a request is waiting or done has a value.
func awaitQueuedOrDone(st *State, done <-chan *result.Error) {
	for len(done) == 0 && queued(st) == 0 {
		time.Sleep(time.Millisecond)
	}
}

func wantCode(t *testing.T, e *result.Error, want result.Code) {
	t.Helper()
	if e == nil || e.Code() != want {
		t.Fatalf("%v, want %v", e, want)
	}
}

// A group of engines forms again after all VMs lost power, a second after its callers came back.
// Guards against the refusal of callers who came back as they were asked to: it would end their
// last attempt, although they are willing to wait for two seconds.
func TestRequestWaitsForAGroupThatForms(t *testing.T) {
	st, s := newGroup(2)
	reportLoads(st, true, true, start)
	req := newAdmitRequest("r1", s, start)
	req.AbandonAt, req.AskedBefore = start.Add(2*time.Second), true
	done := admitAsync(st, req, fixedClock(start.Add(100*time.Millisecond)))
	awaitQueuedOrDone(st, done)
	reportLoads(st, true, true, start.Add(300*time.Millisecond))
	if queued(st) != 1 {
		t.Fatalf("decided while the group forms: %v", <-done)
	}
	reportLoads(st, false, false, start.Add(400*time.Millisecond))
	if e := <-done; e != nil {
		t.Fatalf("refused after the group opened: %v", e)
	}
}

// Callers on their first attempt are asked to come back when the group has opened. If they waited
// too, the waiting requests would fill the group as it opens and make all later ones late.
func TestFirstCallersGetRetryAfterWhileGroupForms(t *testing.T) {
	st, s := newGroup(2)
	reportLoads(st, true, true, start)
	req := newAdmitRequest("r1", s, start)
	req.AbandonAt = start.Add(2 * time.Second)
	_, e := st.Admit(context.Background(), req, fixedClock(start))
	wantCode(t, e, result.GroupClosed)
	j := &job{deadline: req.Deadline}
	if d := j.retryAfter(e, start); d != 2*time.Second {
		t.Errorf("retry after %v", d)
	}
	j.deadline = start.Add(1500 * time.Millisecond)
	if d := j.retryAfter(e, start); d != 500*time.Millisecond {
		t.Errorf("retry after %v for a caller with little time left", d)
	}
}

// The path to a data centre, and with it a group that spans it, is lost for an unknown time. Guards
// against callers that are held until they give up. They are refused at once, with a Retry-After
// time that grows with the outage.
func TestClosedGroupOfUnknownEndRefusesAtOnce(t *testing.T) {
	for _, lasted := range []time.Duration{2 * time.Second, 4 * time.Second} {
		t.Run(fmt.Sprint(lasted), func(t *testing.T) {
			st, s := newGroup(2)
			reportLoads(st, true, false, start)
			now := start.Add(lasted)
			reportLoads(st, true, false, now)
			req := newAdmitRequest("r1", s, now)
			req.AbandonAt = now.Add(2 * time.Second)
			_, e := st.Admit(context.Background(), req, fixedClock(now))
			wantCode(t, e, result.GroupClosed)
			if e.RetryAfter() != lasted {
				t.Errorf("retry after %v, want %v", e.RetryAfter(), lasted)
			}
		})
	}
}

// A leader is cut off together with its group's engines, so that nothing reports the group as
// closed. Guards against requests that probe the group all at once or for a second time, and so use
// up the fleet's retry budget.
func TestClosedGroupIsProbedByOneRequestAtATime(t *testing.T) {
	st, s := newGroup(4)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refresh(start)
	st.outages.markDown(s.Name, start)
	now := start.Add(closedAfterSilence)
	c, closed := st.groupState(s, now)
	if !closed || c.reported {
		t.Fatalf("closed %v, %+v", closed, c)
	}
	if st.mayProbe(s, c, true, now) {
		t.Error("a request that was sent before is sent again")
	}
	if !st.mayProbe(s, c, false, now) || st.mayProbe(s, c, false, now) || !st.mayProbe(s, c, false, now.Add(probeInterval)) {
		t.Error("want exactly one probe per interval")
	}
	st.outages.answered(s.Name, now)
	if _, closed := st.groupState(s, now); closed {
		t.Error("group counts as closed after an answer")
	}
}

// One of two groups of a service is closed. Guards against requests that are sent to it instead of
// the open one.
func TestRequestsGoToTheOpenGroup(t *testing.T) {
	st, s := newGroup(2)
	st.mu.Lock()
	st.refresh(start)
	var loads []EndpointLoad
	for id, ep := range st.endpoints {
		loads = append(loads, EndpointLoad{Address: ep.Address, Closed: id == "e0", At: start})
	}
	st.mu.Unlock()
	st.SetLoads(loads, start)
	for _, assigned := range takeAllSlots(t, st, s, start) {
		if assigned.Endpoint.ID == "e0" {
			t.Fatal("a request was sent to the closed group")
		}
	}
}

// A group opens after an outage with many late requests waiting. Guards against late requests that
// take all slots, so that new requests which could meet their target become late too.
func TestLateRequestsLeaveSlotsForOthers(t *testing.T) {
	const n = 8
	st, s := newGroup(n)
	now := start.Add(time.Minute)
	for i := range 30 { // 10 per second, for 3 s
		st.recordArrival(&waiter{req: AdmitRequest{Service: s}}, now.Add(time.Duration(i-30)*100*time.Millisecond))
	}
	st.mu.Lock()
	st.refresh(now)
	for i := range 7 {
		st.entries[fmt.Sprint("entry", i)] = time.Time{}
	}
	lateSlots := st.lateSlots(s, now)
	slots := 0
	for _, ep := range st.endpoints {
		allowance, _ := st.endpointCapacity(ep)
		slots += allowance
	}
	st.mu.Unlock()
	if share := slots / 7; lateSlots < minLateSlots || lateSlots >= share {
		t.Fatalf("%d late slots of %d", lateSlots, share)
	}
	var lateDone []<-chan *result.Error
	for i := range 3 * lateSlots {
		req := newAdmitRequest(fmt.Sprint("late", i), s, now)
		req.FirstPartDeadline, req.AbandonAt = now, now.Add(2*time.Second)
		done := admitAsync(st, req, fixedClock(now))
		awaitQueuedOrDone(st, done)
		lateDone = append(lateDone, done)
	}
	req := newAdmitRequest("new", s, now)
	if _, e := st.Admit(context.Background(), req, fixedClock(now)); e != nil {
		t.Fatalf("refused: %v", e)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.lateRunning[s.Name] != lateSlots {
		t.Errorf("%d of %d late requests are running, want %d", st.lateRunning[s.Name], len(lateDone), lateSlots)
	}
}

// Engines stay full, and a request's target passes while it waits. Guards against a refusal for the
// missed target, and against one that comes only after the caller has given up.
func TestLateWaitEndsBeforeTheCallerLeaves(t *testing.T) {
	st, s := newGroup(1)
	takeAllSlots(t, st, s, start)
	req := newAdmitRequest("r1", s, start)
	req.AbandonAt = start.Add(2 * time.Second)
	done := admitAsync(st, req, fixedClock(start))
	awaitQueuedOrDone(st, done)
	st.DispatchWaiting(start.Add(600 * time.Millisecond))
	if queued(st) != 1 {
		t.Fatalf("refused for its target: %v", <-done)
	}
	st.DispatchWaiting(start.Add(1700 * time.Millisecond))
	if e := <-done; e == nil || e.Code().Effect() != result.NotRun {
		t.Fatalf("%v", e)
	}
}

// Services that answer in 30 ms or two seconds, and one that becomes slow. Guards against usual
// latencies that do not follow the observed ones.
func TestUsualTimesAreObserved(t *testing.T) {
	for _, c := range []struct{ first, whole, target time.Duration }{
		{30 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond},
		{160 * time.Millisecond, 2 * time.Second, 500 * time.Millisecond},
		{700 * time.Millisecond, 9 * time.Second, 2 * time.Second},
	} {
		t.Run(fmt.Sprint(c.first), func(t *testing.T) {
			var a answerLatencies
			if first, _ := a.usual("s", c.target, start); first != time.Duration(defaultFirstPartFraction*float64(c.target)) {
				t.Errorf("%v before any answer", first)
			}
			for i := range 3 * minLatencySamples {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				a.recordFirst("s", c.first, now)
				a.recordWhole("s", c.whole, now)
			}
			first, whole := a.usual("s", c.target, start)
			checkNear(t, "first", first, c.first)
			checkNear(t, "whole", whole, c.whole)
			checkNear(t, "quick", a.quick("s", c.target, start), c.first)
			later := start.Add(2 * latencyWindow)
			if first, _ := a.usual("s", c.target, later); first == c.first {
				t.Error("old latencies have not expired")
			}
		})
	}
}

func checkNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want*98/100 || got > want*102/100 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// Callers of one route have time limits of 7 to 8 s. Guards against a caller with a shorter limit
// that counts as one that has asked before. A caller with little more than 5 s left was asked to
// come back and has done so.
func TestCallerWithShortTimeLimitIsNotLate(t *testing.T) {
	st, _ := newGroup(1)
	for _, c := range []struct {
		left        time.Duration
		askedBefore bool
	}{{8 * time.Second, false}, {6900 * time.Millisecond, false}, {5300 * time.Millisecond, true}} {
		t.Run(fmt.Sprint(c.left), func(t *testing.T) {
			j := &job{relay: &Relay{State: st}, route: &routing.Route{Name: "r"}, requestInfo: RequestInfo{TimeLeft: c.left}}
			if j.askedBefore() != c.askedBefore {
				t.Errorf("asked before: %v", !c.askedBefore)
			}
		})
	}
}

// A whole fleet restarts, and callers arrive 200 ms before the store delivers the configuration.
// Guards against their refusal, and against callers that are held for more than a second after the
// start.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	st := &State{Name: "me", DataCentre: "a", Seed: 1, Freshness: &Freshness{}}
	st.Init(start)
	done := make(chan struct{})
	go func() {
		st.AwaitReady(context.Background(), start)
		close(done)
	}()
	st.SetTable(newTable(1), start)
	select {
	case <-done:
		t.Fatal("ready before the endpoints were listed")
	case <-time.After(20 * time.Millisecond):
	}
	st.EndpointsListed()
	<-done
	old := &State{}
	old.Init(start)
	old.AwaitReady(context.Background(), start.Add(startupHold))
}

// Requests wait while their group is closed. Guards against counting that time in the drain rate.
// Otherwise the first requests after the group opens would be refused because of a long expected
// wait that is already over.
func TestClosedTimeIsNotDrainTime(t *testing.T) {
	expected := func(excludeClosed bool) time.Duration {
		c := &admission.Controller{}
		if err := c.Configure([]admission.Limits{{Account: "a"}}, start); err != nil {
			t.Fatal(err)
		}
		now, freeSlots := start, 0
		place := func(*admission.Request) bool { freeSlots--; return freeSlots >= 0 }
		ask := func(id string) admission.Decision {
			r := admission.Request{ID: id, Account: "a", Route: "r", Worth: 1, Deadline: now.Add(time.Minute), ExpectedRunTime: 200 * time.Millisecond}
			return c.Arrive(r, now, place)
		}
		for i := range 20 { // the queue learns a rate of ten starts per second while others wait
			ask(fmt.Sprint("a", i))
		}
		for range 10 {
			now, freeSlots = now.Add(100*time.Millisecond), 1
			for _, r := range startedOnly(c.Next(now, place)) {
				c.Cancel(r.ID)
			}
		}
		for range 60 { // then none start for 6 s
			now, freeSlots = now.Add(100*time.Millisecond), 0
			if excludeClosed {
				c.SkipDrainTime("r", now)
			}
			c.Next(now, place)
		}
		w, ok := ask("last").(admission.Wait)
		if !ok {
			t.Fatal("refused")
		}
		return w.Expected
	}
	if with, without := expected(true), expected(false); 3*with > without {
		t.Errorf("expected wait is %v with closed time excluded and %v without", with, without)
	}
}

func startedOnly(started []admission.Request, _ []admission.QueuedRefusal) []admission.Request {
	return started
}

// TestRefusalClaimsNoDeadlineThatHasNotPassed guards against 504 for a late request that was never run and
// whose caller still has time: it doesn't promise that the request was not run, as 503 does.
func TestRefusalClaimsNoDeadlineThatHasNotPassed(t *testing.T) {
	st, s := newGroup(2)
	for _, c := range []struct {
		left time.Duration
		code result.Code
		want result.Code
	}{
		{time.Second, result.DeadlinePassed, result.DeadlineUnmeetable},
		{0, result.DeadlinePassed, result.DeadlinePassed},
		{-time.Second, result.DeadlinePassed, result.DeadlinePassed},
		{time.Second, result.DeadlineUnmeetable, result.DeadlineUnmeetable},
		{time.Second, result.Displaced, result.Displaced},
	} {
		t.Run(fmt.Sprintf("%v left, %v", c.left, c.code), func(t *testing.T) {
			w := &waiter{req: AdmitRequest{Service: s, Deadline: start.Add(c.left)}}
			wantCode(t, st.queueRefusal(w, admission.Refused{Code: c.code}, start), c.want)
		})
	}
}
