package admission

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// classRequest is newRequest for a request of a class that runs for a second.
func (h *harness) classRequest(id, account string, class int) Request {
	r := h.newRequest(id, account, time.Second, time.Hour)
	r.Class = class
	return r
}

// startOrder ends the running requests one after the other and returns the IDs of the next n starts.
func (h *harness) startOrder(n int) []string {
	var order []string
	for len(order) < n {
		for id := range h.running {
			delete(h.running, id)
			h.c.Done(id, h.now)
			break
		}
		started, _ := h.c.Next(h.now, h.place)
		if len(started) == 0 {
			return order
		}
		for _, r := range started {
			order = append(order, r.ID)
		}
	}
	return order
}

// Guards against a class that holds only among the requests of one account.
func TestMoreUrgentClassStartsFirst(t *testing.T) {
	h := newHarness(t, 1, &Controller{}, Limits{Account: "a"}, Limits{Account: "b", Weight: 100, Worth: 100})
	h.arrive(h.classRequest("first", "a", 0), time.Second)
	for i, class := range []int{2, 1, 0, 12} {
		account := []string{"b", "a", "a", "b"}[i]
		h.arrive(h.classRequest(fmt.Sprint("c", class), account, class), time.Second)
	}
	order := h.startOrder(4)
	if order[0] != "c0" {
		t.Errorf("started %v, want c0 first", order)
	}
}

// Guards against an urgent request that waits behind less urgent ones although a slot is free for
// it: the slots of an endpoint may be reserved for its class.
func TestUrgentArrivalStartsBeforeLessUrgentWaiting(t *testing.T) {
	h := newHarness(t, 1, &Controller{}, Limits{Account: "a"})
	h.arrive(h.classRequest("first", "a", 0), time.Second)
	h.arrive(h.classRequest("batch", "a", 2), time.Second)
	delete(h.running, "first")
	h.c.Done("first", h.now)
	if _, ok := h.arrive(h.classRequest("urgent", "a", 1), time.Second).(Start); !ok {
		t.Error("the urgent request was not started")
	}
	if _, ok := h.arrive(h.classRequest("batch2", "a", 2), time.Second).(Wait); !ok {
		t.Error("a request of the same class as a waiting one was not queued")
	}
	onlyUrgent := func(r *Request) bool { return r.Class == 0 }
	h.arrive(h.classRequest("urgent2", "a", 0), time.Second)
	if started, _ := h.c.Next(h.now, onlyUrgent); len(started) != 1 || started[0].ID != "urgent2" {
		t.Errorf("started %v, want the urgent request although the floor's turn has no slot", started)
	}
}

// Guards against classes that are starved, and against one of them that gets more of the floor than
// the others, over random arrivals of classes that always wait.
func TestFloorOfLessUrgentClasses(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 11))
		h := newHarness(t, 0, &Controller{MaxWaiting: 1 << 20}, Limits{Account: "a"}, Limits{Account: "b", Weight: 5})
		classes := 2 + rng.IntN(numClasses-1)
		n, maxWork := 0, 0.0
		work, total := make([]float64, classes), 0.0
		for total < 400 {
			for class := range classes {
				for range 3 {
					run := time.Duration(10+rng.IntN(2000)) * time.Millisecond
					r := h.newRequest(fmt.Sprint(n), []string{"a", "b"}[rng.IntN(2)], run, time.Hour)
					r.Class = class
					h.arrive(r, run)
					maxWork = max(maxWork, run.Seconds())
					n++
				}
			}
			h.slots = 3 // from when all classes wait
			for range 1 + rng.IntN(4) {
				for id := range h.running {
					delete(h.running, id)
					h.c.Done(id, h.now)
					break
				}
				started, _ := h.c.Next(h.now, h.place)
				for _, r := range started {
					work[r.Class] += r.ExpectedRunTime.Seconds()
					total += r.ExpectedRunTime.Seconds()
				}
			}
		}
		floor := 0.0
		for _, w := range work[1:] {
			floor += w
			if even := floorFraction * total / float64(classes-1); w < even-2*maxWork || w > even+2*maxWork {
				t.Errorf("seed %d: started work %v by class, want about %v of each less urgent one", seed, work, even)
			}
		}
		if floor < floorFraction*total-maxWork {
			t.Errorf("seed %d: %v of %v s of work started below the most urgent class", seed, floor, total)
		}
	}
}

