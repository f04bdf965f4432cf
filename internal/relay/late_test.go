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

// groupOf is a service whose engines work in one group, with a belief that lists n.
func groupOf(n int) (*Belief, *routing.Service) {
	e := engine()
	e.Experts.Sets = 4
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: e})
	list(b, n, "quotes")
	return b, b.Table().Service("quotes")
}

// tell has the group's leader tell of all engines.
func tell(b *Belief, closed, forming bool, now time.Time) {
	var loads []Load
	b.mu.Lock()
	b.refresh(now)
	for _, ep := range b.endpoints {
		loads = append(loads, Load{Address: ep.Address, Closed: closed, Forming: forming, At: now})
	}
	b.mu.Unlock()
	b.SetLoads(loads, now)
}

// admit asks for a place beside the test and returns where its end is told.
func admit(b *Belief, a Ask, clock func() time.Time) <-chan *result.Error {
	done := make(chan *result.Error, 1)
	go func() {
		_, e := b.Admit(context.Background(), a, clock)
		done <- e
	}()
	return done
}

// queued returns how many requests wait for a place.
func queued(b *Belief) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Waiting()
}

// await waits until something waits for a place, or an end is told.
func await(b *Belief, done <-chan *result.Error) {
	for len(done) == 0 && queued(b) == 0 {
		time.Sleep(time.Millisecond)
	}
}

func wantCode(t *testing.T, e *result.Error, want result.Code) {
	t.Helper()
	if e == nil || e.Code() != want {
		t.Fatalf("%v, want %v", e, want)
	}
}

// All VMs lost power and a group of engines forms anew, a second after its callers
// are back. Refused now, those who came back as they were asked to are lost; they
// would wait for two seconds.
func TestRequestWaitsForAGroupThatForms(t *testing.T) {
	b, s := groupOf(2)
	tell(b, true, true, start)
	a := askFor("r1", s, start)
	a.Leaves, a.CameBack = start.Add(2*time.Second), true
	done := admit(b, a, clockAt(start.Add(100*time.Millisecond)))
	await(b, done)
	tell(b, true, true, start.Add(300*time.Millisecond))
	if queued(b) != 1 {
		t.Fatalf("answered while the group forms: %v", <-done)
	}
	tell(b, false, false, start.Add(400*time.Millisecond))
	if e := <-done; e != nil {
		t.Fatalf("refused when the group had opened: %v", e)
	}
}

// The same group, and callers who ask for the first time. Were they let wait too, the
// crowd that meets the group as it opens would fill it, and all who come then would be
// late. They are asked back when it has opened.
func TestFirstCallersAreAskedBackWhileAGroupForms(t *testing.T) {
	b, s := groupOf(2)
	tell(b, true, true, start)
	a := askFor("r1", s, start)
	a.Leaves = start.Add(2 * time.Second)
	_, e := b.Admit(context.Background(), a, clockAt(start))
	wantCode(t, e, result.GroupClosed)
	j := &job{end: a.End}
	if d := j.retryAfter(e, start); d != 2*time.Second {
		t.Errorf("asked back after %v", d)
	}
	j.end = start.Add(1500 * time.Millisecond)
	if d := j.retryAfter(e, start); d != 500*time.Millisecond {
		t.Errorf("a caller with little time left is asked back after %v", d)
	}
}

// The way to a data centre is lost, and a group that spans it with it, for nobody
// knows how long. Callers are told at once to come back, the later the longer it has
// lasted, and not held until they leave.
func TestClosedGroupOfUnknownEndRefusesAtOnce(t *testing.T) {
	for _, lasted := range []time.Duration{2 * time.Second, 4 * time.Second} {
		t.Run(fmt.Sprint(lasted), func(t *testing.T) {
			b, s := groupOf(2)
			tell(b, true, false, start)
			now := start.Add(lasted)
			tell(b, true, false, now)
			a := askFor("r1", s, now)
			a.Leaves = now.Add(2 * time.Second)
			_, e := b.Admit(context.Background(), a, clockAt(now))
			wantCode(t, e, result.GroupClosed)
			if e.RetryAfter() != lasted {
				t.Errorf("asked back after %v, want %v", e.RetryAfter(), lasted)
			}
		})
	}
}

