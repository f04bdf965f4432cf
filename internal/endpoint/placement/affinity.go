package placement

import (
	"slices"
	"time"
)

const (
	// ringPoints is how many points each endpoint has on the ring.
	ringPoints = 16
	// ringSteps is how many endpoints are tried along the ring.
	ringSteps = 4
	// affineSample is how many endpoints the mean is estimated from.
	affineSample = 8
)

// ring is a consistent hashing ring.
type ring struct {
	points []point
	stale  bool
}

type point struct {
	hash uint64
	e    *endpoint
}

// build makes the ring of the local endpoints, or of all when none is local.
func (g *ring) build(endpoints []*endpoint) {
	g.stale = false
	g.points = g.points[:0]
	local := slices.ContainsFunc(endpoints, func(e *endpoint) bool { return e.local })
	for _, e := range endpoints {
		if local && !e.local {
			continue
		}
		for i := range uint64(ringPoints) {
			g.points = append(g.points, point{mix(e.hash + i), e})
		}
	}
	slices.SortFunc(g.points, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
}

// find returns the position of the first point at or after h.
func (g *ring) find(h uint64) int {
	lo, hi := 0, len(g.points)
	for lo < hi {
		mid := int(uint(lo+hi) / 2)
		if g.points[mid].hash < h {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// affine returns the endpoint that keeps the query's prefix, or nil when there
// is no prefix or the next endpoints on the ring are too loaded. The harm on
// one side is a prompt computed again at an endpoint that has not cached it,
// on the other a popular prefix that overloads one endpoint; the bound settles
// between them.
func (p *Picture) affine(s *routeSet, q *Query, now time.Time) *endpoint {
	if q.Prefix == 0 {
		return nil
	}
	if s.ring.stale {
		s.ring.build(s.endpoints)
	}
	points := s.ring.points
	if len(points) == 0 {
		return nil
	}
	bound := p.AffineBound * p.meanPressure(s, q, now)
	at := s.ring.find(mix(q.Prefix))
	var last *endpoint
	for steps := 0; steps < ringSteps; at++ {
		e := points[at%len(points)].e
		if e == last {
			steps++
			continue
		}
		last = e
		steps++
		if p.state(e, s, now) != eligible || tried(q, e) || e.slowness(s, now) >= slowFrom {
			continue
		}
		if p.pressure(e, s, q, now) <= bound {
			return e
		}
	}
	return nil
}

// meanPressure estimates the mean over the endpoints that can be chosen.
func (p *Picture) meanPressure(s *routeSet, q *Query, now time.Time) float64 {
	var sum, n float64
	for range affineSample {
		e := s.endpoints[p.next()%uint64(len(s.endpoints))]
		if e.unavailable() {
			continue
		}
		sum += p.pressure(e, s, q, now)
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / n
}