// Guards against a class that makes up for the time in which it did not wait or was the most urgent
// one, and against one that takes all slots after a time in which it could have none.
func TestFloorHasNoArrears(t *testing.T) {
	h := newHarness(t, 0, &Controller{MaxWaiting: 1 << 20}, Limits{Account: "a"})
	add := func(class int) {
		for i := range 150 {
			h.arrive(h.classRequest(fmt.Sprintf("%d.%d.%d", class, h.c.seq, i), "a", class), time.Second)
		}
	}
	starts := func(n int) (byClass [numClasses]int) {
		for _, id := range h.startOrder(n) {
			byClass[id[0]-'0']++
		}
		return byClass
	}
	add(1)
	add(2)
	h.slots = 1
	starts(100)
	add(0)
	add(3)
	got := starts(91)
	for class := 1; class <= 3; class++ {
		if got[class] < 2 || got[class] > 4 {
			t.Errorf("started %v by class, want 3 of each less urgent one", got)
		}
	}
	for range 40 { // slots are free for the most urgent class alone
		for id := range h.running {
			delete(h.running, id)
			h.c.Done(id, h.now)
		}
		h.c.Next(h.now, func(r *Request) bool { return r.Class == 0 && h.place(r) })
	}
	if got := starts(10); got[0] < 8 {
		t.Errorf("started %v by class after a time without slots for the less urgent ones", got)
	}
}

// fill fills the queue with requests of the given classes behind one that runs.
func fill(h *harness, account string, classes ...int) {
	h.arrive(h.classRequest("run", account, 0), time.Second)
	for i, class := range classes {
		if _, ok := h.arrive(h.classRequest(fmt.Sprint(class, ".", i), account, class), time.Second).(Wait); !ok {
			h.t.Fatalf("request %d was not queued", i)
		}
	}
}

// Guards against an urgent request that is refused while less urgent ones hold the queue, also
// those that are protected for their account, and against classes that lose their last place.
func TestFullQueueDisplacesLeastUrgent(t *testing.T) {
	h := newHarness(t, 1, &Controller{MaxWaiting: 6}, Limits{Account: "a"}, Limits{Account: "b"})
	fill(h, "a", 2, 2, 1, 1, 2, 1)
	for i := range 4 {
		d, ok := h.arrive(h.classRequest(fmt.Sprint("0.", i), "b", 0), time.Second).(Wait)
		if !ok || len(d.Displaced) != 1 || d.Displaced[0].ByClass != 0 || d.Displaced[0].ByRoute != "model" {
			t.Fatalf("urgent request %d: %+v", i, d)
		}
	}
	for _, id := range []string{"2.4", "2.1", "1.5", "1.3"} {
		h.assertOutcome(id, result.Displaced)
	}
	h.arrive(h.classRequest("0.9", "a", 0), time.Second)
	for _, id := range []string{"2.0", "1.2"} {
		if code, ended := h.outcomes[id]; ended {
			t.Errorf("%s, the last one of its class, ended with %v", id, code)
		}
	}
}

// Guards against classes that are kept out of a queue full of more urgent requests, so that their
// floor is never used.
func TestClassBelowItsFloorTakesAPlace(t *testing.T) {
	h := newHarness(t, 1, &Controller{MaxWaiting: 4}, Limits{Account: "a"}, Limits{Account: "b"})
	fill(h, "a", 0, 0, 0, 0)
	d, ok := h.arrive(h.classRequest("batch", "b", 7), time.Second).(Wait)
	if !ok || len(d.Displaced) != 1 {
		t.Fatalf("%+v, want a place", d)
	}
	h.arrive(h.classRequest("batch2", "a", 7), time.Second)
	h.assertOutcome("batch2", result.QueueFull)
}

