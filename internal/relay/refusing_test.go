package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// refusalModel simulates one entry of several, and endpoints the first of which turn all requests
// away while they are down.
type refusalModel struct {
	st       *State
	service  *routing.Service
	down     int
	open     []openRequest
	refused  int
	assigned map[string]int
	sequence uint64
}

func newRefusalModel(s *routing.Service, endpoints, down int) *refusalModel {
	w := &refusalModel{st: newState("me", s), service: s, down: down, assigned: map[string]int{}}
	listEndpoints(w.st, endpoints, s.Name)
	return w
}

// run simulates requests at the given rate per second, each of which lasts 300 ms.
func (w *refusalModel) run(rng *rand.Rand, from time.Time, d time.Duration, rate float64) {
	for ms := range int(d.Milliseconds()) {
		now := from.Add(time.Duration(ms) * time.Millisecond)
		w.endExpired(now)
		if ms%20 == 0 {
			w.reportOther(now)
		}
		if rng.Float64() >= rate/1000 {
			continue
		}
		assigned, e := w.st.Choose(w.service, placement.Query{}, now)
		if e != nil {
			continue
		}
		w.assigned[assigned.Endpoint.ID]++
		if w.isDown(assigned.Endpoint.ID) {
			w.refused++
			w.st.Release(assigned, NotRun{Sent: true, Code: result.EndpointBusy}, now.Add(2*time.Millisecond))
			continue
		}
		w.open = append(w.open, openRequest{assigned: assigned, until: now.Add(300 * time.Millisecond)})
	}
}

// reportOther delivers another entry's report, whose requests come and go at each endpoint.
func (w *refusalModel) reportOther(now time.Time) {
	w.sequence++
	running := map[string]int{}
	for id := range w.st.endpoints {
		running[id] = int(w.sequence % 2)
	}
	w.st.SetEntryLoads([]EntryLoad{{Entry: "other", Sequence: w.sequence, Running: running, At: now}}, now)
}

func (w *refusalModel) isDown(id string) bool {
	for i := range w.down {
		if id == fmt.Sprintf("e%d", i) {
			return true
		}
	}
	return false
}

func (w *refusalModel) endExpired(now time.Time) {
	remaining := w.open[:0]
	for _, o := range w.open {
		if now.Before(o.until) {
			remaining = append(remaining, o)
			continue
		}
		w.st.PartReceived(o.assigned, now)
		w.st.Release(o.assigned, Delivered{}, now)
	}
	w.open = remaining
}

// Four of twelve endpoints turn all requests away for ten seconds, without asking for a rest.
// Guards against an entry that sends them a third of its requests, or more, because they have no
// load, and against one that does not return to them.
func TestEndpointsThatTurnAllAwayGetFewRequests(t *testing.T) {
	const endpoints, down, rate, lasts = 12, 4, 40.0, 10 * time.Second
	for kind, s := range map[string]*routing.Service{"plain": {Name: "quotes"}, "engine": {Name: "quotes", Engine: testEngine()}} {
		t.Run(kind, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			w := newRefusalModel(s, endpoints, down)
			w.run(rng, start, lasts, rate)
			// Each endpoint refuses three requests in the first second and then one each two seconds.
			if most := down * 8; w.refused > most {
				t.Errorf("%d requests were sent to endpoints that refuse them, want at most %d", w.refused, most)
			}
			w.down, w.assigned = 0, map[string]int{}
			w.run(rng, start.Add(lasts+maxRefusingPause), 2*time.Second, rate)
			for i := range down {
				if n := w.assigned[fmt.Sprintf("e%d", i)]; n == 0 {
					t.Errorf("endpoint %d is not used after it has recovered", i)
				}
			}
		})
	}
}

// All endpoints of a service are full, or their group is closed. Guards against requests that are
// refused as if there were no endpoint, and against a first request after it that comes late.
func TestServiceThatRefusesAsAWholeIsTriedOn(t *testing.T) {
	s := &routing.Service{Name: "quotes"}
	w := newRefusalModel(s, 3, 3)
	rng := rand.New(rand.NewPCG(1, 2))
	w.run(rng, start, time.Second, 100)
	before := w.refused
	w.run(rng, start.Add(time.Second), time.Second, 100)
	if n := w.refused - before; n < 10 {
		t.Errorf("%d requests in a second try whether the service has recovered", n)
	}
	busy := newRefusalModel(s, 1, 1)
	busy.run(rng, start, 40*time.Millisecond, 1000)
	_, e := busy.st.Choose(s, placement.Query{}, start.Add(50*time.Millisecond))
	wantCode(t, e, result.EndpointBusy)
}

// An endpoint was full when a burst arrived. Guards against a pause for each of its requests.
func TestRefusedBurstCountsOnce(t *testing.T) {
	var s refusalStreaks
	for range 10 {
		s.record("e0", start, start.Add(5*time.Millisecond))
	}
	if n := s.byEndpoint["e0"].refusals; n != 1 {
		t.Errorf("%d refusals in a row", n)
	}
}
