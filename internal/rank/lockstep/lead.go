package lockstep

import (
	"slices"
	"time"
)

const (
	// initialLeadBase and initialLeadPerRank give the expected time from the
	// hold of a change to its release while none has been measured: the four
	// round trips of hold, arms and release, and for each rank the processing
	// time of the leader, which has a quarter of a core.
	initialLeadBase    = 10 * time.Millisecond
	initialLeadPerRank = 2 * time.Millisecond
	// leadSamples is how many recent changes the estimate uses. leadOutliers is
	// how many of them may have taken longer than the estimate: a rank that
	// loses orders makes an occasional change take ten times as long, which
	// must not delay the following ones.
	leadSamples  = 10
	leadOutliers = 2
)

// leadEstimator estimates the lead time of a hold: how long before the held step
// is due the hold has to be ordered, so that all ranks are armed by then.
//
// Groups have 16 to 128 ranks and steps of 50 to 100 ms. Arming 16 ranks takes
// some 20 ms and 72 ranks more than 100 ms. A group that reaches the held step
// before all ranks are armed waits until the release, and every running stream
// has a pause that its caller does not tolerate. If the hold is ordered much
// too far ahead, the map follows each jump of expert popularity a step later
// than it could.
type leadEstimator struct {
	samples []time.Duration
	// holdOrderedAt is when the hold of the current change was ordered, or
	// zero. change is what is known of that change.
	holdOrderedAt time.Time
	change        Change
}

// Change is the timing of a change of maps, from its hold to its release.
type Change struct {
	// Step is the step that was held. StepsAhead is how many steps in advance
	// it was held.
	Step, StepsAhead uint64
	// ExpectedDuration is the estimated and Duration the measured duration of
	// the change. StepDuration is the estimated duration of a step before the
	// change.
	ExpectedDuration, Duration, StepDuration time.Duration
}

// begin records that a hold was ordered.
func (l *leadEstimator) begin(c Change, now time.Time) { l.holdOrderedAt, l.change = now, c }

// end records that the held step was released with all ranks armed.
func (l *leadEstimator) end(now time.Time) {
	if l.holdOrderedAt.IsZero() {
		return
	}
	l.change.Duration = now.Sub(l.holdOrderedAt)
	l.samples = append(l.samples, l.change.Duration)
	if len(l.samples) > leadSamples {
		l.samples = l.samples[1:]
	}
	l.holdOrderedAt = time.Time{}
}

// cancel records that the current change will not be released.
func (l *leadEstimator) cancel() { l.holdOrderedAt, l.change = time.Time{}, Change{} }

// estimate returns the expected duration of a change of the given number of
// ranks.
func (l *leadEstimator) estimate(ranks int) time.Duration {
	if len(l.samples) == 0 {
		return initialLeadBase + time.Duration(ranks)*initialLeadPerRank
	}
	sorted := slices.Sorted(slices.Values(l.samples))
	return sorted[max(0, len(sorted)-1-leadOutliers)]
}

// stepsAhead returns how many steps after the newest observed step the held
// step has to be if the change takes as long as expected, at most
// maxStepsAhead. The observed step may be about to end, so it does not count.
func stepsAhead(expected, stepDuration time.Duration) uint64 {
	stepDuration = max(stepDuration, time.Millisecond)
	n := 1 + (expected+stepDuration-1)/stepDuration
	return uint64(min(n, maxStepsAhead))
}
