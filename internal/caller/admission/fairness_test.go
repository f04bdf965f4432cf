package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Ten small accounts would get no answers while a large one is served: it
// sends so much, worth as much, that the queue holds nothing else.
func TestLargeAccountDoesNotStarveSmallOnes(t *testing.T) {
	for _, worth := range []float64{1, 20} {
		t.Run(fmt.Sprintf("worth%v", worth), func(t *testing.T) {
			limits := []Limits{{Account: "large", Worth: worth}}
			for i := range 10 {
				limits = append(limits, Limits{Account: fmt.Sprint("small", i)})
			}
			b := newBench(t, 20, &Controller{MaxWaiting: 50}, limits...)
			for i := range 600 {
				for k := range 10 {
					b.arrive(b.request(fmt.Sprint("large.", i, ".", k), "large", time.Second, 5*time.Second), time.Second)
				}
				if i%10 == 0 {
					for k := range 10 {
						account := fmt.Sprint("small", k)
						b.arrive(b.request(fmt.Sprint(account, ".", i), account, time.Second, 5*time.Second), time.Second)
					}
				}
				b.advance(50 * time.Millisecond)
			}
			// Each small account asks for 2 a second of 20 and is due, when the
			// large one is worth more, a tenth of the fair part: 0.5 a second.
			least := 0.9
			if worth > 1 {
				least = 0.2
			}
			for k := range 10 {
				b.assertServedPart(fmt.Sprint("small", k, "."), least)
			}
		})
	}
}

func (b *bench) assertServedPart(prefix string, least float64) {
	b.t.Helper()
	all := 0.0
	for id := range b.ended {
		if strings.HasPrefix(id, prefix) {
			all++
		}
	}
	ok := float64(b.served(prefix))
	if ok < least*all || all == 0 {
		b.t.Errorf("%s: served %v of %v, want at least a part of %v", prefix, ok, all, least)
	}
}

func TestServedByWeight(t *testing.T) {
	b := newBench(t, 8, &Controller{}, Limits{Account: "one", Weight: 1}, Limits{Account: "three", Weight: 3})
	for i := range 600 {
		for _, account := range []string{"one", "three"} {
			b.arrive(b.request(fmt.Sprint(account, ".", i), account, time.Second, 6*time.Second), time.Second)
		}
		b.advance(50 * time.Millisecond)
	}
	one, three := b.served("one."), b.served("three.")
	if ratio := float64(three) / float64(one); ratio < 2.4 || ratio > 3.6 {
		t.Errorf("served %d and %d of accounts with weights 1 and 3", one, three)
	}
}

// An account that was idle for an hour would hold all places for as long as
// it takes to catch up with the others.
func TestIdleAccountEarnsNoClaim(t *testing.T) {
	b := newBench(t, 4, &Controller{FairPart: 1}, Limits{Account: "busy"}, Limits{Account: "idle"})
	ask := func(account string, i int) {
		b.arrive(b.request(fmt.Sprint(account, ".", i), account, time.Second, 30*time.Second), time.Second)
	}
	for i := range 400 {
		ask("busy", i)
		b.advance(100 * time.Millisecond)
	}
	before := b.served("busy.")
	for i := range 16 {
		ask("idle", 5000+i)
	}
	for i := range 40 {
		ask("busy", 5000+i)
		b.advance(100 * time.Millisecond)
	}
	busy, idle := b.served("busy.")-before, b.served("idle.")
	if busy < 6 || idle < 6 {
		t.Errorf("served %d of the busy account and %d of the returned one in 4 s of 4 places, want 6 of each", busy, idle)
	}
}

// served counts the requests with this prefix that were served.
func (b *bench) served(prefix string) (n int) {
	for id, code := range b.ended {
		if code == result.OK && strings.HasPrefix(id, prefix) {
			n++
		}
	}
	return n
}
