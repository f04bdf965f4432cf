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

// What an endpoint takes above the limit that it names, in any limitSpan, from the entries
// that it has told.
const (
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitMore   = 5
	// limitKnown is how long after passing on the limit an entry has to keep it.
	limitKnown = 500 * time.Millisecond
	// limitSettled is how long after it was first named a limit has to be kept.
	limitSettled = 3 * time.Second
)

// limitWorld is entries and endpoints of which the first names a limit for a while.
type limitWorld struct {
	fleetWorld

	perSecond   float64
	from, until time.Time
	// heads are answers on their way.
	heads []openRequest
	// told is when an entry first passed on the limit, and sent when the endpoint got a
	// request: from an entry that had been told, from any, and after the limit had ended.
	told      map[int]time.Time
	sent, all []time.Time
	after     int
}

const (
	limited = "e0"
	// tellPause is the time between two messages of an entry to the others, in ms for each
	// of them.
	tellPause = 3
)

func newLimitWorld(entries, endpoints int, perSecond float64, s *routing.Service, began time.Time) *limitWorld {
	w := &limitWorld{perSecond: perSecond, told: map[int]time.Time{}}
	for i := range entries {
		b := newBelief(fmt.Sprint("entry", i), s)
		list(b, endpoints, s.Name)
		for k := range entries {
			b.SetEntry(fmt.Sprint("entry", k), true, began)
		}
		w.fleet = append(w.fleet, b)
	}
	w.engines = endpoints
	return w
}

// names returns what the limited endpoint says in an answer, or -1.
func (w *limitWorld) names(now time.Time) float64 {
	if now.Before(w.from) || !now.Before(w.until) {
		return -1
	}
	return w.perSecond
}

// arrive has a request arrive at an entry, whose answer begins after a while and ends
// later.
func (w *limitWorld) arrive(i int, now time.Time, begins, lasts time.Duration) {
	b := w.fleet[i]
	p, e := b.Choose(b.Table().Service("quotes"), placement.Query{Tokens: 900}, now)
	if e != nil {
		return
	}
	w.open = append(w.open, openRequest{entry: i, place: p, until: now.Add(lasts)})
	w.heads = append(w.heads, openRequest{entry: i, place: p, until: now.Add(begins)})
	if p.Endpoint.ID != limited {
		return
	}
	if !now.Before(w.until.Add(limitSettled)) {
		w.after++
	}
	if now.Before(w.from.Add(limitSettled)) || !now.Before(w.until) {
		return
	}
	w.all = append(w.all, now)
	if at, ok := w.told[i]; ok && now.Sub(at) >= limitKnown {
		w.sent = append(w.sent, now)
	}
}

// begin has the heads of answers arrive that are due.
func (w *limitWorld) begin(now time.Time) {
	w.heads = slices.DeleteFunc(w.heads, func(o openRequest) bool {
		if now.Before(o.until) {
			return false
		}
		perSecond := -1.0
		if o.place.Endpoint.ID == limited {
			perSecond = w.names(now)
		}
		w.fleet[o.entry].Limited(o.place, perSecond, now)
		if _, ok := w.told[o.entry]; !ok && perSecond >= 0 {
			w.told[o.entry] = now
		}
		return true
	})
}

// run has requests arrive for a time, at a rate a second.
func (w *limitWorld) run(rng *rand.Rand, from time.Time, d time.Duration, rate float64, begins, lasts time.Duration) {
	for ms := range int(d.Milliseconds()) {
		now := from.Add(time.Duration(ms) * time.Millisecond)
		w.endDue(now)
		w.begin(now)
		if ms%(tellPause*len(w.fleet)) == 0 {
			w.exchange(now)
			w.tellLimits(now)
		}
		if rng.Float64() < rate/1000 {
			w.arrive(rng.IntN(len(w.fleet)), now, begins, lasts)
		}
	}
}

// tellLimits has all entries tell each other of limits.
func (w *limitWorld) tellLimits(now time.Time) {
	for _, from := range w.fleet {
		told := from.OwnLimits(now)
		for _, to := range w.fleet {
			to.HearLimits(told)
		}
	}
}

