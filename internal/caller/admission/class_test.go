package admission

import (
	"fmt"
	"math/rand/v2"
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
