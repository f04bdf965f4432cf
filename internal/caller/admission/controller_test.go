package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// bench drives a Controller against a fixed number of places.
type bench struct {
	t       testing.TB
	c       *Controller
	now     time.Time
	places  int
	running map[string]time.Time
	runs    map[string]time.Duration
	ended   map[string]result.Code
}

func newBench(t testing.TB, places int, c *Controller, limits ...Limits) *bench {
	t.Helper()
	if err := c.Configure(limits, epoch); err != nil {
		t.Fatal(err)
	}
	return &bench{
		t: t, c: c, now: epoch, places: places, running: make(map[string]time.Time),
		runs: make(map[string]time.Duration), ended: make(map[string]result.Code),
	}
}

func (b *bench) place(r *Request) bool {
	if len(b.running) >= b.places {
		return false
	}
	b.running[r.ID] = b.now.Add(b.runs[r.ID])
	return true
}

// arrive offers a request that really runs for the given time.
func (b *bench) arrive(r Request, run time.Duration) Decision {
	b.runs[r.ID] = run
	d := b.c.Arrive(r, b.now, b.place)
	switch d := d.(type) {
	case Wait:
		b.refused(d.Displaced)
	case Refuse:
		b.ended[r.ID] = d.Code
	}
	return d
}

func (b *bench) refused(rs []Refusal) {
	for _, r := range rs {
		if r.Code.Effect() != result.NotRun {
			b.t.Errorf("%s refused with %v, which does not say that it was not run", r.ID, r.Code)
		}
		_, runs := b.running[r.ID]
		if code, ended := b.ended[r.ID]; ended || runs {
			b.t.Errorf("%s refused while it runs (%v) or after it ended (%v, %v)", r.ID, runs, ended, code)
		}
		b.ended[r.ID] = r.Code
	}
}

// advance moves the time on, ending requests when their run is over.
func (b *bench) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		for id, at := range b.running {
			if !at.After(b.now) {
				delete(b.running, id)
				b.c.Done(id, b.now)
				b.ended[id] = result.OK
			}
		}
		_, rs := b.c.Next(b.now, b.place)
		b.refused(rs)
	}
}

func (b *bench) assertEnded(id string, want result.Code) {
	b.t.Helper()
	if got, ok := b.ended[id]; !ok || got != want {
		b.t.Errorf("%s ended as %v (known %v), want %v", id, got, ok, want)
	}
}

func (b *bench) request(id, account string, run, deadline time.Duration) Request {
	return Request{ID: id, Account: account, Route: "model", ExpectedRun: run, Deadline: b.now.Add(deadline)}
}

// fifoMeetsAll plays the arrivals through an unbounded queue in order of
// arrival and reports whether each ends before its deadline.
func fifoMeetsAll(places int, at, run, deadline []time.Duration) bool {
	free := make([]time.Duration, places)
	for i := range at {
		first := 0
		for k := range free {
			if free[k] < free[first] {
				first = k
			}
		}
		free[first] = max(free[first], at[i]) + run[i]
		if free[first] > at[i]+deadline[i] {
			return false
		}
	}
	return true
}

// A caller would be turned away from a system that could have answered in
// time: the estimate of the wait is too high. Whatever a naive queue serves
// whole, the controller must serve whole.
func TestNothingRefusedThatNaiveQueueServes(t *testing.T) {
	tried := 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		const n, places = 300, 4
		var at, run, deadline [n]time.Duration
		now := time.Duration(0)
		for i := range n {
			now += time.Duration(rng.ExpFloat64() * 0.4 * float64(time.Second)).Truncate(10 * time.Millisecond)
			at[i] = now
			run[i] = time.Duration(50+rng.IntN(150)) * 10 * time.Millisecond
			deadline[i] = 4*time.Second + 10*time.Millisecond*places
		}
		if !fifoMeetsAll(places, at[:], run[:], deadline[:]) {
			continue
		}
		tried++
		b := newBench(t, places, &Controller{}, Limits{Account: "a"})
		for i := range n {
			b.advance(at[i] - b.now.Sub(epoch))
			r := b.request(fmt.Sprint(i), "a", run[i], deadline[i]+20*time.Millisecond)
			r.Worth = run[i].Seconds()
			b.arrive(r, run[i])
		}
		b.advance(10 * time.Second)
		for i := range n {
			b.assertEnded(fmt.Sprint(i), result.OK)
		}
	}
	if tried < 5 {
		t.Errorf("only %d of the schedules were fully served by the naive queue", tried)
	}
}

