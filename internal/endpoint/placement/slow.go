package placement

import (
	"math"
	"time"
)

const (
	// slowMost bounds how little a slow endpoint is given: a tenth, not
	// nothing, so that its recovery is seen.
	slowMost = 10
	// slowFrom is the slowness from which an endpoint gets no affine requests
	// and is probed when it has no work.
	slowFrom = 2
	// patience is how many typical times to the first piece an attempt may be
	// silent before the endpoint counts as slower.
	patience = 3
	// leastSilence is the least silence, in seconds, that makes an endpoint
	// count as slower. Healthy streams pause for up to 150 ms between events,
	// however soon their first one came.
	leastSilence = 0.25
	// leastTypical is the typical time, in seconds, below which endpoints are
	// not told apart: answers that take some milliseconds more because a VM was
	// busy are not noticed by callers.
	leastTypical = 0.02
	// firstPieceStep smooths the time to the first piece while it rises and
	// recoveryStep while it falls: a slow endpoint gets few requests, so few
	// must be enough to see that it has recovered.
	firstPieceStep = 0.2
	recoveryStep   = 0.5
	// mostProbeDoublings bounds how far probes of an endpoint that stays slow
	// are spaced out: to sixteen times ProbeEvery.
	mostProbeDoublings = 4
	// typicalStep moves the route's typical time by this part for each sample.
	typicalStep = 0.02
)

// observe takes in a time to the first piece.
func (e *endpoint) observe(s float64, a *Attempt) {
	if a.set != nil {
		a.set.observe(s)
	}
	if a.incarnation != e.incarnation {
		return
	}
	if e.firstPiece == 0 {
		e.firstPiece = s
		return
	}
	step := firstPieceStep
	if s < e.firstPiece {
		step = recoveryStep
	}
	e.firstPiece += step * (s - e.firstPiece)
	if a.set != nil && s < slowFrom*a.set.typical {
		e.probes = 0
	}
}

// observe moves the route's median time to the first piece. A median is not
// moved by the slow endpoint that it has to show.
func (s *routeSet) observe(seconds float64) {
	switch {
	case s.typical == 0:
		s.typical = seconds
	case seconds > s.typical:
		s.typical *= 1 + typicalStep
	default:
		s.typical /= 1 + typicalStep
	}
}

// slowness returns by what factor the endpoint is slower than is typical for
// the route, between 1 and slowMost. The load is one endpoint that stalls or
// slows down while it still accepts work: it has few completions and so looks
// free. The age of the longest silent attempt shows a stall before any late
// answer does.
func (e *endpoint) slowness(s *routeSet, now time.Time) float64 {
	if s.typical <= 0 {
		return 1
	}
	f := e.firstPiece / math.Max(s.typical, leastTypical)
	if a := e.attempts.first; a != nil {
		silent := now.Sub(a.heard).Seconds()
		f = math.Max(f, silent/math.Max(patience*s.typical, leastSilence))
	}
	return math.Min(math.Max(f, 1), slowMost)
}

// bears returns how many streams the endpoint is given at the most. The load
// is a group that is nearly full: its one slow endpoint has the only free
// places, and a request that is put there ends later than one that waits for a
// place elsewhere. So a slow endpoint is full at its part of the allowance, at
// least one stream.
func (e *endpoint) bears(s *routeSet, now time.Time) float64 {
	allowance := float64(e.allowance)
	slow := e.slowness(s, now)
	if slow < slowFrom {
		return allowance
	}
	return math.Min(allowance, math.Max(1, allowance/slow))
}
