package lockstep

import (
	"slices"
	"time"
)

const (
	// leadBase and leadEach are what a change is expected to take from its hold
	// until it is let go, as long as none has been seen: the four round trips of
	// hold, arms and go, and for each rank the work of its leader, which has a
	// quarter of a core.
	leadBase = 10 * time.Millisecond
	leadEach = 2 * time.Millisecond
	// leadsKept is how many changes a lead is learnt from, and leadRank how many
	// of them may have taken longer: a rank that loses orders makes one change
	// in some take ten times as long, and those after it shall not wait for it.
	leadsKept = 10
	leadRank  = 2
)

// lead learns how long before its beginning a step has to be held so that all
// ranks are armed by then.
//
// Load: groups of 16 to 128 ranks, in passes of 50 to 100 ms. Arming 16 of them
// takes some 20 ms and 72 more than 100 ms. Harm prevented: a group that reaches
// the held step first stands until the go, and every stream that runs has a pause
// which its caller does not bear; with a hold that comes far too early, each jump
// of popularity is followed a pass later than it could be.
type lead struct {
	took []time.Duration
	// heldAt is when the hold was ordered that is under way, or zero, and change
	// what is known of it.
	heldAt time.Time
	change Change
}

// Change is how a change of maps went, from its hold until it was let go.
type Change struct {
	// Step is the step that was held, Ahead by how many it came ahead.
	Step, Ahead uint64
	// Expected is how long the change was expected to take, Took how long it
	// took, and StepTime how long a step lasted before.
	Expected, Took, StepTime time.Duration
}

// begin notes that a step was ordered to be held.
func (l *lead) begin(c Change, now time.Time) { l.heldAt, l.change = now, c }

// end notes that the held step was let go with all ranks armed.
func (l *lead) end(now time.Time) {
	if l.heldAt.IsZero() {
		return
	}
	l.change.Took = now.Sub(l.heldAt)
	l.took = append(l.took, l.change.Took)
	if len(l.took) > leadsKept {
		l.took = l.took[1:]
	}
	l.heldAt = time.Time{}
}

// cancel notes that the change under way will not be let go.
func (l *lead) cancel() { l.heldAt, l.change = time.Time{}, Change{} }

// time returns how long a change of so many ranks is expected to take.
func (l *lead) time(ranks int) time.Duration {
	if len(l.took) == 0 {
		return leadBase + time.Duration(ranks)*leadEach
	}
	sorted := slices.Sorted(slices.Values(l.took))
	return sorted[max(0, len(sorted)-1-leadRank)]
}

// stepsAhead returns by how many steps a hold has to come ahead of the newest step
// that was seen, if the change takes as long as expected. That one may be about to
// end, so it does not count.
func stepsAhead(expected, stepTime time.Duration) uint64 {
	stepTime = max(stepTime, time.Millisecond)
	n := 1 + (expected+stepTime-1)/stepTime
	return uint64(min(n, mostAhead))
}
