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
		PerThousandTokens: 18 * time.Microsecond, MeanPrompt: 835, MeanOutput: 97,
		Experts: routing.Experts{Share: 0.85},
	}
}

func newTable(version uint64, services ...*routing.Service) *routing.Table {
	var routes []*routing.Route
	for _, s := range services {
		routes = append(routes, &routing.Route{
			Name: s.Name, Host: "h", Prefix: "/" + s.Name + "/", MaxAttempts: 2, TargetLatency: 500 * time.Millisecond,
			MaxGap: 120 * time.Millisecond, Splits: []routing.Split{{Service: s.Name, Weight: 1}},
		})
	}
	return routing.NewTable(version, routes, services, nil, routing.Limits{})
}

func newState(name string, services ...*routing.Service) *State {
	st := &State{Name: name, DataCentre: "a", Seed: 1, Freshness: &Freshness{}}
	st.Init(start)
	st.SetTable(newTable(1, services...), start)
	return st
}

func listEndpoints(st *State, n int, service string) {
	st.UpdateDirectory(func(d *directory.Directory) {
		for i := range n {
			d.Put(directory.Entry{
				ID: fmt.Sprintf("e%d", i), StartMillis: 1, Service: service, Address: fmt.Sprintf("10.0.0.%d:1", i),
				DataCentre: "a", Slots: 12,
			}, start)
		}
	})
	st.EndpointsListed()
}

// Guards against a delayed answer of the store that brings back an older configuration, with a key
// that has been revoked since.
func TestOlderConfigurationDoesNotComeBack(t *testing.T) {
	st := newState("me", &routing.Service{Name: "quotes"})
	if !st.SetTable(newTable(9), start) || st.SetTable(newTable(8), start) || st.SetTable(newTable(9), start) {
		t.Fatal("a table that is not newer was accepted")
	}
	if v := st.Table().Version(); v != 9 {
		t.Fatalf("version %d", v)
	}
}

// Nine entries assign requests to twelve engines that run in lockstep, so the fullest engine slows
// all of them. Arrivals are Poisson at the usual rate of busy days (56 per second that last 1.3 s
// each, so six per engine), and entries learn of each other's work up to 25 ms late. Guards against
// an uneven distribution.
func TestEntriesFillEnginesEvenly(t *testing.T) {
	t.Parallel()
	const entries, engines, rate, lasts = 9, 12, 56.0, 1300 * time.Millisecond
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 3))
		fleet := make([]*State, entries)
		for i := range fleet {
			fleet[i] = newState(fmt.Sprintf("entry%d", i), &routing.Service{Name: "quotes", Engine: testEngine()})
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
				w.assign(rng.IntN(entries), now, lasts)
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
	fleet     []*State
	engines   int
	open      []openRequest
	sequence  uint64
	excessSum float64
	samples   int
}

// newFleetModel returns entries that all know each other and the endpoints of a service.
func newFleetModel(entries, endpoints int, s *routing.Service, began time.Time) fleetModel {
	w := fleetModel{engines: endpoints}
	for i := range entries {
		st := newState(fmt.Sprint("entry", i), s)
		listEndpoints(st, endpoints, s.Name)
		for k := range entries {
			st.SetEntry(fmt.Sprint("entry", k), true, began)
		}
		w.fleet = append(w.fleet, st)
	}
	return w
}

type openRequest struct {
	entry    int
	assigned Assignment
	until    time.Time
}

func (w *fleetModel) assign(i int, now time.Time, lasts time.Duration) {
	st := w.fleet[i]
	assigned, e := st.Choose(st.Table().Service("quotes"), placement.Query{Tokens: 900}, now)
	if e == nil {
		w.open = append(w.open, openRequest{entry: i, assigned: assigned, until: now.Add(lasts)})
	}
}

func (w *fleetModel) endExpired(now time.Time) {
	remaining := w.open[:0]
	for _, o := range w.open {
		if now.Before(o.until) {
			remaining = append(remaining, o)
			continue
		}
		w.fleet[o.entry].PartReceived(o.assigned, now)
		w.fleet[o.entry].Release(o.assigned, Delivered{}, now)
	}
	w.open = remaining
}

func (w *fleetModel) exchange(now time.Time) {
	w.sequence++
	entryLoads := make([]EntryLoad, 0, len(w.fleet))
	for _, from := range w.fleet {
		entryLoads = append(entryLoads, EntryLoad{Entry: from.Name, Incarnation: 1, Sequence: w.sequence, Running: from.OwnRunning(), Demand: from.OwnDemands(now), At: now})
	}
	for i, to := range w.fleet {
		to.SetEntryLoads(slices.Concat(entryLoads[:i], entryLoads[i+1:]), now)
	}
}

// exchangeLimits passes each entry's own limits to all entries.
func (w *fleetModel) exchangeLimits(now time.Time) {
	for _, from := range w.fleet {
		reported := from.RecentOwnLimits(now)
		for _, to := range w.fleet {
			to.MergeLimits(reported)
		}
	}
}

