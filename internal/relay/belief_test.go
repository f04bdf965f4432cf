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

// engine is that of the deployments: 12 requests at once, 4 steps a pass.
func engine() *routing.Engine {
	return &routing.Engine{
		Slots: 12, Stride: 4, Step: 4550 * time.Microsecond, PerSequence: 905 * time.Microsecond,
		PerThousand: 18 * time.Microsecond, MeanPrompt: 835, MeanOutput: 97,
		Experts: routing.Experts{Share: 0.85},
	}
}

func tableOf(version uint64, services ...*routing.Service) *routing.Table {
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
	b.SetTable(tableOf(1, services...), start)
	return b
}

func list(b *Belief, n int, service string) {
	b.Change(func(d *directory.Directory) {
		for i := range n {
			d.Put(directory.Entry{
				ID: fmt.Sprintf("e%d", i), Born: 1, Service: service, Address: fmt.Sprintf("10.0.0.%d:1", i),
				DataCentre: "a", Slots: 12,
			}, start)
		}
	})
	b.Listed()
}

// A late answer of the store tells of an older configuration, with a key that was
// taken away since.
func TestOlderConfigurationDoesNotComeBack(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes"})
	if !b.SetTable(tableOf(9), start) || b.SetTable(tableOf(8), start) || b.SetTable(tableOf(9), start) {
		t.Fatal("an older table was taken")
	}
	if v := b.Table().Version(); v != 9 {
		t.Fatalf("version %d", v)
	}
}

// Nine entries place requests on twelve engines that run in lock-step; the
// fullest engine slows all of them. Arrivals are Poisson at the usual rate of
// heavy days (56 a second that last 1.3 s each, so six an engine), and entries
// hear of each other's work 25 ms late.
func TestEntriesFillEnginesEvenly(t *testing.T) {
	const entries, engines, rate, lasts = 9, 12, 56.0, 1300 * time.Millisecond
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 3))
		fleet := make([]*Belief, entries)
		for i := range fleet {
			fleet[i] = newBelief(fmt.Sprintf("entry%d", i), &routing.Service{Name: "quotes", Engine: engine()})
			list(fleet[i], engines, "quotes")
		}
		w := &fleetWorld{fleet: fleet, engines: engines}
		for ms := range 15000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			w.endDue(now)
			if ms%25 == 0 {
				w.exchange(now)
			}
			if rng.Float64() < rate/1000 {
				w.place(rng.IntN(entries), now, lasts)
			}
			if ms > 3000 {
				w.look()
			}
		}
		if mean := w.excess / float64(w.looks); mean > 2.2 {
			t.Fatalf("seed %d: the fullest engine has %.2f requests more than the mean", seed, mean)
		}
	}
}

// fleetWorld is entries and engines without a network.
type fleetWorld struct {
	fleet   []*Belief
	engines int
	open    []openRequest
	number  uint64
	excess  float64
	looks   int
}

type openRequest struct {
	entry int
	place Place
	until time.Time
}

func (w *fleetWorld) place(i int, now time.Time, lasts time.Duration) {
	b := w.fleet[i]
	p, e := b.Choose(b.Table().Service("quotes"), placement.Query{Tokens: 900}, now)
	if e == nil {
		w.open = append(w.open, openRequest{entry: i, place: p, until: now.Add(lasts)})
	}
}

func (w *fleetWorld) endDue(now time.Time) {
	rest := w.open[:0]
	for _, o := range w.open {
		if now.Before(o.until) {
			rest = append(rest, o)
			continue
		}
		w.fleet[o.entry].Heard(o.place, now)
		w.fleet[o.entry].Ended(o.place, Delivered{}, now)
	}
	w.open = rest
}

func (w *fleetWorld) exchange(now time.Time) {
	w.number++
	works := make([]Work, 0, len(w.fleet))
	for _, from := range w.fleet {
		works = append(works, Work{Entry: from.Name, Born: 1, Number: w.number, Running: from.Own(), At: now})
	}
	for i, to := range w.fleet {
		to.SetWorks(slices.Concat(works[:i], works[i+1:]), now)
	}
}

