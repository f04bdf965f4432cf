package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// harness drives a Controller against a fixed number of slots.
type harness struct {
	t         testing.TB
	c         *Controller
	now       time.Time
	slots     int
	running   map[string]time.Time
	durations map[string]time.Duration
	outcomes  map[string]result.Code
}

func newHarness(t testing.TB, slots int, c *Controller, limits ...Limits) *harness {
	t.Helper()
	if err := c.Configure(limits, epoch); err != nil {
		t.Fatal(err)
	}
	return &harness{
		t: t, c: c, now: epoch, slots: slots, running: make(map[string]time.Time),
		durations: make(map[string]time.Duration), outcomes: make(map[string]result.Code),
	}
}

func (h *harness) place(r *Request) bool {
	if len(h.running) >= h.slots {
		return false
	}
	h.running[r.ID] = h.now.Add(h.durations[r.ID])
	return true
}

// arrive submits a request whose actual running time is run.
func (h *harness) arrive(r Request, run time.Duration) Decision {
	h.durations[r.ID] = run
	d := h.c.Arrive(r, h.now, h.place)
	switch d := d.(type) {
	case Wait:
		h.recordRefusals(d.Displaced)
	case Refused:
		h.outcomes[r.ID] = d.Code
	}
	return d
}

func (h *harness) recordRefusals(refusals []QueuedRefusal) {
	for _, r := range refusals {
		if r.Code.Effect() != result.NotRun {
			h.t.Errorf("%s refused with %v, whose effect is not NotRun", r.ID, r.Code)
		}
		_, running := h.running[r.ID]
		if code, ended := h.outcomes[r.ID]; ended || running {
			h.t.Errorf("%s refused while running or after it ended (running: %v, ended: %v with %v)", r.ID, running, ended, code)
		}
		h.outcomes[r.ID] = r.Code
	}
}

// advance moves the time forward in steps of 10 ms, ends requests whose running
// time is over and calls Next.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		for id, at := range h.running {
			if !at.After(h.now) {
				delete(h.running, id)
				h.c.Done(id, h.now)
				h.outcomes[id] = result.OK
			}
		}
		_, refusals := h.c.Next(h.now, h.place)
		h.recordRefusals(refusals)
	}
}

func (h *harness) assertOutcome(id string, want result.Code) {
	h.t.Helper()
	if got, ok := h.outcomes[id]; !ok || got != want {
		h.t.Errorf("%s ended with %v (ended: %v), want %v", id, got, ok, want)
	}
}

func (h *harness) newRequest(id, account string, run, deadline time.Duration) Request {
	return Request{ID: id, Account: account, Route: "model", ExpectedRunTime: run, Deadline: h.now.Add(deadline)}
}

// fifoMeetsAllDeadlines simulates an unbounded FIFO queue and reports whether
// each request ends before its deadline.
func fifoMeetsAllDeadlines(slots int, arrivals, runs, deadlines []time.Duration) bool {
	freeAt := make([]time.Duration, slots)
	for i := range arrivals {
		earliest := 0
		for k := range freeAt {
			if freeAt[k] < freeAt[earliest] {
				earliest = k
			}
		}
		freeAt[earliest] = max(freeAt[earliest], arrivals[i]) + runs[i]
		if freeAt[earliest] > arrivals[i]+deadlines[i] {
			return false
		}
	}
	return true
}

// Guards against refusals due to an overestimated wait: on schedules where a
// plain FIFO queue meets all deadlines, the controller must serve every
// request.
func TestNoRefusalIfFIFOMeetsDeadlines(t *testing.T) {
	schedules := 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		const n, slots = 300, 4
		var arrivals, runs, deadlines [n]time.Duration
		now := time.Duration(0)
		for i := range n {
			now += time.Duration(rng.ExpFloat64() * 0.4 * float64(time.Second)).Truncate(10 * time.Millisecond)
			arrivals[i] = now
			runs[i] = time.Duration(50+rng.IntN(150)) * 10 * time.Millisecond
			deadlines[i] = 4*time.Second + 10*time.Millisecond*slots
		}
		if !fifoMeetsAllDeadlines(slots, arrivals[:], runs[:], deadlines[:]) {
			continue
		}
		schedules++
		h := newHarness(t, slots, &Controller{}, Limits{Account: "a"})
		for i := range n {
			h.advance(arrivals[i] - h.now.Sub(epoch))
			r := h.newRequest(fmt.Sprint(i), "a", runs[i], deadlines[i]+20*time.Millisecond)
			r.Worth = runs[i].Seconds()
			h.arrive(r, runs[i])
		}
		h.advance(10 * time.Second)
		for i := range n {
			h.assertOutcome(fmt.Sprint(i), result.OK)
		}
	}
	if schedules < 5 {
		t.Errorf("the FIFO queue met all deadlines in only %d schedules, want at least 5", schedules)
	}
}

