package lockstep

import "time"

// reportsFollowFence reports whether the reports describe the ranks after they
// had seen the leader's token. It checks all ranks if observed is nil, otherwise
// those for which it is true.
//
// It guards against stale reports. An engine queried from another VM reports
// its state of some hundred milliseconds ago. During that time the previous
// leader may have disarmed or armed it before it was fenced; a successor that
// relied on the old report would release a step for which not all ranks are
// armed alike. Once the report was made after the fence, only orders of this
// leader can have changed the rank since.
func (l *Leader) reportsFollowFence(ranks []State, observed []bool) bool {
	for i, r := range ranks {
		if isObserved(observed, i) && !r.AsOf.After(l.fencedAt[i]) {
			return false
		}
	}
	return true
}

// isObserved reports whether rank i was observed. A nil slice stands for all ranks.
func isObserved(observed []bool, i int) bool { return observed == nil || observed[i] }

// sameAcceptingGroup reports whether ranks lists every rank of a group by its
// number, all in one epoch and accepting requests.
func (l *Leader) sameAcceptingGroup(ranks []State) bool {
	for i, r := range ranks {
		if !r.Accepting || r.Epoch != ranks[0].Epoch || r.Rank != i || r.Size != len(ranks) {
			return false
		}
	}
	return len(ranks) > 0
}

// observe updates the epoch, the versions and the step duration from the
// reports.
func (l *Leader) observe(ranks []State, now time.Time) {
	l.enterEpoch(ranks[0].Epoch, len(ranks))
	for _, r := range ranks {
		l.newestVersion = max(l.newestVersion, r.Map, r.Prepared)
		if r.Armed != nil {
			l.newestVersion = max(l.newestVersion, r.Armed.Version)
		}
	}
	l.observeArms(ranks)
	if l.goal != nil && allInForce(ranks, l.goal.Version) {
		l.inForce, l.goal = l.goal, nil
	}
	l.updateStepDuration(ranks[0].Step, now)
}

// enterEpoch resets the state for an epoch of n ranks, unless that epoch is the
// current one.
func (l *Leader) enterEpoch(epoch uint64, n int) {
	if epoch != l.epoch {
		l.epoch = epoch
		l.goal, l.aborting, l.heldSince, l.noopVersion, l.inForce, l.holdStep, l.releasedStep = nil, false, time.Time{}, 0, nil, 0, 0
		l.fencedAt = nil
		l.arms = nil
		l.lastStepAt = time.Time{}
		l.leadTime.cancel()
	}
	if l.fencedAt == nil {
		l.fencedAt = make([]time.Time, n)
	}
}

// stepRiseDivisor slows the rise of the estimated step duration: after a step
// that lasted longer, the estimate rises by the difference divided by
// stepRiseDivisor.
const stepRiseDivisor = 8

// updateStepDuration measures the duration of steps that were not held. The
// estimate falls at once and rises slowly: an idle group makes no steps, and a
// hold based on such long steps would arrive too late when requests arrive.
func (l *Leader) updateStepDuration(step uint64, now time.Time) {
	if !l.lastStepAt.IsZero() && step > l.lastStep && l.heldSince.IsZero() {
		d := now.Sub(l.lastStepAt) / time.Duration(step-l.lastStep)
		if l.stepDuration == 0 || d < l.stepDuration {
			l.stepDuration = d
		} else {
			l.stepDuration += (d - l.stepDuration) / stepRiseDivisor
		}
	}
	if step != l.lastStep || l.lastStepAt.IsZero() {
		l.lastStep, l.lastStepAt = step, now
	}
}

func allInForce(ranks []State, version uint64) bool {
	for _, r := range ranks {
		if r.Map != version || r.Armed != nil {
			return false
		}
	}
	return true
}

// heldStep is a held step and the rank that holds it.
type heldStep struct {
	rank int
	step uint64
}

// lowestHeld returns the lowest held step. A delayed hold may leave two held
// steps; each is released in turn.
func (l *Leader) lowestHeld(ranks []State) (heldStep, bool) {
	out, found := heldStep{}, false
	for i, r := range ranks {
		if r.Held != nil && (!found || *r.Held < out.step) {
			out, found = heldStep{rank: i, step: *r.Held}, true
		}
	}
	return out, found
}

// countArmed returns the number of armed ranks and whether all of them are
// armed for the same map and step.
func countArmed(ranks []State) (n int, same bool) {
	same = true
	var first *ArmedMap
	for _, r := range ranks {
		if r.Armed == nil {
			continue
		}
		n++
		if first == nil {
			first = r.Armed
		}
		same = same && *r.Armed == *first
	}
	return n, same
}

func (l *Leader) latestStep(ranks []State) uint64 {
	latest := uint64(0)
	for _, r := range ranks {
		latest = max(latest, r.Step)
	}
	return latest
}
