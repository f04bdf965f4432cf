package placement

import (
	"math"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// routeSet is the endpoints that serve one route.
type routeSet struct {
	endpoints []*endpoint
	ring      ring
	// typical is the median time to the first piece in seconds.
	typical float64
}

func (s *routeSet) add(e *endpoint) {
	s.endpoints = append(s.endpoints, e)
	s.ring.stale = true
}

func (s *routeSet) drop(e *endpoint) {
	if i := slices.Index(s.endpoints, e); i >= 0 {
		s.endpoints = slices.Delete(s.endpoints, i, i+1)
	}
	s.ring.stale = true
}

// tokenWeight is the weight of promised tokens against open streams. A stream
// holds a place in the engine's batch however short it is; its tokens say for
// how long, and so tell endpoints apart that have equally many. A larger weight
// sent requests to endpoints with more streams and met more refusals.
const tokenWeight = 0.1

// leastRamp is the part of the load that a returning endpoint gets at first.
const leastRamp = 0.1

// pressure returns the committed work of e after taking the query on, as a
// part of what e can bear; lower is better.
func (p *Picture) pressure(e *endpoint, s *routeSet, q *Query, now time.Time) float64 {
	streams := e.streams() + 1
	tokens := e.otherTokens + float64(e.ownTokens+q.Tokens)
	bears := float64(e.capacity)
	if e.cold {
		bears = float64(max(1, e.allowance))
	}
	if !e.fresh(now, p.StaleAfter) {
		streams = math.Max(streams, unknownLoad*bears)
	}
	x := (streams + tokenWeight*tokens/p.tokens) / (bears * p.ramp(e, now))
	x *= e.slowness(s, now)
	if !e.local {
		x += p.Spill
	}
	return x
}

// unknownLoad is the load assumed of an endpoint whose report is not recent,
// as a part of what it bears.
const unknownLoad = 0.9

// ramp returns the part of its load that a returning endpoint is given yet.
// The load is a data centre that returns at the peak: all its endpoints look
// empty at once, and without the ramp all entries would send them everything,
// with empty caches, in the first moment.
func (p *Picture) ramp(e *endpoint, now time.Time) float64 {
	back := now.Sub(e.returned)
	if back >= p.SlowStart {
		return 1
	}
	return math.Max(leastRamp, back.Seconds()/p.SlowStart.Seconds())
}

// Choose returns the endpoint for one attempt. When ok is false, the code says
// why there is none: EndpointBusy and EndpointCold pass with time, the others
// need an endpoint to come into service. It allocates nothing.
func (p *Picture) Choose(q Query, now time.Time) (c Choice, ok bool, why result.Code) {
	s := p.routes[q.Route]
	if s == nil || len(s.endpoints) == 0 {
		return Choice{}, false, result.NoEndpoint
	}
	if e := p.affine(s, &q, now); e != nil {
		return p.chosen(e, true, false, now), true, result.OK
	}
	e, probe := p.draw(s, &q, now)
	if e != nil {
		return p.chosen(e, false, probe, now), true, result.OK
	}
	e, best := p.scan(s, &q, now)
	if e != nil {
		return p.chosen(e, false, false, now), true, result.OK
	}
	return Choice{}, false, reasons[best]
}

func (p *Picture) chosen(e *endpoint, affine, probe bool, now time.Time) Choice {
	e.chosen = now
	if probe {
		e.probes++
	}
	return Choice{
		Endpoint: e.name, Incarnation: e.incarnation, DataCentre: e.dataCentre,
		Affine: affine, Probe: probe,
	}
}

// draw compares a few endpoints drawn at random.
func (p *Picture) draw(s *routeSet, q *Query, now time.Time) (best *endpoint, probe bool) {
	least := math.Inf(1)
	n := uint64(len(s.endpoints))
	for range p.Draws {
		e := s.endpoints[p.next()%n]
		if p.state(e, s, now) != eligible || tried(q, e) {
			continue
		}
		if p.wantsProbe(e, s, q, now) {
			return e, true
		}
		if x := p.pressure(e, s, q, now); x < least {
			best, least = e, x
		}
	}
	return best, false
}

// wantsProbe reports whether a slow endpoint without work is due to be tried.
// Without it an endpoint that was slow once would look slow for ever, because
// it gets no work that could show its recovery. Each probe makes a caller wait
// if the endpoint is still slow, so they come ever more seldom.
func (p *Picture) wantsProbe(e *endpoint, s *routeSet, q *Query, now time.Time) bool {
	gap := p.ProbeEvery << min(e.probes, mostProbeDoublings)
	if q.RunOnce || e.own > 0 || now.Sub(e.chosen) < gap {
		return false
	}
	return e.slowness(s, now) >= slowFrom
}

// scan looks at all endpoints after the draws have found none, and otherwise
// returns the most hopeful reason.
func (p *Picture) scan(s *routeSet, q *Query, now time.Time) (best *endpoint, why int) {
	least := math.Inf(1)
	for _, e := range s.endpoints {
		if tried(q, e) {
			continue
		}
		st := p.state(e, s, now)
		if st != eligible {
			why = max(why, st)
			continue
		}
		if x := p.pressure(e, s, q, now); x < least {
			best, least = e, x
		}
	}
	return best, why
}

func tried(q *Query, e *endpoint) bool {
	return len(q.Tried) > 0 && slices.Contains(q.Tried, e.name)
}
