package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// skewModel simulates entries of which one gets most requests for a while.
type skewModel struct {
	fleetModel

	service *routing.Service
	// limit is the rate, in requests per second, that each endpoint names, or 0 for none.
	limit float64
	// sent holds the times of requests by endpoint.
	sent map[string][]time.Time
	// asked and served count the requests before the skew, and those later than skewSettleTime
	// after its begin.
	askedBefore, servedBefore, askedDuring, servedDuring int
}

const (
	// skewSettleTime is the time after the begin of the skew from which on requests must be served
	// nearly as before.
	skewSettleTime = 3 * time.Second
	// skewShare is the part of all requests that one entry gets during the skew.
	skewShare = 0.9
)

func newSkewModel(entries, endpoints int, s *routing.Service, from time.Time) *skewModel {
	return &skewModel{fleetModel: newFleetModel(entries, endpoints, s, from), service: s, sent: map[string][]time.Time{}}
}

// arrive sends a request to entry i and reports whether it was assigned at once.
func (w *skewModel) arrive(i int, now time.Time, lasts time.Duration) bool {
	st := w.fleet[i]
	st.CountFirstAttempt(w.service.Name, now)
	assigned, e := st.Choose(w.service, placement.Query{Tokens: 900}, now)
	if e != nil {
		return false
	}
	id := assigned.Endpoint.ID
	w.sent[id] = append(w.sent[id], now)
	if w.limit > 0 {
		st.RecordLimit(assigned, w.limit, now)
	}
	w.open = append(w.open, openRequest{entry: i, assigned: assigned, until: now.Add(lasts)})
	return true
}

// chill has all endpoints cold from now on.
func (w *skewModel) chill(now time.Time) {
	for _, st := range w.fleet {
		st.UpdateDirectory(func(d *directory.Directory) {
			for i := range w.engines {
				d.ExtendColdStart(fmt.Sprintf("e%d", i), time.Minute, now)
			}
		})
	}
}

// run sends requests at the given rate a second, evenly for 8 s and then for 8 s most to one entry.
func (w *skewModel) run(rng *rand.Rand, from time.Time, rate float64, lasts time.Duration) {
	const before, during = 8 * time.Second, 8 * time.Second
	hot := rng.IntN(len(w.fleet))
	for ms := range int((before + during).Milliseconds()) {
		since := time.Duration(ms) * time.Millisecond
		now := from.Add(since)
		w.endExpired(now)
		if ms%(exchangePauseMs*len(w.fleet)) == 0 {
			w.exchange(now)
			w.exchangeLimits(now)
		}
		if rng.Float64() >= rate/1000 {
			continue
		}
		i := rng.IntN(len(w.fleet))
		if since >= before && rng.Float64() < skewShare {
			i = hot
		}
		served := w.arrive(i, now, lasts)
		switch {
		case since >= before+skewSettleTime:
			w.askedDuring++
			w.servedDuring += count(served)
		case since < before && since >= 3*time.Second:
			w.askedBefore++
			w.servedBefore += count(served)
		}
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// wantServed checks that the share of requests which are served at once does not fall below three
// quarters of what it was.
func (w *skewModel) wantServed(t *testing.T) {
	t.Helper()
	before := float64(w.servedBefore) / float64(w.askedBefore)
	during := float64(w.servedDuring) / float64(w.askedDuring)
	t.Logf("served at the first attempt: %.3f before, %.3f during", before, during)
	if during < 0.75*before {
		t.Errorf("served at the first attempt: %.3f before, %.3f while most requests go to one entry", before, during)
	}
}

// Most new connections go to one entry. Guards against an entry that refuses requests because what
// it may use of cold or limited endpoints is still shared out to the others.
func TestOneEntryGetsMostRequests(t *testing.T) {
	t.Parallel()
	engines := &routing.Service{Name: "quotes", Engine: testEngine()}
	for name, c := range map[string]struct {
		service            *routing.Service
		entries, endpoints int
		rate, limit        float64
		cold               bool
		lasts              time.Duration
		seeds              uint64
	}{
		"engines":               {service: engines, entries: 7, endpoints: 12, rate: 56, lasts: 700 * time.Millisecond, seeds: 4},
		"limited engines":       {service: engines, entries: 7, endpoints: 12, rate: 40, limit: 5, lasts: 700 * time.Millisecond, seeds: 4},
		"many limited engines":  {service: engines, entries: 36, endpoints: 64, rate: 200, limit: 5, lasts: 700 * time.Millisecond, seeds: 1},
		"cold engines":          {service: &routing.Service{Name: "quotes", Engine: testEngine(), ColdRate: 12}, entries: 7, endpoints: 12, rate: 56, cold: true, lasts: 700 * time.Millisecond, seeds: 4},
		"cold plain endpoints":  {service: &routing.Service{Name: "quotes", ColdRate: 12}, entries: 7, endpoints: 3, rate: 12, cold: true, lasts: 60 * time.Millisecond, seeds: 4},
		"limited plain service": {service: &routing.Service{Name: "quotes"}, entries: 9, endpoints: 3, rate: 8, limit: 4, lasts: 60 * time.Millisecond, seeds: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range c.seeds {
				from := start.Add(entryRetention + time.Second)
				w := newSkewModel(c.entries, c.endpoints, c.service, from)
				w.limit = c.limit
				if c.cold {
					w.chill(from)
				}
				w.run(rand.New(rand.NewPCG(seed, 7)), from, c.rate, c.lasts)
				w.wantServed(t)
				for id, at := range w.sent {
					if n, allowed := maxWithin(at, overrunSpan), overrunFactor*overrunSpan.Seconds()*c.limit+overrunBase; c.limit > 0 && float64(n) > allowed {
						t.Errorf("seed %d: %s got %d requests in %v, %.1f are allowed", seed, id, n, overrunSpan, allowed)
					}
					if n, allowed := maxWithin(at, time.Second), 1.5*c.service.ColdRate+5; c.cold && float64(n) > allowed {
						t.Errorf("seed %d: cold %s got %d requests in a second, %.1f are allowed", seed, id, n, allowed)
					}
				}
			}
		})
	}
}
