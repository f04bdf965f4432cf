package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// testEngine returns the engine of the deployments: 12 concurrent requests, 4 steps per pass.
func testEngine() *routing.Engine {
	return &routing.Engine{
		Slots: 12, Stride: 4, Step: 4550 * time.Microsecond, PerSequence: 905 * time.Microsecond,
		PerThousand: 18 * time.Microsecond, MeanPrompt: 835, MeanOutput: 97,
		Experts: routing.Experts{Share: 0.85},
	}
}

func newTable(version uint64, services ...*routing.Service) *routing.Table {
	var routes []*routing.Route
	for _, s := range services {
		routes = append(routes, &routing.Route{
			Name: s.Name, Host: "h", Prefix: "/" + s.Name + "/", MaxAttempts: 2, Target: 500 * time.Millisecond,
			Gap: 120 * time.Millisecond, Splits: []routing.Split{{Service: s.Name, Weight: 1}},
		})
	}
	return routing.NewTable(version, routes, services, nil, routing.Limits{})
}

func newBelief(name string, services ...*routing.Service) *Belief {
	b := &Belief{Name: name, DataCentre: "a", Seed: 1, Fresh: &Freshness{}}
	b.Begin(start)
	b.SetTable(newTable(1, services...), start)
	return b
}

func listEndpoints(b *Belief, n int, service string) {
	b.Change(func(d *directory.Directory) {
		for i := range n {
			d.Put(directory.Entry{
				ID: fmt.Sprintf("e%d", i), StartMillis: 1, Service: service, Address: fmt.Sprintf("10.0.0.%d:1", i),
				DataCentre: "a", Slots: 12,
			}, start)
		}
	})
	b.Listed()
}

// Guards against a delayed answer of the store that brings back an older configuration, with a key
// that has been revoked since.
func TestOlderConfigurationDoesNotComeBack(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes"})
	if !b.SetTable(newTable(9), start) || b.SetTable(newTable(8), start) || b.SetTable(newTable(9), start) {
		t.Fatal("a table that is not newer was accepted")
	}
	if v := b.Table().Version(); v != 9 {
		t.Fatalf("version %d", v)
	}
}

// Nine entries place requests on twelve engines that run in lockstep, so the fullest engine slows
// all of them. Arrivals are Poisson at the usual rate of busy days (56 per second that last 1.3 s
// each, so six per engine), and entries learn of each other's work up to 25 ms late. Guards against
// an uneven distribution.
func TestEntriesFillEnginesEvenly(t *testing.T) {
	const entries, engines, rate, lasts = 9, 12, 56.0, 1300 * time.Millisecond
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 3))
		fleet := make([]*Belief, entries)
		for i := range fleet {
			fleet[i] = newBelief(fmt.Sprintf("entry%d", i), &routing.Service{Name: "quotes", Engine: testEngine()})
			listEndpoints(fleet[i], engines, "quotes")
		}
		w := &fleetModel{fleet: fleet, engines: engines}
		for ms := range 15000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			w.endExpired(now)
			if ms%25 == 0 {
				w.exchange(now)
			}
			if rng.Float64() < rate/1000 {
				w.place(rng.IntN(entries), now, lasts)
			}
			if ms > 3000 {
				w.sampleExcess()
			}
		}
		if mean := w.excessSum / float64(w.samples); mean > 2.2 {
			t.Fatalf("seed %d: the fullest engine has %.2f requests more than the mean", seed, mean)
		}
	}
}

// fleetModel simulates entries and engines without a network.
type fleetModel struct {
	fleet     []*Belief
	engines   int
	open      []openRequest
	number    uint64
	excessSum float64
	samples   int
}

type openRequest struct {
	entry int
	place Place
	until time.Time
}

func (w *fleetModel) place(i int, now time.Time, lasts time.Duration) {
	b := w.fleet[i]
	p, e := b.Choose(b.Table().Service("quotes"), placement.Query{Tokens: 900}, now)
	if e == nil {
		w.open = append(w.open, openRequest{entry: i, place: p, until: now.Add(lasts)})
	}
}

func (w *fleetModel) endExpired(now time.Time) {
	remaining := w.open[:0]
	for _, o := range w.open {
		if now.Before(o.until) {
			remaining = append(remaining, o)
			continue
		}
		w.fleet[o.entry].Heard(o.place, now)
		w.fleet[o.entry].Ended(o.place, Delivered{}, now)
	}
	w.open = remaining
}

func (w *fleetModel) exchange(now time.Time) {
	w.number++
	works := make([]Work, 0, len(w.fleet))
	for _, from := range w.fleet {
		works = append(works, Work{Entry: from.Name, Born: 1, Number: w.number, Running: from.Own(), At: now})
	}
	for i, to := range w.fleet {
		to.SetWorks(slices.Concat(works[:i], works[i+1:]), now)
	}
}

func (w *fleetModel) sampleExcess() {
	n := map[string]int{}
	for _, o := range w.open {
		n[o.place.Endpoint.ID]++
	}
	maxRunning := 0
	for _, k := range n {
		maxRunning = max(maxRunning, k)
	}
	w.excessSum += float64(maxRunning) - float64(len(w.open))/float64(w.engines)
	w.samples++
}