// Guards against refusals while slots become free through cancelled requests,
// which happens if only completed requests count towards the drain rate.
func TestCancelledRequestsCountTowardsDrainRate(t *testing.T) {
	h := newHarness(t, 4, &Controller{}, Limits{Account: "a"})
	for i := range 200 {
		d := h.arrive(h.newRequest(fmt.Sprint(i), "a", time.Second, 8*time.Second), time.Hour)
		if r, ok := d.(Refused); ok {
			t.Fatalf("request %d was refused with %v", i, r.Code)
		}
		if i < 16 {
			continue
		}
		// Every 250 ms the caller that has waited longest disconnects.
		h.advance(250 * time.Millisecond)
		cancelled := fmt.Sprint(i - 16)
		delete(h.running, cancelled)
		h.c.Cancel(cancelled)
	}
}

func TestFullQueueDisplacesLeastWorth(t *testing.T) {
	h := newHarness(t, 1, &Controller{MaxWaiting: 4}, Limits{Account: "a"})
	h.arrive(h.newRequest("run", "a", time.Second, time.Minute), time.Second)
	for i, worth := range []float64{8, 1, 4, 2} {
		r := h.newRequest(fmt.Sprint("w", worth), "a", time.Second, time.Minute)
		r.Worth = worth
		if _, ok := h.arrive(r, time.Second).(Wait); !ok {
			t.Fatalf("request %d was not queued", i)
		}
	}
	r := h.newRequest("more", "a", time.Second, time.Minute)
	r.Worth = 3
	h.arrive(r, time.Second)
	h.assertOutcome("w1", result.Displaced)
	r = h.newRequest("less", "a", time.Second, time.Minute)
	r.Worth = 0.5
	h.arrive(r, time.Second)
	h.assertOutcome("less", result.QueueFull)
}

// Guards against keeping a request in the queue until its deadline when a
// stalled running request has already made it impossible to serve in time.
func TestWaitingRequestIsRefusedWhenTooLate(t *testing.T) {
	h := newHarness(t, 1, &Controller{}, Limits{Account: "a"})
	h.arrive(h.newRequest("stalled", "a", time.Second, time.Minute), time.Hour)
	h.arrive(h.newRequest("held", "a", 2*time.Second, 5*time.Second), time.Second)
	at, ok := h.c.NextRefusal()
	if want := epoch.Add(3 * time.Second); !ok || !at.Equal(want) {
		t.Errorf("NextRefusal is %v, %v; want %v", at, ok, want)
	}
	h.advance(3 * time.Second)
	h.assertOutcome("held", result.DeadlineUnmeetable)
}

// Guards against synchronized retries: if all callers refused at one moment
// retry at one moment, they are refused again, repeatedly.
func TestRetriesAreSpread(t *testing.T) {
	h := newHarness(t, 10, &Controller{}, Limits{Account: "a"})
	retriesBySecond := make(map[int]int)
	refused := 0
	for i := range 2000 {
		d := h.arrive(h.newRequest(fmt.Sprint(i), "a", time.Second, 3*time.Second), time.Second)
		if r, ok := d.(Refused); ok {
			refused++
			retriesBySecond[int(r.RetryAfter/time.Second)]++
		}
	}
	for s, n := range retriesBySecond {
		if n > refused/5 {
			t.Errorf("%d of %d callers retry in second %d", n, refused, s)
		}
	}
	if refused < 1000 {
		t.Errorf("only %d requests were refused, want at least 1000", refused)
	}
}

func TestLimits(t *testing.T) {
	h := newHarness(t, 100, &Controller{}, Limits{Account: "a", Rate: 2, Burst: 3, Concurrency: 4})
	send := func(id string) Decision { return h.arrive(h.newRequest(id, "a", time.Hour, 2*time.Hour), time.Hour) }
	for i := range 3 {
		if _, ok := send(fmt.Sprint(i)).(Start); !ok {
			t.Errorf("request %d was not started", i)
		}
	}
	send("rate")
	h.assertOutcome("rate", result.AccountRate)
	h.advance(time.Second)
	send("fourth")
	send("concurrency")
	h.assertOutcome("concurrency", result.AccountConcurrency)
	if err := h.c.Configure([]Limits{{Account: "b"}}, h.now); err != nil {
		t.Fatal(err)
	}
	send("removed")
	h.assertOutcome("removed", result.BadAccountKey)
	if got := h.c.Open("a"); got != 4 {
		t.Errorf("%d requests open after the preset switch, want 4", got)
	}
	for _, id := range []string{"0", "1", "2", "fourth"} {
		h.c.Done(id, h.now)
	}
	if got := h.c.Running(); got != 0 {
		t.Errorf("%d requests still running, want 0", got)
	}
}