// Guards against a service that fills the queue with urgent requests and keeps another one out, and
// against late requests that keep their places before others.
func TestServicesShareTheQueue(t *testing.T) {
	h := newHarness(t, 0, &Controller{MaxWaiting: 8}, Limits{Account: "a"})
	h.c.ConfigureRoutes([]RouteConfig{{Route: "model", Service: "model"}, {Route: "late", Service: "model", Late: true}, {Route: "orders", Service: "orders"}})
	arrive := func(id, route string, class int) Decision {
		r := h.classRequest(id, "a", class)
		r.Route = route
		return h.arrive(r, time.Second)
	}
	arrive("late", "late", 0)
	for i := range 7 {
		arrive(fmt.Sprint(i), "model", 0)
	}
	for i := range 4 {
		if _, ok := arrive(fmt.Sprint("order", i), "orders", 9).(Wait); !ok {
			t.Fatalf("order %d has no place", i)
		}
	}
	h.assertOutcome("late", result.Displaced)
	if d, ok := arrive("order4", "orders", 0).(Wait); !ok || d.Displaced[0].ID[:5] != "order" {
		t.Errorf("%+v, want a place of the service itself beyond its share", d)
	}
	arrive("more", "model", 0)
	if n := h.c.routes["orders"].places.waiting; n != 4 {
		t.Errorf("the orders hold %d of 8 places, want 4", n)
	}
}

// Guards against late requests that start before others of any class.
func TestLateRequestsStartLast(t *testing.T) {
	h := newHarness(t, 0, &Controller{}, Limits{Account: "a"})
	h.c.ConfigureRoutes([]RouteConfig{{Route: "late", Service: "s", Late: true}, {Route: "model", Service: "s"}})
	for i, class := range []int{3, 0, 9, 8} {
		r := h.classRequest(fmt.Sprint(i), "a", class)
		if r.Route = "late"; i >= 2 {
			r.Route = "model"
		}
		h.arrive(r, time.Second)
	}
	h.slots = 3
	started, _ := h.c.Next(h.now, h.place)
	if len(started) != 3 || started[0].Route != "model" || started[1].Route != "model" || started[2].Class != 0 {
		t.Errorf("started %v", started)
	}
}

// Guards against retry times that an urgent caller owes to the wait of less urgent ones, and against
// its refusal by an entry that has just started and knows no drain rate.
func TestWaitsAreEstimatedByClass(t *testing.T) {
	h := newHarness(t, 2, &Controller{MaxWaiting: 60}, Limits{Account: "a"}, Limits{Account: "b"})
	h.arrive(h.classRequest("run", "a", 0), time.Hour)
	h.arrive(h.classRequest("run2", "a", 0), time.Hour)
	for i := range 60 {
		h.arrive(h.classRequest(fmt.Sprint(i), "a", 1+i%3), time.Second)
	}
	urgent := h.classRequest("urgent", "a", 0)
	urgent.Deadline = h.now.Add(1500 * time.Millisecond)
	d, ok := h.arrive(urgent, time.Second).(Wait)
	if !ok || d.Expected != 0 {
		t.Errorf("%+v for the first urgent request of an entry that starts, want no wait", d)
	}
	retryAfter := func(class int) time.Duration {
		sum := time.Duration(0)
		for i := range 20 {
			r := h.classRequest(fmt.Sprint("refused", class, ".", i), "b", class)
			r.Deadline = h.now.Add(time.Second + time.Millisecond)
			if refused, ok := h.arrive(r, time.Second).(Refused); ok {
				sum += refused.RetryAfter / 20
			}
		}
		return sum
	}
	for i := range 10 {
		h.arrive(h.classRequest(fmt.Sprint("urgent", i), "b", 0), time.Second)
	}
	batch := h.classRequest("batch", "b", 9)
	batch.Deadline = h.now.Add(1500 * time.Millisecond)
	if d, ok := h.arrive(batch, time.Second).(Wait); !ok {
		t.Errorf("%+v for the only request of a class, want that it waits for the floor", d)
	}
	h.advance(time.Second)
	if least, most := retryAfter(3), retryAfter(0); most == 0 || 2*most > least {
		t.Errorf("mean retry time %v of the most urgent class and %v of the least urgent", most, least)
	}
}

