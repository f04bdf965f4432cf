package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// The bound on requests in any overrunSpan that an endpoint accepts from entries which know its
// limit: overrunFactor times the limit, and overrunBase more.
const (
	overrunSpan   = 4 * time.Second
	overrunFactor = 1.5
	overrunBase   = 5
	// informedGrace is the time after which an entry that has received a limit must comply with it.
	informedGrace = 500 * time.Millisecond
	// settleTime is the time after which all entries must comply with a limit that was reported
	// for the first time, and must have noticed its end.
	settleTime = 3 * time.Second
)

// limitModel simulates entries and endpoints, the first of which reports a limit for a while.
type limitModel struct {
	fleetModel

	perSecond   float64
	from, until time.Time
	// pendingHeaders are answers whose headers have not arrived yet.
	pendingHeaders []openRequest
	// informedAt is when an entry first received the limit from the endpoint. sentInformed holds
	// the times of requests to the endpoint from informed entries, sentAll of those from any entry,
	// and sentAfter counts the requests after the limit had ended.
	informedAt            map[int]time.Time
	sentInformed, sentAll []time.Time
	sentAfter             int
}

const (
	limitedEndpoint = "e0"
	// exchangePauseMs is the time between two messages of an entry, in ms per entry of the fleet.
	exchangePauseMs = 3
)

func newLimitModel(entries, endpoints int, perSecond float64, s *routing.Service, began time.Time) *limitModel {
	return &limitModel{fleetModel: newFleetModel(entries, endpoints, s, began), perSecond: perSecond, informedAt: map[int]time.Time{}}
}

// reportedLimit returns the limit that the endpoint reports at now, or -1.
func (w *limitModel) reportedLimit(now time.Time) float64 {
	if now.Before(w.from) || !now.Before(w.until) {
		return -1
	}
	return w.perSecond
}

// arrive assigns a request that arrives at entry i. The header of its answer arrives after
// headerAfter, and its end after endAfter.
func (w *limitModel) arrive(i int, now time.Time, headerAfter, endAfter time.Duration) {
	st := w.fleet[i]
	assigned, e := st.Choose(st.Table().Service("quotes"), placement.Query{Tokens: 900}, now)
	if e != nil {
		return
	}
	w.open = append(w.open, openRequest{entry: i, assigned: assigned, until: now.Add(endAfter)})
	w.pendingHeaders = append(w.pendingHeaders, openRequest{entry: i, assigned: assigned, until: now.Add(headerAfter)})
	if assigned.Endpoint.ID != limitedEndpoint {
		return
	}
	if !now.Before(w.until.Add(settleTime)) {
		w.sentAfter++
	}
	if now.Before(w.from.Add(settleTime)) || !now.Before(w.until) {
		return
	}
	w.sentAll = append(w.sentAll, now)
	if at, ok := w.informedAt[i]; ok && now.Sub(at) >= informedGrace {
		w.sentInformed = append(w.sentInformed, now)
	}
}

// deliverHeaders delivers the headers of answers that are due.
func (w *limitModel) deliverHeaders(now time.Time) {
	w.pendingHeaders = slices.DeleteFunc(w.pendingHeaders, func(o openRequest) bool {
		if now.Before(o.until) {
			return false
		}
		perSecond := -1.0
		if o.assigned.Endpoint.ID == limitedEndpoint {
			perSecond = w.reportedLimit(now)
		}
		w.fleet[o.entry].RecordLimit(o.assigned, perSecond, now)
		if _, ok := w.informedAt[o.entry]; !ok && perSecond >= 0 {
			w.informedAt[o.entry] = now
		}
		return true
	})
}

