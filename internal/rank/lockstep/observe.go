package lockstep

import "time"

// settled reports whether all looks, or those of which seen is true, show the
// ranks as they were after they had seen the leader's token.
//
// Guard: an engine that is asked from another VM reports what it was some hundred
// milliseconds ago. In that time its last leader may have disarmed it, or armed
// it, before it was fenced; a successor that goes by the old report would let a
// step go for which not all ranks are armed alike. Once the report is of after the
// fence, only this leader's orders can have changed the rank since.
func (l *Leader) settled(ranks []State, seen []bool) bool {
	for i, r := range ranks {
		if (seen == nil || seen[i]) && !r.AsOf.After(l.fenced[i]) {
			return false
		}
	}
	return true
}

// agree reports whether all ranks are of one open group.
func (l *Leader) agree(ranks []State) bool {
	for i, r := range ranks {
		if !r.Open || r.Epoch != ranks[0].Epoch || r.Rank != i || r.Size != len(ranks) {
			return false
		}
	}
	return len(ranks) > 0
}

// observe follows epoch, versions and the length of steps.
func (l *Leader) observe(ranks []State, now time.Time) {
	l.enter(ranks[0].Epoch, len(ranks))
	for _, r := range ranks {
		l.newest = max(l.newest, r.Map, r.Prepared)
		if r.Armed != nil {
			l.newest = max(l.newest, r.Armed.Version)
		}
	}
	if l.goal != nil && allUse(ranks, l.goal.Version) {
		l.inForce, l.goal = l.goal, nil
	}
	l.followSteps(ranks[0].Step, now)
}

// enter begins an epoch of n ranks, unless it is the present one.
func (l *Leader) enter(epoch uint64, n int) {
	if epoch != l.epoch {
		l.epoch = epoch
		l.goal, l.undo, l.heldSince, l.flush, l.inForce, l.own, l.went = nil, false, time.Time{}, 0, nil, 0, 0
		l.fenced = nil
		l.lastSeen = time.Time{}
		l.lead.cancel()
	}
	if l.fenced == nil {
		l.fenced = make([]time.Time, n)
	}
}

// slowerPart is the part of a step that lasted longer than the estimate which
// joins it.
const slowerPart = 8

// followSteps measures how long a step lasts, over steps that were not held. The
// estimate falls at once and rises slowly: a group without work makes no steps, and
// a hold that counts on such long ones comes too late when work is there.
func (l *Leader) followSteps(step uint64, now time.Time) {
	if !l.lastSeen.IsZero() && step > l.lastStep && l.heldSince.IsZero() {
		d := now.Sub(l.lastSeen) / time.Duration(step-l.lastStep)
		if l.stepTime == 0 || d < l.stepTime {
			l.stepTime = d
		} else {
			l.stepTime += (d - l.stepTime) / slowerPart
		}
	}
	if step != l.lastStep || l.lastSeen.IsZero() {
		l.lastStep, l.lastSeen = step, now
	}
}

func allUse(ranks []State, version uint64) bool {
	for _, r := range ranks {
		if r.Map != version || r.Armed != nil {
			return false
		}
	}
	return true
}

// holding is a held step and the rank that holds it.
type holding struct {
	rank int
	step uint64
}

// held returns the lowest held step. A late hold may leave two; each is let go
// in its turn.
func (l *Leader) held(ranks []State) (holding, bool) {
	out, found := holding{}, false
	for i, r := range ranks {
		if r.Held != nil && (!found || *r.Held < out.step) {
			out, found = holding{rank: i, step: *r.Held}, true
		}
	}
	return out, found
}

// armedOf returns how many ranks are armed and whether for one map and step.
func armedOf(ranks []State) (n int, same bool) {
	same = true
	var first *Arming
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

func (l *Leader) newestStep(ranks []State) uint64 {
	top := uint64(0)
	for _, r := range ranks {
		top = max(top, r.Step)
	}
	return top
}