func (w *fleetModel) sampleExcess() {
	n := map[string]int{}
	for _, o := range w.open {
		n[o.assigned.Endpoint.ID]++
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
	st := newState("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	listEndpoints(st, 4, "quotes")
	now := start
	_, _ = st.Choose(st.Table().Service("quotes"), placement.Query{}, now)
	loads := []EndpointLoad{{Address: "10.0.0.2:1", Slowdown: 6.3, At: now}}
	for _, i := range []int{0, 1, 3} {
		loads = append(loads, EndpointLoad{Address: fmt.Sprintf("10.0.0.%d:1", i), Slowdown: 1, At: now})
	}
	st.SetLoads(loads, now)
	for range 12 {
		assigned, e := st.Choose(st.Table().Service("quotes"), placement.Query{}, now)
		if e != nil {
			t.Fatal(e)
		}
		if assigned.Endpoint.ID == "e2" {
			t.Fatal("the slow engine got a request")
		}
	}
}

// fixedClock returns a clock that always reads now.
func fixedClock(now time.Time) func() time.Time { return func() time.Time { return now } }

func newAdmitRequest(id string, s *routing.Service, now time.Time) AdmitRequest {
	return AdmitRequest{Service: s, ID: id, Account: anonymousAccount, TargetLatency: 500 * time.Millisecond, FirstPartDeadline: now.Add(500 * time.Millisecond), Deadline: now.Add(8 * time.Second)}
}

// takeAllSlots assigns requests until all slots of a service are taken.
func takeAllSlots(t *testing.T, st *State, s *routing.Service, now time.Time) []Assignment {
	t.Helper()
	var out []Assignment
	for {
		assigned, e := st.Choose(s, placement.Query{}, now)
		if e != nil {
			return out
		}
		out = append(out, assigned)
	}
}

// All engines are full for a moment. Guards against the refusal of a request that can still meet
// its target in the slot of a stream that ends.
func TestRequestWaitsForASlot(t *testing.T) {
	st := newState("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	listEndpoints(st, 2, "quotes")
	s := st.Table().Service("quotes")
	held := takeAllSlots(t, st, s, start)
	if want := 2 * batch.MaxBatch(testEngine(), 120*time.Millisecond); len(held) != want {
		t.Fatalf("%d slots taken, want %d", len(held), want)
	}
	done := make(chan *result.Error, 1)
	go func() {
		_, e := st.Admit(context.Background(), newAdmitRequest("r1", s, start), fixedClock(start))
		done <- e
	}()
	for len(st.WaitingServices()) == 0 {
		time.Sleep(time.Millisecond)
	}
	st.Release(held[0], Delivered{}, start.Add(100*time.Millisecond))
	if e := <-done; e != nil {
		t.Fatalf("refused: %v", e)
	}
}

// Engines stay full until a queued request can no longer meet its target, nor be answered before
// the caller's deadline. Guards against a request that is held until that deadline instead of being
// refused with a Retry-After time.
func TestRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	st := newState("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	listEndpoints(st, 1, "quotes")
	s := st.Table().Service("quotes")
	takeAllSlots(t, st, s, start)
	began := time.Now()
	clock := func() time.Time { return start.Add(time.Since(began)) }
	_, e := st.Admit(context.Background(), newAdmitRequest("r1", s, start), clock)
	if e == nil || e.Code().Effect() != result.NotRun || e.RetryAfter() <= 0 {
		t.Fatalf("%v", e)
	}
	if n := len(st.WaitingServices()); n != 0 {
		t.Fatalf("%d services still have waiting requests", n)
	}
}

// Guards against requests that wait for a service without any endpoint, for which waiting is
// pointless.
func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	st := newState("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	st.EndpointsListed()
	_, e := st.Admit(context.Background(), newAdmitRequest("r1", st.Table().Service("quotes"), start), fixedClock(start))
	if e == nil || e.Code() != result.NoEndpoint {
		t.Fatalf("%v", e)
	}
}

// Guards against a slot that is lost when a caller disconnects while its request waits.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	st := newState("me", &routing.Service{Name: "quotes", Engine: testEngine()})
	listEndpoints(st, 1, "quotes")
	s := st.Table().Service("quotes")
	held := takeAllSlots(t, st, s, start)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, e := st.Admit(ctx, newAdmitRequest("r1", s, start), fixedClock(start)); e == nil {
		t.Fatal("placed")
	}
	st.Release(held[0], Delivered{}, start)
	if assigned, e := st.Choose(s, placement.Query{}, start); e != nil {
		t.Fatalf("the free slot is lost: %v", e)
	} else if assigned.Endpoint.ID == "" {
		t.Fatal("no endpoint")
	}
}

// A service has one endpoint left, and one in seven of its requests fails for reasons of its own.
// Guards against the exclusion of the endpoint after each failure, by which callers were refused
// although it had free slots.
func TestLastEndpointIsNotExcludedAfterOneFailure(t *testing.T) {
	st := newState("me", &routing.Service{Name: "orders"})
	listEndpoints(st, 1, "orders")
	s := st.Table().Service("orders")
	now := start
	for i := range 50 {
		now = now.Add(20 * time.Millisecond)
		assigned, e := st.Choose(s, placement.Query{}, now)
		if e != nil {
			t.Fatalf("request %d: %v", i, e)
		}
		if i%7 == 0 {
			st.Release(assigned, Failed{Answer: &BufferedAnswer{Status: 500}}, now)
			continue
		}
		st.Release(assigned, Delivered{}, now)
	}
	t.Run("repeated failures exclude the endpoint", func(t *testing.T) {
		assigned, _ := st.Choose(s, placement.Query{}, now)
		st.Release(assigned, Delivered{}, now)
		for range failureThreshold {
			assigned, e := st.Choose(s, placement.Query{}, now)
			if e != nil {
				t.Fatal(e)
			}
			st.Release(assigned, Failed{Answer: &BufferedAnswer{Status: 500}}, now)
		}
		if _, e := st.Choose(s, placement.Query{}, now); e == nil {
			t.Fatal("no backoff after repeated failures")
		}
	})
}