// Guards against estimates from starts of less urgent classes, and without the urgent arrivals that
// go first.
func TestWaitsDependOnMoreUrgentClasses(t *testing.T) {
	h := newHarness(t, 0, &Controller{}, Limits{Account: "a"})
	for i := range 20 {
		h.arrive(h.classRequest(fmt.Sprint(i), "a", i%2), time.Second)
	}
	r := h.c.routes["model"]
	r.drain.start(1, 50)
	r.drain.advance(h.now.Add(5*time.Second), 0)
	wait := func(class int) time.Duration {
		return r.estimateWait(r.class(class).flowFor(h.c.accounts["a"], 0), bandCount/2, DefaultFairFraction)
	}
	r.running, r.arrivals = 1, classMeter{}
	if urgent, other := wait(0), wait(1); urgent < 2*other {
		t.Errorf("wait of %v for a class without starts, %v for one with many", urgent, other)
	}
	before := wait(1)
	r.arrivals.add(0, 1000, h.now)
	if after := wait(1); after < 2*before {
		t.Errorf("wait of %v, and %v with many urgent arrivals", before, after)
	}
	less := wait(0)
	r.arrivals.add(2, 1000, h.now)
	if after := wait(0); after != less {
		t.Errorf("wait of %v, and %v with less urgent arrivals", less, after)
	}
}

// Guards against a caller that has come back and is refused for good behind new ones, and against
// an account that starves others by such requests.
func TestCallersThatCameBackGoFirst(t *testing.T) {
	h := newHarness(t, 0, &Controller{MaxWaiting: 16}, Limits{Account: "new"}, Limits{Account: "back"})
	for i := range 16 {
		r := h.classRequest(fmt.Sprint("new", i), "new", 1)
		if i%2 == 1 {
			r = h.classRequest(fmt.Sprint("back", i), "back", 1)
			r.AskedBefore = i > 1 // the first one of the account must not go before the others
		}
		h.arrive(r, time.Second)
	}
	h.arrive(h.classRequest("urgent", "new", 0), time.Second)
	if _, displaced := h.outcomes["back15"]; displaced {
		t.Error("a caller that came back was displaced before new ones")
	}
	h.slots = 1
	back := 0
	for _, id := range h.startOrder(9) {
		if strings.HasPrefix(id, "back") {
			back++
		}
		if id == "back1" {
			t.Error("a new request was started before those of callers that came back")
		}
	}
	if back < 5 || back > 7 {
		t.Errorf("%d of the first 9 starts are of the account whose callers came back", back)
	}
}

// Guards against another order where all requests have one class, whichever it is.
func TestOneClassIsServedAlike(t *testing.T) {
	log := func(class int) (out []string) {
		rng := rand.New(rand.NewPCG(1, 13))
		h := newHarness(t, 4, &Controller{MaxWaiting: 20}, Limits{Account: "a"}, Limits{Account: "b", Weight: 3})
		for i := range 1500 {
			r := h.newRequest(fmt.Sprint(i), []string{"a", "b"}[rng.IntN(2)], time.Second, time.Duration(rng.IntN(9000))*time.Millisecond)
			r.Class, r.Worth = class, float64(1+rng.IntN(8))
			out = append(out, fmt.Sprintf("%+v", h.arrive(r, time.Duration(rng.IntN(1500))*time.Millisecond)))
			if rng.IntN(4) == 0 {
				h.advance(100 * time.Millisecond)
			}
		}
		return out
	}
	first, last := log(0), log(MaxClass)
	for i := range first {
		if want := strings.ReplaceAll(first[i], "ByClass:0", "ByClass:9"); last[i] != want && first[i] != last[i] {
			t.Fatalf("request %d: %s, and %s in the last class", i, first[i], last[i])
		}
	}
}