// run simulates requests that arrive at the given rate per second for the duration d.
func (w *limitModel) run(rng *rand.Rand, from time.Time, d time.Duration, rate float64, headerAfter, endAfter time.Duration) {
	for ms := range int(d.Milliseconds()) {
		now := from.Add(time.Duration(ms) * time.Millisecond)
		w.endExpired(now)
		w.deliverHeaders(now)
		if ms%(exchangePauseMs*len(w.fleet)) == 0 {
			w.exchange(now)
			w.exchangeLimits(now)
		}
		if rng.Float64() < rate/1000 {
			w.arrive(rng.IntN(len(w.fleet)), now, headerAfter, endAfter)
		}
	}
}

// An overloaded endpoint reports a limit well below its traffic for 20 s. Guards against entries
// that go on sending as before or that each use the whole limit, and against an endpoint that gets
// no requests afterwards.
func TestLimitOfAnEndpointIsKeptByAllEntriesTogether(t *testing.T) {
	t.Parallel()
	engines := &routing.Service{Name: "quotes", Engine: testEngine()}
	plain := &routing.Service{Name: "quotes"}
	for _, c := range []struct {
		service               *routing.Service
		entries, endpoints    int
		rate, perSecond       float64
		headerAfter, endAfter time.Duration
	}{
		{service: engines, entries: 7, endpoints: 12, rate: 40, perSecond: 1.2, headerAfter: 120 * time.Millisecond, endAfter: 700 * time.Millisecond},
		{service: engines, entries: 36, endpoints: 64, rate: 230, perSecond: 1.4, headerAfter: 120 * time.Millisecond, endAfter: 700 * time.Millisecond},
		{service: plain, entries: 8, endpoints: 3, rate: 10, perSecond: 1, headerAfter: 50 * time.Millisecond, endAfter: 60 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d entries", c.entries), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				from := start.Add(entryRetention + time.Second)
				w := newLimitModel(c.entries, c.endpoints, c.perSecond, c.service, from)
				w.from, w.until = from.Add(3*time.Second), from.Add(23*time.Second)
				w.run(rand.New(rand.NewPCG(seed, 5)), from, 34*time.Second, c.rate, c.headerAfter, c.endAfter)
				allowed := overrunFactor*overrunSpan.Seconds()*c.perSecond + overrunBase
				for _, at := range [][]time.Time{w.sentInformed, w.sentAll} {
					if n := maxWithin(at, overrunSpan); float64(n) > allowed {
						t.Errorf("%d entries, seed %d: %d requests in %v, %.1f are allowed", c.entries, seed, n, overrunSpan, allowed)
					}
				}
				if mean := c.rate / float64(c.endpoints) * 8; float64(w.sentAfter) < mean/2 {
					t.Errorf("%d entries, seed %d: %d requests in the 8 s after the limit, other endpoints get %.0f", c.entries, seed, w.sentAfter, mean)
				}
			}
		})
	}
}

// 36 entries know a limit, are idle for a while and then all have a request. Guards against each of
// them spending its saved share at the same moment.
func TestSavedSharesOfALimitDoNotComeAtOnce(t *testing.T) {
	const entries, perSecond, idle = 36, 1.2, 20 * time.Second
	from := start.Add(entryRetention + time.Second)
	w := newLimitModel(entries, 1, perSecond, &routing.Service{Name: "quotes"}, from)
	reported := []RateLimit{{Endpoint: limitedEndpoint, Incarnation: 1, PerSecond: perSecond, At: from}}
	sent := 0
	for _, now := range []time.Time{from, from.Add(idle)} {
		sent = 0
		for _, st := range w.fleet {
			st.MergeLimits(reported)
			if _, e := st.Choose(st.Table().Service("quotes"), placement.Query{}, now); e == nil {
				sent++
			}
		}
	}
	if allowed := overrunFactor*overrunSpan.Seconds()*perSecond + overrunBase; float64(sent) > allowed || sent == 0 {
		t.Errorf("%d requests at once, 1 to %.1f are allowed", sent, allowed)
	}
}

