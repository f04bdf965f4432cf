package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Guards against starvation of ten small accounts by a large one whose requests
// are so many, and of such worth, that they fill the queue.
func TestLargeAccountDoesNotStarveSmallOnes(t *testing.T) {
	for _, worth := range []float64{1, 20} {
		t.Run(fmt.Sprintf("worth%v", worth), func(t *testing.T) {
			limits := []Limits{{Account: "large", Worth: worth}}
			for i := range 10 {
				limits = append(limits, Limits{Account: fmt.Sprint("small", i)})
			}
			h := newHarness(t, 20, &Controller{MaxWaiting: 50}, limits...)
			for i := range 600 {
				for k := range 10 {
					h.arrive(h.newRequest(fmt.Sprint("large.", i, ".", k), "large", time.Second, 5*time.Second), time.Second)
				}
				if i%10 == 0 {
					for k := range 10 {
						account := fmt.Sprint("small", k)
						h.arrive(h.newRequest(fmt.Sprint(account, ".", i), account, time.Second, 5*time.Second), time.Second)
					}
				}
				h.advance(50 * time.Millisecond)
			}
			// Each small account asks for 2 of 20 requests per second. If the
			// requests of the large account are worth more, each small account
			// is entitled to a tenth of the fair fraction: 0.5 requests per
			// second.
			minFraction := 0.9
			if worth > 1 {
				minFraction = 0.2
			}
			for k := range 10 {
				h.assertServedFraction(fmt.Sprint("small", k, "."), minFraction)
			}
		})
	}
}

func (h *harness) assertServedFraction(prefix string, minFraction float64) {
	h.t.Helper()
	total := 0.0
	for id := range h.outcomes {
		if strings.HasPrefix(id, prefix) {
			total++
		}
	}
	served := float64(h.countServed(prefix))
	if served < minFraction*total || total == 0 {
		h.t.Errorf("%s: served %v of %v requests, want at least the fraction %v", prefix, served, total, minFraction)
	}
}

func TestServedByWeight(t *testing.T) {
	h := newHarness(t, 8, &Controller{}, Limits{Account: "one", Weight: 1}, Limits{Account: "three", Weight: 3})
	for i := range 600 {
		for _, account := range []string{"one", "three"} {
			h.arrive(h.newRequest(fmt.Sprint(account, ".", i), account, time.Second, 6*time.Second), time.Second)
		}
		h.advance(50 * time.Millisecond)
	}
	one, three := h.countServed("one."), h.countServed("three.")
	if ratio := float64(three) / float64(one); ratio < 2.4 || ratio > 3.6 {
		t.Errorf("served %d and %d requests of accounts with weights 1 and 3, want a ratio of 2.4 to 3.6", one, three)
	}
}

// Guards against an account that returns from an idle period and then occupies
// all slots until it has caught up with the others.
func TestIdleAccountEarnsNoCredit(t *testing.T) {
	h := newHarness(t, 4, &Controller{FairFraction: 1}, Limits{Account: "busy"}, Limits{Account: "idle"})
	send := func(account string, i int) {
		h.arrive(h.newRequest(fmt.Sprint(account, ".", i), account, time.Second, 30*time.Second), time.Second)
	}
	for i := range 400 {
		send("busy", i)
		h.advance(100 * time.Millisecond)
	}
	before := h.countServed("busy.")
	for i := range 16 {
		send("idle", 5000+i)
	}
	for i := range 40 {
		send("busy", 5000+i)
		h.advance(100 * time.Millisecond)
	}
	busy, idle := h.countServed("busy.")-before, h.countServed("idle.")
	if busy < 6 || idle < 6 {
		t.Errorf("served %d requests of the busy account and %d of the returning one in 4 s with 4 slots, want at least 6 of each", busy, idle)
	}
}

// countServed returns the number of served requests whose ID has the prefix.
func (h *harness) countServed(prefix string) (n int) {
	for id, code := range h.outcomes {
		if code == result.OK && strings.HasPrefix(id, prefix) {
			n++
		}
	}
	return n
}