// A leader is cut off together with its group's engines, so nobody tells that they
// are closed. One request at a time finds out, and only one that was not sent before;
// the others don't use up the fleet's retry budget.
func TestClosedGroupIsProbedByOneRequestAtATime(t *testing.T) {
	b, s := groupOf(4)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(start)
	b.outages.began(s.Name, start)
	now := start.Add(silentFrom)
	c, closed := b.closure(s, now)
	if !closed || c.told {
		t.Fatalf("closed %v, %+v", closed, c)
	}
	if b.mayProbe(s, c, true, now) {
		t.Error("a request that was sent before is sent again")
	}
	if !b.mayProbe(s, c, false, now) || b.mayProbe(s, c, false, now) || !b.mayProbe(s, c, false, now.Add(probeEvery)) {
		t.Error("not one probe in its time")
	}
	b.outages.served(s.Name, now)
	if _, closed := b.closure(s, now); closed {
		t.Error("closed after an answer")
	}
}

// One of two groups of a service is closed. Requests go to the engines of the other.
func TestRequestsGoToTheOpenGroup(t *testing.T) {
	b, s := groupOf(2)
	b.mu.Lock()
	b.refresh(start)
	var loads []Load
	for id, ep := range b.endpoints {
		loads = append(loads, Load{Address: ep.Address, Closed: id == "e0", At: start})
	}
	b.mu.Unlock()
	b.SetLoads(loads, start)
	for _, p := range fill(t, b, s, start) {
		if p.Endpoint.ID == "e0" {
			t.Fatal("a request was sent to the closed group")
		}
	}
}

