package placement

import (
	"math"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// route holds the endpoints that serve one route.
type route struct {
	endpoints []*endpoint
	ring      ring
	// medianLatency is the running median of the time to the first part of a
	// response, in seconds.
	medianLatency float64
}

func (rt *route) add(e *endpoint) {
	rt.endpoints = append(rt.endpoints, e)
	rt.ring.stale = true
}

func (rt *route) remove(e *endpoint) {
	if i := slices.Index(rt.endpoints, e); i >= 0 {
		rt.endpoints = slices.Delete(rt.endpoints, i, i+1)
	}
	rt.ring.stale = true
}

// tokenWeight is the weight of committed tokens relative to open streams. Each
// stream occupies a slot of the engine's batch regardless of its length, so
// streams determine the load; tokens, which determine for how long a slot is
// occupied, distinguish endpoints with equally many streams. Larger weights
// sent requests to endpoints with more streams and caused more refusals.
const tokenWeight = 0.1

// minSlowStartFraction is the fraction of its capacity that an endpoint gets at
// the beginning of its slow start.
const minSlowStartFraction = 0.1

// loadScore returns the load of e with the query added, relative to its
// capacity; lower is better. Slow endpoints, endpoints in slow start and
// endpoints of other data centres get higher scores.
func (b *Balancer) loadScore(e *endpoint, rt *route, q *Query, now time.Time) float64 {
	streams := e.streams() + 1
	tokens := e.otherTokens + float64(e.ownTokens+q.Tokens)
	capacity := float64(e.capacity)
	if e.cold {
		capacity = float64(max(1, e.allowance))
	}
	if !e.hasRecentReport(now, b.StaleAfter) {
		streams = math.Max(streams, unknownLoad*capacity)
	}
	streams += b.readingScore(e, q, now)
	score := (streams + tokenWeight*tokens/b.meanTokens) / (capacity * b.slowStartFraction(e, now))
	score *= e.slowdown(rt, now)
	if !e.local {
		score += b.RemotePenalty
	}
	return score
}

// unknownLoad is the minimum load that is assumed for an endpoint without a
// recent report, as a fraction of its capacity.
const unknownLoad = 0.9

// slowStartFraction returns the fraction of its capacity that an endpoint gets
// in its slow start, and 1 after it. When a data centre comes back at peak
// load, all its endpoints look idle at once; without the slow start, all
// entries would immediately send them all requests, while their caches are
// empty.
func (b *Balancer) slowStartFraction(e *endpoint, now time.Time) float64 {
	elapsed := now.Sub(e.availableSince)
	if elapsed >= b.SlowStart {
		return 1
	}
	return math.Max(minSlowStartFraction, elapsed.Seconds()/b.SlowStart.Seconds())
}

// Choose returns the endpoint for one attempt. If ok is false, why is the
// reason that none could be selected: EndpointBusy and EndpointCold are
// temporary, the other codes last until an endpoint comes into service. Choose
// doesn't allocate.
func (b *Balancer) Choose(q Query, now time.Time) (c Choice, ok bool, why result.Code) {
	rt := b.routes[q.Route]
	if rt == nil || len(rt.endpoints) == 0 {
		return Choice{}, false, result.NoEndpoint
	}
	if e := b.affinityEndpoint(rt, &q, now); e != nil {
		return b.recordChoice(e, true, false, now), true, result.OK
	}
	e, probe := b.sample(rt, &q, now)
	if e != nil {
		return b.recordChoice(e, false, probe, now), true, result.OK
	}
	e, reason := b.scan(rt, &q, now, b.state)
	if e == nil {
		e, _ = b.scan(rt, &q, now, b.lastResortState)
	}
	if e != nil {
		return b.recordChoice(e, false, false, now), true, result.OK
	}
	return Choice{}, false, rejectionCodes[reason]
}

// ChooseBeyond is Choose for an attempt that may be placed on an endpoint which is full, but has less than extra
// streams above its limit. It is meant for few attempts that must not wait for the free slots that others wait
// for too.
func (b *Balancer) ChooseBeyond(q Query, extra int, now time.Time) (c Choice, ok bool) {
	rt := b.routes[q.Route]
	if rt == nil {
		return Choice{}, false
	}
	e, _ := b.scan(rt, &q, now, func(e *endpoint, rt *route, now time.Time) int {
		st := b.state(e, rt, now)
		if st == busy && b.isWithin(e, rt, extra, now) {
			return eligible
		}
		return st
	})
	if e == nil {
		return Choice{}, false
	}
	return b.recordChoice(e, false, false, now), true
}

// isWithin reports whether an endpoint is known to have less than extra streams above its limit, and would
// otherwise be eligible.
func (b *Balancer) isWithin(e *endpoint, rt *route, extra int, now time.Time) bool {
	switch {
	case now.Before(e.ejectedUntil), now.Before(e.backoffUntil):
		return false
	case !e.hasRecentReport(now, b.StaleAfter), e.cold:
		return false
	default:
		return e.streams() < e.streamLimit(rt, now)+float64(extra)
	}
}

// recordChoice records that e was selected and returns the Choice.
func (b *Balancer) recordChoice(e *endpoint, byAffinity, probe bool, now time.Time) Choice {
	e.lastChosen = now
	if probe {
		e.probes++
	}
	return Choice{
		Endpoint: e.name, Incarnation: e.incarnation, DataCentre: e.dataCentre,
		ByAffinity: byAffinity, Probe: probe,
	}
}

// sample returns the endpoint with the lowest load score among b.Samples random
// ones, or nil if none of them can be selected. It returns a slow endpoint,
// with probe set, as soon as it finds one that is due to be probed.
func (b *Balancer) sample(rt *route, q *Query, now time.Time) (lowest *endpoint, probe bool) {
	lowestScore := math.Inf(1)
	n := uint64(len(rt.endpoints))
	for range b.Samples {
		e := rt.endpoints[b.nextRandom()%n]
		if b.state(e, rt, now) != eligible || isExcluded(q, e) {
			continue
		}
		if b.probeDue(e, rt, q, now) {
			return e, true
		}
		if score := b.loadScore(e, rt, q, now); score < lowestScore {
			lowest, lowestScore = e, score
		}
	}
	return lowest, false
}

// probeDue reports whether e is slow, has no load from this entry and is due to
// be probed. An endpoint that was slow once would otherwise be considered slow
// for ever, because it gets no requests that could show its recovery. Probes
// become less frequent as long as the endpoint stays slow, because each of them
// delays a caller.
func (b *Balancer) probeDue(e *endpoint, rt *route, q *Query, now time.Time) bool {
	interval := b.ProbeInterval << min(e.probes, maxProbeDoublings)
	if q.RunOnce || e.ownStreams > 0 || now.Sub(e.lastChosen) < interval {
		return false
	}
	return e.slowdown(rt, now) >= slowThreshold
}

// scan returns the endpoint with the lowest load score among all endpoints, for
// when sample finds none. If no endpoint can be selected by its state, it returns
// the index in rejectionCodes of the reason that is most likely to pass.
func (b *Balancer) scan(rt *route, q *Query, now time.Time, state func(*endpoint, *route, time.Time) int) (lowest *endpoint, why int) {
	lowestScore := math.Inf(1)
	for _, e := range rt.endpoints {
		if isExcluded(q, e) {
			continue
		}
		st := state(e, rt, now)
		if st != eligible {
			why = max(why, st)
			continue
		}
		if score := b.loadScore(e, rt, q, now); score < lowestScore {
			lowest, lowestScore = e, score
		}
	}
	return lowest, why
}

// isExcluded reports whether q excludes e.
func isExcluded(q *Query, e *endpoint) bool {
	return len(q.Excluded) > 0 && slices.Contains(q.Excluded, e.name)
}