func (w *fleetWorld) look() {
	n := map[string]int{}
	for _, o := range w.open {
		n[o.place.Endpoint.ID]++
	}
	top := 0
	for _, k := range n {
		top = max(top, k)
	}
	w.excess += float64(top) - float64(len(w.open))/float64(w.engines)
	w.looks++
}

// One of twelve engines turns six times slower; all passes wait for it, so all
// look alike to entries. Its report names it.
func TestSlowEngineGetsNoRequests(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: engine()})
	list(b, 4, "quotes")
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

// clockAt returns a clock that stands still.
func clockAt(now time.Time) func() time.Time { return func() time.Time { return now } }

func askFor(id string, s *routing.Service, now time.Time) Ask {
	return Ask{Service: s, ID: id, Account: anonymous, TargetTime: 500 * time.Millisecond, Target: now.Add(500 * time.Millisecond), End: now.Add(8 * time.Second)}
}

// fill gives every place of a service away.
func fill(t *testing.T, b *Belief, s *routing.Service, now time.Time) []Place {
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

// All engines are full for a moment. A request waits for the place that a stream
// gives free instead of being refused, because it can still be on time.
func TestRequestWaitsForAPlace(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: engine()})
	list(b, 2, "quotes")
	s := b.Table().Service("quotes")
	held := fill(t, b, s, start)
	if want := 2 * batch.MostWriters(engine(), 120*time.Millisecond); len(held) != want {
		t.Fatalf("%d places, want %d", len(held), want)
	}
	done := make(chan *result.Error, 1)
	go func() {
		_, e := b.Admit(context.Background(), askFor("r1", s, start), clockAt(start))
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

// Engines stay full. A request is refused at the moment from which its answer
// would be late, and not held until its caller gives up.
func TestRequestIsRefusedWhenItsTargetIsOutOfReach(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: engine()})
	list(b, 1, "quotes")
	s := b.Table().Service("quotes")
	fill(t, b, s, start)
	began := time.Now()
	clock := func() time.Time { return start.Add(time.Since(began)) }
	_, e := b.Admit(context.Background(), askFor("r1", s, start), clock)
	if e == nil || e.Code().Effect() != result.NotRun || e.RetryAfter() <= 0 {
		t.Fatalf("%v", e)
	}
	if n := len(b.Waiting()); n != 0 {
		t.Fatalf("%d services still wait", n)
	}
}

// The service has no endpoint at all. Waiting changes nothing, so callers hear
// of it at once.
func TestNothingToWaitFor(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: engine()})
	b.Listed()
	_, e := b.Admit(context.Background(), askFor("r1", b.Table().Service("quotes"), start), clockAt(start))
	if e == nil || e.Code() != result.NoEndpoint {
		t.Fatalf("%v", e)
	}
}

// A caller leaves while its request waits; its place must not be lost.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes", Engine: engine()})
	list(b, 1, "quotes")
	s := b.Table().Service("quotes")
	held := fill(t, b, s, start)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, e := b.Admit(ctx, askFor("r1", s, start), clockAt(start)); e == nil {
		t.Fatal("placed")
	}
	b.Ended(held[0], Delivered{}, start)
	if p, e := b.Choose(s, placement.Query{}, start); e != nil {
		t.Fatalf("the free place is lost: %v", e)
	} else if p.Endpoint.ID == "" {
		t.Fatal("no endpoint")
	}
}

// All but one endpoint of a service have been taken away. One in seven look-ups
// fails for its own reasons; after each the last endpoint was left alone, and
// callers were refused though it had places.
func TestLastEndpointIsNotLeftAloneForOneFailure(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "orders"})
	list(b, 1, "orders")
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
	t.Run("one that fails again and again is", func(t *testing.T) {
		p, _ := b.Choose(s, placement.Query{}, now)
		b.Ended(p, Delivered{}, now)
		for range failuresInARow {
			p, e := b.Choose(s, placement.Query{}, now)
			if e != nil {
				t.Fatal(e)
			}
			b.Ended(p, Failed{Answer: &Whole{Status: 500}}, now)
		}
		if _, e := b.Choose(s, placement.Query{}, now); e == nil {
			t.Fatal("it is asked on at once")
		}
	})
}
