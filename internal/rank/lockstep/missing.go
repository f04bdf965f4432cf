package lockstep

import "time"

// armState is what the leader knows of a rank's arm for the change in progress from the orders that
// it has given.
type armState int

const (
	// armNotOrdered means that the rank was given no order to arm; it is not armed.
	armNotOrdered armState = iota
	// armInDoubt means that no reply showed whether the rank is armed.
	armInDoubt
	// armDone means that the rank replied that it is armed.
	armDone
)

// armRecord is the knowledge of one rank's arm for a version and a step.
type armRecord struct {
	arm   Arm
	state armState
}

// noteArmOrdered records that an order to arm a rank is about to be given.
func (l *Leader) noteArmOrdered(rank int, arm Arm) {
	if l.arms == nil {
		l.arms = map[int]armRecord{}
	}
	if r := l.arms[rank]; r.arm == arm && r.state == armDone {
		return
	}
	l.arms[rank] = armRecord{arm: arm, state: armInDoubt}
}

// recordArm records the outcome of an order to arm a rank.
func (l *Leader) recordArm(rank int, arm Arm, o Outcome) {
	if r, ok := l.arms[rank]; ok && r.arm == arm && o == Done {
		l.arms[rank] = armRecord{arm: arm, state: armDone}
	}
}

// observeArms records the ranks that are armed for the goal.
func (l *Leader) observeArms(ranks []State) {
	if l.goal == nil || l.aborting {
		return
	}
	goal := ArmedMap{Version: l.goal.Version, Step: l.holdStep}
	for i, r := range ranks {
		if r.Armed != nil && *r.Armed == goal {
			l.noteArmOrdered(i, Arm{Version: goal.Version, Step: goal.Step})
			l.recordArm(i, Arm{Version: goal.Version, Step: goal.Step}, Done)
		}
	}
}

// armOf returns what is known of a rank's arm for the last goal.
func (l *Leader) armOf(rank int) armState {
	r, ok := l.arms[rank]
	switch {
	case !ok:
		return armNotOrdered
	case l.goal != nil && r.arm == (Arm{Version: l.goal.Version, Step: l.holdStep}) && r.state == armDone:
		return armDone
	default:
		return armInDoubt
	}
}

// armOfMissing returns what is known of the arms of all ranks that were not observed, which is in
// doubt unless it is the same for all.
func (l *Leader) armOfMissing(observed []bool) armState {
	known, first := armInDoubt, true
	for i, ok := range observed {
		switch {
		case ok:
			continue
		case first:
			known, first = l.armOf(i), false
		case known != l.armOf(i):
			return armInDoubt
		}
	}
	return known
}

// EndOwnHold returns the orders that end a hold of this leader while some ranks cannot be observed.
// The slice ranks holds the states of the ranks for which observed is true.
//
// It guards against a VM that freezes or is cut off while a step is held for a change: its engine
// goes on with the group, nobody can see whether it is armed, and all callers of the group would
// wait until the VM is back. No earlier leader can change a rank that has seen this leader's token,
// so the orders that this leader gave tell as much as an observation, unless one of them was not
// answered. If all ranks that are missing replied that they are armed, the change is completed. If
// none of them was ordered to arm, the change is aborted on the others: a missing rank stays
// unarmed, because nobody will order it to arm for this version. In all other cases the step stays
// held until the ranks are observed.
func (l *Leader) EndOwnHold(ranks []State, observed []bool, now time.Time) []AddressedOrder {
	if l.deposed || !l.ownsHold(ranks, observed) {
		return nil
	}
	held, isHeld := l.lowestHeld(ranks)
	if !isHeld || held.step != l.holdStep {
		return nil
	}
	if l.releasedStep == held.step {
		return releaseStep(ranks, held)
	}
	switch known := l.armOfMissing(observed); {
	case known == armDone && !l.aborting:
		return l.completeObserved(ranks, observed, held)
	case known == armNotOrdered:
		l.aborting = true
		l.leadTime.cancel()
		return l.abortStep(ranks, observed, held, now)
	default:
		return nil
	}
}

// ownsHold reports whether the leader has held a step for a change and all observed ranks are in
// the group and have seen its token.
func (l *Leader) ownsHold(ranks []State, observed []bool) bool {
	if l.holdStep == 0 || l.goal == nil && l.noopVersion == 0 || len(l.fencedAt) != len(ranks) {
		return false
	}
	for i, r := range ranks {
		if l.fencedAt[i].IsZero() {
			return false
		}
		if observed[i] && !(r.Accepting && r.Epoch == l.epoch && r.Rank == i && r.Size == len(ranks)) {
			return false
		}
	}
	return true
}

// completeObserved arms the observed ranks for the goal and then releases the step.
func (l *Leader) completeObserved(ranks []State, observed []bool, h heldStep) []AddressedOrder {
	goal := ArmedMap{Version: l.goal.Version, Step: h.step}
	armed := true
	for i, r := range ranks {
		switch {
		case !observed[i] || r.Armed != nil && *r.Armed == goal:
			continue
		case r.Armed != nil || !r.HasPrepared || r.Prepared != goal.Version:
			return nil
		}
		armed = false
	}
	if !armed {
		return l.armNext(ranks, observed, h)
	}
	l.releasedStep = h.step
	return releaseStep(ranks, h)
}
