package placement

import (
	"math"
	"time"
)

const (
	// maxSlowdown bounds the slowdown factor, so that a slow endpoint still
	// gets a tenth of its normal load and its recovery is noticed.
	maxSlowdown = 10
	// slowThreshold is the slowdown from which an endpoint is slow: it gets no
	// requests by prefix affinity, it counts as full below its allowance, and
	// it is probed when it has no load.
	slowThreshold = 2
	// silenceFactor is the number of median latencies for which an attempt may
	// be silent before its endpoint counts as slower.
	silenceFactor = 3
	// minSilence is the minimum silence, in seconds, after which an endpoint
	// counts as slower. Healthy streams pause for up to 150 ms between events,
	// however soon the first one arrived.
	minSilence = 0.25
	// minMedianLatency is the lower bound, in seconds, of the median with which
	// latencies are compared: callers don't notice a few milliseconds that a
	// busy VM adds.
	minMedianLatency = 0.02
	// latencySmoothing is the smoothing factor of the latency while it rises,
	// and recoverySmoothing the one while it falls. The latter is larger
	// because a slow endpoint gets few requests, which must be enough to notice
	// its recovery.
	latencySmoothing  = 0.2
	recoverySmoothing = 0.5
	// maxProbeDoublings bounds the interval between probes of an endpoint that
	// stays slow to 16 times ProbeInterval.
	maxProbeDoublings = 4
	// medianStep is the relative change of the median latency of a route with
	// each sample.
	medianStep = 0.02
)

// observeLatency records the time, in seconds, to the first part of the
// response to a.
func (e *endpoint) observeLatency(seconds float64, a *Attempt) {
	if a.route != nil {
		a.route.observeLatency(seconds)
	}
	if a.incarnation != e.incarnation {
		return
	}
	if e.latency == 0 {
		e.latency = seconds
		return
	}
	smoothing := latencySmoothing
	if seconds < e.latency {
		smoothing = recoverySmoothing
	}
	e.latency += smoothing * (seconds - e.latency)
	if a.route != nil && seconds < slowThreshold*a.route.medianLatency {
		e.probes = 0
	}
}

// observeLatency updates the running median of the latency. A median is used
// because the slow endpoint that it has to reveal hardly affects it.
func (rt *route) observeLatency(seconds float64) {
	switch {
	case rt.medianLatency == 0:
		rt.medianLatency = seconds
	case seconds > rt.medianLatency:
		rt.medianLatency *= 1 + medianStep
	default:
		rt.medianLatency /= 1 + medianStep
	}
}

// slowdown returns the factor by which the endpoint is slower than the median
// of the route, between 1 and maxSlowdown. It detects an endpoint that stalls
// or slows down while it still accepts requests; such an endpoint completes few
// requests and has low reported load. The silence of the attempt that has been
// silent for longest reveals a stall before any late response does.
func (e *endpoint) slowdown(rt *route, now time.Time) float64 {
	if rt.medianLatency <= 0 {
		return 1
	}
	factor := e.latency / math.Max(rt.medianLatency, minMedianLatency)
	if a := e.attempts.first; a != nil {
		silence := now.Sub(a.lastProgress).Seconds()
		factor = math.Max(factor, silence/math.Max(silenceFactor*rt.medianLatency, minSilence))
	}
	return math.Min(math.Max(factor, 1), maxSlowdown)
}

// streamLimit returns how many streams are placed on the endpoint at most. In a
// group that is nearly full, a slow endpoint has the only free slots, and a
// request that is placed there ends later than one that waits for a slot
// elsewhere. So the limit of a slow endpoint is its allowance divided by its
// slowdown, but not less than one stream.
func (e *endpoint) streamLimit(rt *route, now time.Time) float64 {
	allowance := float64(e.allowance)
	slowdown := e.slowdown(rt, now)
	if slowdown < slowThreshold {
		return allowance
	}
	return math.Min(allowance, math.Max(1, allowance/slowdown))
}