// Callers would be refused under load although places become free all the
// time: their predecessors left before the answer was whole, and only whole
// answers counted as a queue that moves.
func TestPlacesFreedByLeavingCallersCount(t *testing.T) {
	b := newBench(t, 4, &Controller{}, Limits{Account: "a"})
	for i := range 200 {
		d := b.arrive(b.request(fmt.Sprint(i), "a", time.Second, 8*time.Second), time.Hour)
		if r, ok := d.(Refuse); ok {
			t.Fatalf("request %d was refused with %v", i, r.Code)
		}
		if i < 16 {
			continue
		}
		// Each quarter of a second the caller leaves who has waited longest.
		b.advance(250 * time.Millisecond)
		left := fmt.Sprint(i - 16)
		delete(b.running, left)
		b.c.Cancel(left)
	}
}

func TestFullQueueDisplacesLeastWorth(t *testing.T) {
	b := newBench(t, 1, &Controller{MaxWaiting: 4}, Limits{Account: "a"})
	b.arrive(b.request("run", "a", time.Second, time.Minute), time.Second)
	for i, worth := range []float64{8, 1, 4, 2} {
		r := b.request(fmt.Sprint("w", worth), "a", time.Second, time.Minute)
		r.Worth = worth
		if _, ok := b.arrive(r, time.Second).(Wait); !ok {
			t.Fatalf("request %d was not queued", i)
		}
	}
	r := b.request("more", "a", time.Second, time.Minute)
	r.Worth = 3
	b.arrive(r, time.Second)
	b.assertEnded("w1", result.Displaced)
	r = b.request("less", "a", time.Second, time.Minute)
	r.Worth = 0.5
	b.arrive(r, time.Second)
	b.assertEnded("less", result.QueueFull)
}

// A caller would wait for an answer that can't come in time any more, and hear
// of it only at the deadline: the running request has stalled.
func TestHeldRequestIsRefusedWhenTooLate(t *testing.T) {
	b := newBench(t, 1, &Controller{}, Limits{Account: "a"})
	b.arrive(b.request("stalled", "a", time.Second, time.Minute), time.Hour)
	b.arrive(b.request("held", "a", 2*time.Second, 5*time.Second), time.Second)
	at, ok := b.c.NextRefusal()
	if want := epoch.Add(3 * time.Second); !ok || !at.Equal(want) {
		t.Errorf("NextRefusal is %v, %v; want %v", at, ok, want)
	}
	b.advance(3 * time.Second)
	b.assertEnded("held", result.DeadlineUnmeetable)
}

// Callers would be refused in step for ever: all that were refused in one
// moment come back in one moment.
func TestRefusedCallersReturnSpread(t *testing.T) {
	b := newBench(t, 10, &Controller{}, Limits{Account: "a"})
	returns := make(map[int]int)
	refused := 0
	for i := range 2000 {
		d := b.arrive(b.request(fmt.Sprint(i), "a", time.Second, 3*time.Second), time.Second)
		if r, ok := d.(Refuse); ok {
			refused++
			returns[int(r.RetryAfter/time.Second)]++
		}
	}
	for s, n := range returns {
		if n > refused/5 {
			t.Errorf("%d of %d callers return in second %d", n, refused, s)
		}
	}
	if refused < 1000 {
		t.Errorf("only %d were refused", refused)
	}
}

func TestLimits(t *testing.T) {
	b := newBench(t, 100, &Controller{}, Limits{Account: "a", Rate: 2, Burst: 3, Concurrency: 4})
	ask := func(id string) Decision { return b.arrive(b.request(id, "a", time.Hour, 2*time.Hour), time.Hour) }
	for i := range 3 {
		if _, ok := ask(fmt.Sprint(i)).(Start); !ok {
			t.Errorf("request %d was not started", i)
		}
	}
	ask("rate")
	b.assertEnded("rate", result.AccountRate)
	b.advance(time.Second)
	ask("fourth")
	ask("concurrency")
	b.assertEnded("concurrency", result.AccountConcurrency)
	if err := b.c.Configure([]Limits{{Account: "b"}}, b.now); err != nil {
		t.Fatal(err)
	}
	ask("removed")
	b.assertEnded("removed", result.BadAccountKey)
	if got := b.c.Open("a"); got != 4 {
		t.Errorf("the switch of presets left %d of 4 requests open", got)
	}
	for _, id := range []string{"0", "1", "2", "fourth"} {
		b.c.Done(id, b.now)
	}
	if got := b.c.Running(); got != 0 {
		t.Errorf("%d requests still run", got)
	}
}