// Guards against a preset switch that refills the token buckets of all accounts
// at once.
func TestPresetSwitchGivesNoFreshBurst(t *testing.T) {
	limits := Limits{Account: "a", Rate: 1, Burst: 5}
	h := newHarness(t, 100, &Controller{}, limits)
	for i := range 5 {
		h.arrive(h.newRequest(fmt.Sprint(i), "a", time.Second, time.Minute), time.Second)
	}
	if err := h.c.Configure([]Limits{limits}, h.now); err != nil {
		t.Fatal(err)
	}
	h.arrive(h.newRequest("after", "a", time.Second, time.Minute), time.Second)
	h.assertOutcome("after", result.AccountRate)
}

func TestDrainServesWaitingRequests(t *testing.T) {
	h := newHarness(t, 1, &Controller{}, Limits{Account: "a"})
	h.arrive(h.newRequest("first", "a", time.Second, time.Minute), time.Second)
	h.arrive(h.newRequest("waits", "a", time.Second, time.Minute), time.Second)
	h.c.Drain()
	h.arrive(h.newRequest("new", "a", time.Second, time.Minute), time.Second)
	h.assertOutcome("new", result.ShuttingDown)
	h.advance(3 * time.Second)
	h.assertOutcome("waits", result.OK)
}

func TestRequeuedRequestGoesFirst(t *testing.T) {
	h := newHarness(t, 1, &Controller{}, Limits{Account: "a"})
	h.arrive(h.newRequest("first", "a", time.Second, time.Minute), time.Second)
	h.arrive(h.newRequest("second", "a", time.Second, time.Minute), time.Second)
	delete(h.running, "first")
	if _, ok := h.c.Requeue("first", h.now).(Wait); !ok {
		t.Fatal("the request was not requeued")
	}
	started, _ := h.c.Next(h.now, h.place)
	if len(started) != 1 || started[0].ID != "first" {
		t.Errorf("started %v, want the first request", started)
	}
}

// Guards against counters that drift when a request ends in an unusual way and
// stays counted; the account could then run no more requests, or too many.
func TestCountersConsistentAfterAnyOrderOfEvents(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		h := newHarness(t, 5, &Controller{MaxWaiting: 20}, Limits{Account: "a", Rate: 100}, Limits{Account: "b", Weight: 3})
		for i := range 2000 {
			id := fmt.Sprint(max(0, i-rng.IntN(30)))
			switch rng.IntN(10) {
			case 0:
				h.c.Cancel(id)
				delete(h.running, id)
			case 1:
				if _, ok := h.running[id]; ok {
					delete(h.running, id)
					h.c.Requeue(id, h.now)
				}
			case 2:
				h.advance(50 * time.Millisecond)
			default:
				r := h.newRequest(fmt.Sprint(i), []string{"a", "b"}[rng.IntN(2)], 0, time.Duration(rng.IntN(4000))*time.Millisecond)
				r.Worth = float64(rng.IntN(8))
				h.arrive(r, time.Duration(rng.IntN(900))*time.Millisecond)
			}
			h.assertCounters()
		}
		h.advance(time.Minute)
		if n := h.c.Open("a") + h.c.Open("b") + h.c.Waiting() + h.c.Running(); n != 0 {
			t.Errorf("seed %d: %d requests still counted after all have ended", seed, n)
		}
	}
}

func (h *harness) assertCounters() {
	h.t.Helper()
	if h.c.Running() != len(h.running) {
		h.t.Fatalf("Running() = %d, want %d", h.c.Running(), len(h.running))
	}
	if h.c.Waiting() > h.c.MaxWaiting+h.slots {
		h.t.Fatalf("%d requests waiting, more than MaxWaiting %d plus the number of slots", h.c.Waiting(), h.c.MaxWaiting)
	}
	if open := h.c.Open("a") + h.c.Open("b"); open != h.c.Running()+h.c.Waiting() {
		h.t.Fatalf("%d requests open, but %d running and %d waiting", open, h.c.Running(), h.c.Waiting())
	}
}