// An endpoint in need names a limit that is well below what it gets, for 20 s, and then no
// more. Guards against entries that go on sending as before, or keep the limit each for
// itself, and against an endpoint that is left alone afterwards.
func TestLimitOfAnEndpointIsKeptByAllEntriesTogether(t *testing.T) {
	engines := &routing.Service{Name: "quotes", Engine: engine()}
	plain := &routing.Service{Name: "quotes"}
	for _, c := range []struct {
		service            *routing.Service
		entries, endpoints int
		rate, perSecond    float64
		begins, lasts      time.Duration
	}{
		{service: engines, entries: 7, endpoints: 12, rate: 40, perSecond: 1.2, begins: 120 * time.Millisecond, lasts: 700 * time.Millisecond},
		{service: engines, entries: 36, endpoints: 64, rate: 230, perSecond: 1.4, begins: 120 * time.Millisecond, lasts: 700 * time.Millisecond},
		{service: plain, entries: 8, endpoints: 3, rate: 10, perSecond: 1, begins: 50 * time.Millisecond, lasts: 60 * time.Millisecond},
	} {
		for seed := range uint64(4) {
			from := start.Add(entriesMemory + time.Second)
			w := newLimitWorld(c.entries, c.endpoints, c.perSecond, c.service, from)
			w.from, w.until = from.Add(3*time.Second), from.Add(23*time.Second)
			w.run(rand.New(rand.NewPCG(seed, 5)), from, 34*time.Second, c.rate, c.begins, c.lasts)
			allowed := limitFactor*limitSpan.Seconds()*c.perSecond + limitMore
			for _, at := range [][]time.Time{w.sent, w.all} {
				if n := mostWithin(at, limitSpan); float64(n) > allowed {
					t.Errorf("%d entries, seed %d: %d requests in %v, %.1f are allowed", c.entries, seed, n, limitSpan, allowed)
				}
			}
			if mean := c.rate / float64(c.endpoints) * 8; float64(w.after) < mean/2 {
				t.Errorf("%d entries, seed %d: %d requests in the 8 s after it, the others get %.0f", c.entries, seed, w.after, mean)
			}
		}
	}
}

// All of 36 entries hear of a limit and have nothing to send for a while, and then all have.
// Guards against each of them spending at once what it has saved up.
func TestSavedSharesOfALimitDoNotComeAtOnce(t *testing.T) {
	const entries, perSecond, idle = 36, 1.2, 20 * time.Second
	from := start.Add(entriesMemory + time.Second)
	w := newLimitWorld(entries, 1, perSecond, &routing.Service{Name: "quotes"}, from)
	told := []Limit{{Endpoint: limited, Born: 1, PerSecond: perSecond, At: from}}
	sent := 0
	for _, now := range []time.Time{from, from.Add(idle)} {
		sent = 0
		for _, b := range w.fleet {
			b.HearLimits(told)
			if _, e := b.Choose(b.Table().Service("quotes"), placement.Query{}, now); e == nil {
				sent++
			}
		}
	}
	if allowed := limitFactor*limitSpan.Seconds()*perSecond + limitMore; float64(sent) > allowed || sent == 0 {
		t.Errorf("%d requests at once, 1 to %.1f are allowed", sent, allowed)
	}
}

// An answer that was made before the limit was named comes after one that names it. Guards
// against a limit that such an answer ends, and against one that nothing ends.
func TestOlderAnswerDoesNotEndALimit(t *testing.T) {
	b := newBelief("me", &routing.Service{Name: "quotes"})
	list(b, 1, "quotes")
	choose := func(now time.Time) Place {
		p, e := b.Choose(b.Table().Service("quotes"), placement.Query{}, now)
		if e != nil {
			t.Fatal(e)
		}
		return p
	}
	old, first := choose(start), choose(start)
	b.Limited(first, 5, start.Add(time.Second))
	b.Limited(old, -1, start.Add(2*time.Second))
	if n := b.LimitedEndpoints(start.Add(2 * time.Second)); n != 1 {
		t.Error("an older answer ended the limit")
	}
	next := old
	next.given = start.Add(3 * time.Second)
	b.Limited(next, -1, start.Add(4*time.Second))
	if n := b.LimitedEndpoints(start.Add(4 * time.Second)); n != 0 {
		t.Error("the limit has not ended")
	}
}

// All endpoints name limits of which this entry has no share. Guards against a request that
// waits for a place that it can't get.
func TestRequestWithoutAShareOfAnyLimitIsRefusedAtOnce(t *testing.T) {
	const entries = 36
	from := start.Add(entriesMemory + time.Second)
	w := newLimitWorld(entries, 1, 1, &routing.Service{Name: "quotes"}, from)
	refused := 0
	for _, b := range w.fleet {
		b.HearLimits([]Limit{{Endpoint: limited, Born: 1, PerSecond: 1, At: from}})
		_, e := b.Choose(b.Table().Service("quotes"), placement.Query{}, from)
		if e != nil && e.Code() == result.EndpointLimited {
			refused++
			if passes(e) || e.RetryAfter() <= 0 {
				t.Error("it may wait, or is not told when to come back")
			}
		}
	}
	if want := entries - savedEach - savedMore; refused != want {
		t.Errorf("%d entries refuse, want %d", refused, want)
	}
}

// Guards against a limit beyond all numbers of requests that leaves the endpoint to nobody.
func TestHugeLimitIsSharedByAll(t *testing.T) {
	const entries = 36
	w := newLimitWorld(entries, 1, 1, &routing.Service{Name: "quotes"}, start)
	for _, b := range w.fleet {
		if n, mine := b.limitSharers(Limit{Endpoint: limited, PerSecond: 1e300}); n != entries || !mine {
			t.Fatalf("%d share it, this one %v", n, mine)
		}
	}
}