// One engine of a group is six times slower. All passes wait for it, so entries observe the same
// latency from all engines, and only its load report identifies it. Guards against requests that
// are sent to the slow engine all the same.
func TestSlowEngineGetsNoRequests(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	listEndpoints(b, 4, "quotes")
	now := start
	_, _ = b.Choose(b.Table().Service("quotes"), placement.Query{}, now)
	loads := []Load{{Address: "10.0.0.2:1", Pace: 6.3, At: now}}
	for _, i := range []int{0, 1, 3} {
		loads = append(loads, Load{Address: fmt.Sprintf("10.0.0.%d:1", i), Pace: 1, At: now})
	}
	b.SetLoads(loads, now)
	for range 12 {
		p, e := b.Choose(b.Table().Service("quotes"), placement.Query{}, now)
		if e != nil {
			t.Fatal(e)
		}
		if p.Endpoint.ID == "e2" {
			t.Fatal("the slow engine got a request")
		}
	}
}

// fixedClock returns a clock that always reads now.
func fixedClock(now time.Time) func() time.Time { return func() time.Time { return now } }

func newAsk(id string, s *routing.Service, now time.Time) Ask {
	return Ask{Service: s, ID: id, Account: anonymousAccount, TargetTime: 500 * time.Millisecond, Target: now.Add(500 * time.Millisecond), End: now.Add(8 * time.Second)}
}

// takeAllPlaces takes all places of a service.
func takeAllPlaces(t *testing.T, b *Belief, s *routing.Service, now time.Time) []Place {
	t.Helper()
	var out []Place
	for {
		p, e := b.Choose(s, placement.Query{}, now)
		if e != nil {
			return out
		}
		out = append(out, p)
	}
}

// All engines are full for a moment. Guards against the refusal of a request that can still meet
// its target in the slot of a stream that ends.
func TestRequestWaitsForAPlace(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	listEndpoints(b, 2, "quotes")
	s := b.Table().Service("quotes")
	held := takeAllPlaces(t, b, s, start)
	if want := 2 * batch.MostWriters(testEngine(), 120*time.Millisecond); len(held) != want {
		t.Fatalf("%d places, want %d", len(held), want)
	}
	done := make(chan *result.Error, 1)
	go func() {
		_, e := b.Admit(context.Background(), newAsk("r1", s, start), fixedClock(start))
		done <- e
	}()
	for len(b.Waiting()) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.Ended(held[0], Delivered{}, start.Add(100*time.Millisecond))
	if e := <-done; e != nil {
		t.Fatalf("refused: %v", e)
	}
}

// Engines stay full. Guards against a request that is held until its caller gives up, instead of
// being refused when its answer would be late.
func TestRequestIsRefusedWhenItsTargetIsOutOfReach(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	listEndpoints(b, 1, "quotes")
	s := b.Table().Service("quotes")
	takeAllPlaces(t, b, s, start)
	began := time.Now()
	clock := func() time.Time { return start.Add(time.Since(began)) }
	_, e := b.Admit(context.Background(), newAsk("r1", s, start), clock)
	if e == nil || e.Code().Effect() != result.NotRun || e.RetryAfter() <= 0 {
		t.Fatalf("%v", e)
	}
	if n := len(b.Waiting()); n != 0 {
		t.Fatalf("%d services still have waiting requests", n)
	}
}

// Guards against requests that wait for a service without any endpoint, for which waiting is
// pointless.
func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	b.Listed()
	_, e := b.Admit(context.Background(), newAsk("r1", b.Table().Service("quotes"), start), fixedClock(start))
	if e == nil || e.Code() != result.NoEndpoint {
		t.Fatalf("%v", e)
	}
}

// Guards against a slot that is lost when a caller disconnects while its request waits.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	listEndpoints(b, 1, "quotes")
	s := b.Table().Service("quotes")
	held := takeAllPlaces(t, b, s, start)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, e := b.Admit(ctx, newAsk("r1", s, start), fixedClock(start)); e == nil {
		t.Fatal("placed")
	}
	b.Ended(held[0], Delivered{}, start)
	if p, e := b.Choose(s, placement.Query{}, start); e != nil {
		t.Fatalf("the free slot is lost: %v", e)
	} else if p.Endpoint.ID == "" {
		t.Fatal("no endpoint")
	}
}

// A service has one endpoint left, and one in seven of its requests fails for reasons of its own.
// Guards against the exclusion of the endpoint after each failure, by which callers were refused
// although it had free slots.
func TestLastEndpointIsNotLeftAloneForOneFailure(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "orders"})
	listEndpoints(b, 1, "orders")
	s := b.Table().Service("orders")
	now := start
	for i := range 50 {
		now = now.Add(20 * time.Millisecond)
		p, e := b.Choose(s, placement.Query{}, now)
		if e != nil {
			t.Fatalf("request %d: %v", i, e)
		}
		if i%7 == 0 {
			b.Ended(p, Failed{Answer: &Whole{Status: 500}}, now)
			continue
		}
		b.Ended(p, Delivered{}, now)
	}
	t.Run("repeated failures exclude the endpoint", func(t *testing.T) {
		p, _ := b.Choose(s, placement.Query{}, now)
		b.Ended(p, Delivered{}, now)
		for range failureThreshold {
			p, e := b.Choose(s, placement.Query{}, now)
			if e != nil {
				t.Fatal(e)
			}
			b.Ended(p, Failed{Answer: &Whole{Status: 500}}, now)
		}
		if _, e := b.Choose(s, placement.Query{}, now); e == nil {
			t.Fatal("no backoff after repeated failures")
		}
	})
}