// A group opens after an outage, and a crowd waits that is late already. Those who
// come meanwhile and can be on time find a place at once, all the same.
func TestLateCrowdLeavesRoom(t *testing.T) {
	const n = 8
	b, s := groupOf(n)
	now := start.Add(time.Minute)
	for i := range 30 { // 10 a second, for 3 s
		b.noteArrival(&waiter{ask: Ask{Service: s}}, now.Add(time.Duration(i-30)*100*time.Millisecond))
	}
	b.mu.Lock()
	b.refresh(now)
	for i := range 7 {
		b.entries[fmt.Sprint("entry", i)] = time.Time{}
	}
	room := b.lateRoom(s, now)
	places := 0
	for _, ep := range b.endpoints {
		bears, _ := b.bears(ep)
		places += bears
	}
	b.mu.Unlock()
	if part := places / 7; room < leastLateRoom || room >= part {
		t.Fatalf("room %d of %d", room, part)
	}
	var crowd []<-chan *result.Error
	for i := range 3 * room {
		a := askFor(fmt.Sprint("late", i), s, now)
		a.Target, a.Leaves = now, now.Add(2*time.Second)
		done := admit(b, a, clockAt(now))
		await(b, done)
		crowd = append(crowd, done)
	}
	a := askFor("new", s, now)
	if _, e := b.Admit(context.Background(), a, clockAt(now)); e != nil {
		t.Fatalf("refused: %v", e)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lateRunning[s.Name] != room {
		t.Errorf("%d of %d late requests have places, want %d", b.lateRunning[s.Name], len(crowd), room)
	}
}

// Engines stay full, and a caller's target passes while it waits. It waits on behind
// the others, and is refused while it still listens, not when it has left.
func TestLateWaitEndsBeforeTheCallerLeaves(t *testing.T) {
	b, s := groupOf(1)
	fill(t, b, s, start)
	a := askFor("r1", s, start)
	a.Leaves = start.Add(2 * time.Second)
	done := admit(b, a, clockAt(start))
	await(b, done)
	b.Pump(start.Add(600 * time.Millisecond))
	if queued(b) != 1 {
		t.Fatalf("refused for its target: %v", <-done)
	}
	b.Pump(start.Add(1700 * time.Millisecond))
	if e := <-done; e == nil || e.Code().Effect() != result.NotRun {
		t.Fatalf("%v", e)
	}
}

// A service answers in 30 ms, another in two seconds, and one turns slow. What counts
// as usual follows, without a figure for any of them.
func TestUsualTimesAreObserved(t *testing.T) {
	for _, c := range []struct{ first, whole, target time.Duration }{
		{30 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond},
		{160 * time.Millisecond, 2 * time.Second, 500 * time.Millisecond},
		{700 * time.Millisecond, 9 * time.Second, 2 * time.Second},
	} {
		t.Run(fmt.Sprint(c.first), func(t *testing.T) {
			var a answerTimes
			if first, _ := a.usual("s", c.target, start); first != time.Duration(firstOfTarget*float64(c.target)) {
				t.Errorf("%v before any answer", first)
			}
			for i := range 3 * timesLeast {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				a.noteFirst("s", c.first, now)
				a.noteWhole("s", c.whole, now)
			}
			first, whole := a.usual("s", c.target, start)
			near(t, "first", first, c.first)
			near(t, "whole", whole, c.whole)
			near(t, "quick", a.quick("s", c.target, start), c.first)
			later := start.Add(2 * timesWindow)
			if first, _ := a.usual("s", c.target, later); first == c.first {
				t.Error("not forgotten")
			}
		})
	}
}

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want*98/100 || got > want*102/100 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// Callers of one route say that they have 7 to 8 s. None of them has asked before; one
// with 5 s left was asked to stay away and has come back.
func TestCallerOfLessPatienceIsNotLate(t *testing.T) {
	b, _ := groupOf(1)
	for _, c := range []struct {
		left time.Duration
		back bool
	}{{8 * time.Second, false}, {6900 * time.Millisecond, false}, {5300 * time.Millisecond, true}} {
		t.Run(fmt.Sprint(c.left), func(t *testing.T) {
			j := &job{relay: &Relay{Belief: b}, route: &routing.Route{Name: "r"}, facts: Facts{TimeLeft: c.left}}
			if j.cameBack() != c.back {
				t.Errorf("came back: %v", !c.back)
			}
		})
	}
}

// All processes start anew and callers come before the store has told what is in
// force, 200 ms later. They wait for it; a second after the start they are refused.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	b := &Belief{Name: "me", DataCentre: "a", Seed: 1, Fresh: &Freshness{}}
	b.Begin(start)
	done := make(chan struct{})
	go func() {
		b.AwaitKnown(context.Background(), start)
		close(done)
	}()
	b.SetTable(tableOf(1), start)
	select {
	case <-done:
		t.Fatal("known before the endpoints were listed")
	case <-time.After(20 * time.Millisecond):
	}
	b.Listed()
	<-done
	old := &Belief{}
	old.Begin(start)
	old.AwaitKnown(context.Background(), start.Add(startHold))
}

// A crowd that waits while its group is closed teaches the queue nothing of how fast
// engines are: the first that come after it opens would be refused for a wait that
// is long over.
func TestClosedTimeIsNotDrainTime(t *testing.T) {
	expected := func(rests bool) time.Duration {
		c := &admission.Controller{}
		if err := c.Configure([]admission.Limits{{Account: "a"}}, start); err != nil {
			t.Fatal(err)
		}
		now, places := start, 0
		place := func(*admission.Request) bool { places--; return places >= 0 }
		ask := func(id string) admission.Decision {
			r := admission.Request{ID: id, Account: "a", Route: "r", Worth: 1, Deadline: now.Add(time.Minute), ExpectedRun: 200 * time.Millisecond}
			return c.Arrive(r, now, place)
		}
		for i := range 20 { // ten starts a second are learnt while others wait
			ask(fmt.Sprint("a", i))
		}
		for range 10 {
			now, places = now.Add(100*time.Millisecond), 1
			for _, r := range first(c.Next(now, place)) {
				c.Cancel(r.ID)
			}
		}
		for range 60 { // then none for 6 s
			now, places = now.Add(100*time.Millisecond), 0
			if rests {
				c.Rest("r", now)
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
		t.Errorf("expected wait is %v after a rest and %v without", with, without)
	}
}

func first(started []admission.Request, _ []admission.Refusal) []admission.Request { return started }