// An answer made before the endpoint reported a limit arrives after one that reports it. Guards
// against a limit that such an answer ends, and against one that a newer answer does not end.
func TestOlderAnswerDoesNotEndALimit(t *testing.T) {
	st := newState("me", &routing.Service{Name: "quotes"})
	listEndpoints(st, 1, "quotes")
	choose := func(now time.Time) Assignment {
		assigned, e := st.Choose(st.Table().Service("quotes"), placement.Query{}, now)
		if e != nil {
			t.Fatal(e)
		}
		return assigned
	}
	old, first := choose(start), choose(start)
	st.RecordLimit(first, 5, start.Add(time.Second))
	st.RecordLimit(old, -1, start.Add(2*time.Second))
	if n := st.LimitedEndpoints(start.Add(2 * time.Second)); n != 1 {
		t.Error("an older answer ended the limit")
	}
	next := old
	next.assignedAt = start.Add(3 * time.Second)
	st.RecordLimit(next, -1, start.Add(4*time.Second))
	if n := st.LimitedEndpoints(start.Add(4 * time.Second)); n != 0 {
		t.Error("the limit has not ended")
	}
}

// All endpoints report limits of which this entry has no share. Guards against a request that waits
// for a slot that it can't get.
func TestRequestWithoutAShareOfAnyLimitIsRefusedAtOnce(t *testing.T) {
	const entries = 36
	from := start.Add(entryRetention + time.Second)
	w := newLimitModel(entries, 1, 1, &routing.Service{Name: "quotes"}, from)
	refused := 0
	for _, st := range w.fleet {
		st.MergeLimits([]RateLimit{{Endpoint: limitedEndpoint, Incarnation: 1, PerSecond: 1, At: from}})
		_, e := st.Choose(st.Table().Service("quotes"), placement.Query{}, from)
		if e != nil && e.Code() == result.EndpointLimited {
			refused++
			if isTransient(e) || e.RetryAfter() <= 0 {
				t.Error("the refusal is transient or has no Retry-After time")
			}
		}
	}
	if want := entries - burstPerRate - burstBase; refused != want {
		t.Errorf("%d entries refuse, want %d", refused, want)
	}
}

// Guards against a limit so large that the number of its sharers overflows and no entry gets a
// share.
func TestHugeLimitIsSharedByAll(t *testing.T) {
	const entries = 36
	w := newLimitModel(entries, 1, 1, &routing.Service{Name: "quotes"}, start)
	for _, st := range w.fleet {
		if sharers := st.limitSharers(nil, RateLimit{Endpoint: limitedEndpoint, PerSecond: 1e300}); len(sharers) != entries || !slices.Contains(sharers, st.Name) {
			t.Fatalf("%d entries share the limit: %v", len(sharers), sharers)
		}
	}
}

// An endpoint that reports a limit is out of service, or its store entry lapses, for a moment. Guards
// against an entry that forgets the limit, and sends the endpoint a burst when it is back.
func TestLimitOutlivesALapsedEntry(t *testing.T) {
	for name, meanwhile := range map[string]func(st *State){
		"lapsed entry":               func(st *State) { lapse(st, start) },
		"data centre out of service": func(st *State) { takeOutAndBack(st, start) },
	} {
		t.Run(name, func(t *testing.T) {
			s := &routing.Service{Name: "quotes"}
			st := newState("me", s)
			listEndpoints(st, 3, s.Name)
			refresh(st, start)
			st.RecordLimit(assignedTo(unavailableEndpoint), 0.5, start)
			meanwhile(st)
			now := start.Add(time.Second)
			n := 0
			for _, id := range chooseSome(t, st, s, placement.Query{}, now) {
				if id == unavailableEndpoint {
					n++
				}
			}
			if n > 1 || st.LimitedEndpoints(now) != 1 {
				t.Errorf("%d requests to an endpoint that accepts one in two seconds, %d endpoints with a limit", n, st.LimitedEndpoints(now))
			}
		})
	}
}
