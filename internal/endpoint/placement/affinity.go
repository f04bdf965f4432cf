package placement

import (
	"slices"
	"time"
)

const (
	// virtualNodes is the number of points that each endpoint has on the ring.
	virtualNodes = 16
	// maxRingCandidates is the number of consecutive points on the ring whose
	// endpoints are considered for a prefix.
	maxRingCandidates = 4
	// meanSampleSize is the number of endpoints from which the mean load score
	// is estimated.
	meanSampleSize = 8
)

// ring is a consistent hash ring.
type ring struct {
	points []point
	stale  bool
}

// point is a virtual node on the ring.
type point struct {
	hash uint64
	e    *endpoint
}

// build places the local endpoints on the ring, or all endpoints if none is
// local.
func (r *ring) build(endpoints []*endpoint) {
	r.stale = false
	r.points = r.points[:0]
	local := slices.ContainsFunc(endpoints, func(e *endpoint) bool { return e.local })
	for _, e := range endpoints {
		if local && !e.local {
			continue
		}
		for i := range uint64(virtualNodes) {
			r.points = append(r.points, point{mix64(e.hash + i), e})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
}

// successor returns the index of the first point at or after h, or
// len(r.points) if there is none.
func (r *ring) successor(h uint64) int {
	lo, hi := 0, len(r.points)
	for lo < hi {
		mid := int(uint(lo+hi) / 2)
		if r.points[mid].hash < h {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// affinityEndpoint returns the endpoint on the ring for the prefix of the
// query. It returns nil if the query has no prefix, or if none of the next
// endpoints on the ring can be selected, isn't slow, and has a load score of at
// most AffinityBound times the mean.
//
// An endpoint that hasn't cached the prefix must compute it again, whereas a
// popular prefix can overload the one endpoint that has; AffinityBound is the
// compromise between both.
func (b *Balancer) affinityEndpoint(rt *route, q *Query, now time.Time) *endpoint {
	if q.Prefix == 0 {
		return nil
	}
	if rt.ring.stale {
		rt.ring.build(rt.endpoints)
	}
	points := rt.ring.points
	if len(points) == 0 {
		return nil
	}
	maxScore := b.AffinityBound * b.meanLoadScore(rt, q, now)
	pos := rt.ring.successor(mix64(q.Prefix))
	var previous *endpoint
	for candidates := 0; candidates < maxRingCandidates; pos++ {
		e := points[pos%len(points)].e
		if e == previous {
			candidates++
			continue
		}
		previous = e
		candidates++
		if b.state(e, rt, now) != eligible || isExcluded(q, e) || e.slowdown(rt, now) >= slowThreshold {
			continue
		}
		if b.loadScore(e, rt, q, now) <= maxScore {
			return e
		}
	}
	return nil
}

// meanLoadScore estimates the mean load score of the available endpoints from a
// random sample. It returns 1 if the sample contains none.
func (b *Balancer) meanLoadScore(rt *route, q *Query, now time.Time) float64 {
	var sum, n float64
	for range meanSampleSize {
		e := rt.endpoints[b.nextRandom()%uint64(len(rt.endpoints))]
		if e.unavailable() {
			continue
		}
		sum += b.loadScore(e, rt, q, now)
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / n
}