// An account would get a fresh burst, all accounts at once, each time that
// operators switch presets.
func TestPresetSwitchGivesNoFreshBurst(t *testing.T) {
	limits := Limits{Account: "a", Rate: 1, Burst: 5}
	b := newBench(t, 100, &Controller{}, limits)
	for i := range 5 {
		b.arrive(b.request(fmt.Sprint(i), "a", time.Second, time.Minute), time.Second)
	}
	if err := b.c.Configure([]Limits{limits}, b.now); err != nil {
		t.Fatal(err)
	}
	b.arrive(b.request("after", "a", time.Second, time.Minute), time.Second)
	b.assertEnded("after", result.AccountRate)
}

func TestDrainFinishesWhatWaits(t *testing.T) {
	b := newBench(t, 1, &Controller{}, Limits{Account: "a"})
	b.arrive(b.request("first", "a", time.Second, time.Minute), time.Second)
	b.arrive(b.request("waits", "a", time.Second, time.Minute), time.Second)
	b.c.Drain()
	b.arrive(b.request("new", "a", time.Second, time.Minute), time.Second)
	b.assertEnded("new", result.ShuttingDown)
	b.advance(3 * time.Second)
	b.assertEnded("waits", result.OK)
}

func TestRequeuedRequestGoesFirst(t *testing.T) {
	b := newBench(t, 1, &Controller{}, Limits{Account: "a"})
	b.arrive(b.request("first", "a", time.Second, time.Minute), time.Second)
	b.arrive(b.request("second", "a", time.Second, time.Minute), time.Second)
	delete(b.running, "first")
	if _, ok := b.c.Requeue("first", b.now).(Wait); !ok {
		t.Fatal("the request was not queued again")
	}
	started, _ := b.c.Next(b.now, b.place)
	if len(started) != 1 || started[0].ID != "first" {
		t.Errorf("started %v, want the first request", started)
	}
}

// The books would drift: an account could run nothing any more, or too much,
// because a request that ended in an unusual way is still counted.
func TestBooksBalanceAfterAnyOrderOfEvents(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		b := newBench(t, 5, &Controller{MaxWaiting: 20}, Limits{Account: "a", Rate: 100}, Limits{Account: "b", Weight: 3})
		for i := range 2000 {
			id := fmt.Sprint(max(0, i-rng.IntN(30)))
			switch rng.IntN(10) {
			case 0:
				b.c.Cancel(id)
				delete(b.running, id)
			case 1:
				if _, ok := b.running[id]; ok {
					delete(b.running, id)
					b.c.Requeue(id, b.now)
				}
			case 2:
				b.advance(50 * time.Millisecond)
			default:
				r := b.request(fmt.Sprint(i), []string{"a", "b"}[rng.IntN(2)], 0, time.Duration(rng.IntN(4000))*time.Millisecond)
				r.Worth = float64(rng.IntN(8))
				b.arrive(r, time.Duration(rng.IntN(900))*time.Millisecond)
			}
			b.assertBooks()
		}
		b.advance(time.Minute)
		if n := b.c.Open("a") + b.c.Open("b") + b.c.Waiting() + b.c.Running(); n != 0 {
			t.Errorf("seed %d: %d still counted after all has ended", seed, n)
		}
	}
}

func (b *bench) assertBooks() {
	b.t.Helper()
	if b.c.Running() != len(b.running) {
		b.t.Fatalf("counts %d running, want %d", b.c.Running(), len(b.running))
	}
	if b.c.Waiting() > b.c.MaxWaiting+b.places {
		b.t.Fatalf("%d wait, more than %d", b.c.Waiting(), b.c.MaxWaiting)
	}
	if open := b.c.Open("a") + b.c.Open("b"); open != b.c.Running()+b.c.Waiting() {
		b.t.Fatalf("%d open, but %d running and %d waiting", open, b.c.Running(), b.c.Waiting())
	}
}
