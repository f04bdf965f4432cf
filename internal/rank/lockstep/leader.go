package lockstep

import (
	"time"
)

const (
	// armTimeout is how long a step may be held for ranks to be armed before
	// the leader aborts the change. Arming takes a few milliseconds; each
	// further millisecond stalls all streams of the group, whose callers
	// tolerate a pause of 120 ms.
	armTimeout = 400 * time.Millisecond
	// rejectionTimeout is how long a rank may reject orders to prepare a map or
	// a no-op version before the leader uses another version. A copy takes
	// 100 ms, during which a repeated order is rejected as well.
	rejectionTimeout = 300 * time.Millisecond
	// maxStepsAhead limits how many steps in advance a step is held.
	// maxExtraSteps limits how many steps are added to that after holds that
	// arrived too late.
	maxStepsAhead = 12
	maxExtraSteps = 4
)

// Goal is a map that is to be put in force, or is in force. Sets[s][r] lists
// the experts of layer set s on rank r.
type Goal struct {
	Version uint64
	Sets    [][][]int
}

// Leader decides the orders for one group. Set the exported fields before the
// first call. It is not safe for concurrent use.
type Leader struct {
	// OwnRank is the rank on the leader's VM. HoldRank is the rank to which
	// hold orders are sent. They differ in a group of more than one rank; see
	// RecoverHeldStep.
	OwnRank, HoldRank int
	// Predecessor is the previous leader, or nil when it is not known.
	Predecessor *Predecessor
	// Token is the leader's fencing token, which increases with each leader.
	Token uint64

	goal *Goal
	// prepareRejected reports whether a rank has rejected an order to prepare
	// the goal or the no-op version; rejectedSince is when that was first
	// observed.
	prepareRejected bool
	rejectedSince   time.Time
	// aborting reports whether the held step is being aborted.
	aborting bool
	// holdStep is the step that this leader ordered to be held for its goal.
	// extraSteps is how many steps further ahead a hold has to be ordered
	// because earlier ones arrived too late.
	holdStep, extraSteps uint64
	// heldSince is when the held step was first observed.
	heldSince time.Time
	// noopVersion is the version with the content of the map in force that all
	// ranks prepare before an aborted step is released.
	noopVersion uint64
	// newestVersion is the largest version observed or used.
	newestVersion uint64
	epoch         uint64
	// leadTime estimates how long before the held step is due its hold has to
	// be ordered.
	leadTime leadEstimator
	// stepDuration is the estimated duration of a step.
	stepDuration time.Duration
	lastStep     uint64
	lastStepAt   time.Time
	// releasedStep is the step for which the release was ordered with all ranks
	// armed.
	releasedStep uint64
	// inForce is the map in force, or nil when it is not known.
	inForce *Goal
	// fencedAt is when each rank was first known to have seen the leader's
	// token; zero means not yet.
	fencedAt []time.Time
	// arms holds what is known of the orders to arm ranks for the last goal, by rank.
	arms    map[int]armRecord
	deposed bool
}

// versionCounterBits is the number of low bits of a version that count the maps
// of one leader; the bits above them are its token.
const versionCounterBits = 20

// nextVersion returns a version that no leader has used.
//
// It guards against the reuse of a version. A rank that is still copying a map
// of an earlier leader does not report its version yet. If versions were
// counted on from the reported ones, the next version would be the same number
// for another map: the rank would reject it, report the number as prepared when
// its copy is complete, and be armed with a map that the others do not have.
// Versions therefore begin with the leader's token.
func (l *Leader) nextVersion() uint64 {
	l.prepareRejected, l.rejectedSince = false, time.Time{}
	l.newestVersion = max(l.newestVersion, l.Token<<versionCounterBits) + 1
	return l.newestVersion
}

// Propose sets the next map and returns its version. It returns false while
// another change is pending.
func (l *Leader) Propose(sets [][][]int) (uint64, bool) {
	if l.goal != nil {
		return 0, false
	}
	l.goal = &Goal{Version: l.nextVersion(), Sets: sets}
	l.arms = map[int]armRecord{}
	return l.goal.Version, true
}

// Busy reports whether a change is in progress or a step is held.
func (l *Leader) Busy() bool { return l.goal != nil || !l.heldSince.IsZero() }

// Holding reports whether a step was held when all ranks were last observed
// together.
func (l *Leader) Holding() bool { return !l.heldSince.IsZero() }

// SetInForce sets the map in force, which the leader must know to abort a step.
func (l *Leader) SetInForce(version uint64, sets [][][]int) {
	l.inForce = &Goal{Version: version, Sets: sets}
}

// HeldFor returns for how long a step has been held, or 0 if no rank holds one.
func (l *Leader) HeldFor(ranks []State, now time.Time) time.Duration {
	if _, held := l.lowestHeld(ranks); !held || !l.Holding() {
		return 0
	}
	return now.Sub(l.heldSince)
}

// BlockingRanks returns the ranks that prevent a held step from being released:
// those that are armed, or have not prepared the no-op version.
func (l *Leader) BlockingRanks(ranks []State) []int {
	var out []int
	for i, r := range ranks {
		if r.Armed != nil || !r.HasPrepared || r.Prepared != l.noopVersion {
			out = append(out, i)
		}
	}
	return out
}

// InForce returns the map in force, or nil when it is not known.
func (l *Leader) InForce() *Goal { return l.inForce }

// RecordOutcome records the outcome of an order. The outcome Fenced deposes the
// leader.
func (l *Leader) RecordOutcome(ao AddressedOrder, o Outcome, now time.Time) {
	if o == Fenced {
		l.deposed = true
	}
	if p, ok := ao.Order.(Prepare); ok && o == Rejected && p.Version == l.newestVersion {
		l.prepareRejected = true
	}
	switch order := ao.Order.(type) {
	case Arm:
		l.recordArm(ao.Rank, order, o)
	case Hold:
		l.recordHold(o)
	case Release:
		l.recordRelease(o, now)
	}
	if o != Unknown && ao.Epoch == l.epoch && ao.Rank < len(l.fencedAt) && l.fencedAt[ao.Rank].IsZero() {
		l.fencedAt[ao.Rank] = now
	}
}

// recordHold adjusts extraSteps after a hold that arrived after its step had
// begun.
//
// This matters in a large group, where observing all ranks takes as long as
// half a step. Without the adjustment each subsequent hold arrived too late as
// well and cost a step; four in a row were observed, during which the group
// kept its old map for 0.4 s.
func (l *Leader) recordHold(o Outcome) {
	switch o {
	case Rejected:
		l.extraSteps = min(l.extraSteps+1, maxExtraSteps)
	case Accepted, Done:
		l.extraSteps = 0
	}
}

// recordRelease records how long a change took, measured from its hold.
func (l *Leader) recordRelease(o Outcome, now time.Time) {
	if o == Accepted || o == Done {
		l.leadTime.end(now)
	}
}

// TakeChange returns the timing of the last change that was released with all
// ranks armed. It returns each change once.
func (l *Leader) TakeChange() (Change, bool) {
	c := l.leadTime.change
	if !l.leadTime.holdOrderedAt.IsZero() || c.Duration == 0 {
		return Change{}, false
	}
	l.leadTime.change = Change{}
	return c, true
}

// Deposed reports whether a rank has seen the token of a newer leader.
func (l *Leader) Deposed() bool { return l.deposed }

// NextOrders returns the orders to send now. The slice ranks holds the state of
// every rank by its number, all observed just now, after every earlier order
// was answered or its call timed out. A rank that cannot be observed may be
// armed; for that case see RecoverHeldStep. If begin is false, NextOrders only
// completes what is held or armed, because a leader that is about to stop must
// not leave the group held.
func (l *Leader) NextOrders(ranks []State, begin bool, now time.Time) []AddressedOrder {
	if l.deposed || !l.sameAcceptingGroup(ranks) {
		return nil
	}
	l.observe(ranks, now)
	if out := l.fence(ranks, nil); len(out) > 0 {
		return out
	}
	if !l.reportsFollowFence(ranks, nil) {
		return nil
	}
	held, isHeld := l.lowestHeld(ranks)
	armed, same := countArmed(ranks)
	if !isHeld {
		l.heldSince, l.aborting, l.noopVersion = time.Time{}, false, 0
		if !begin {
			return nil
		}
		return l.prepareAndHold(ranks, armed, now)
	}
	if l.heldSince.IsZero() {
		l.heldSince = now
	}
	switch {
	case armed == len(ranks) && same && !l.aborting, l.releasedStep == held.step && l.releasedStep != 0:
		l.releasedStep = held.step
		return releaseStep(ranks, held)
	case l.aborting || l.mustAbort(ranks, armed, same, held, now):
		l.aborting = true
		l.leadTime.cancel()
		return l.abortStep(ranks, nil, held, now)
	default:
		return l.armNext(ranks, nil, held)
	}
}

// fence returns the orders that present the leader's token to the ranks that
// have not seen it, among all ranks if observed is nil, otherwise among those
// for which it is true. A decision requires an observation made after the last
// of these orders, so no other order is sent along with them.
func (l *Leader) fence(ranks []State, observed []bool) []AddressedOrder {
	var out []AddressedOrder
	for i := range ranks {
		if l.fencedAt[i].IsZero() && isObserved(observed, i) {
			out = append(out, newAddressedOrder(ranks, i, Fence{}))
		}
	}
	return out
}

// newAddressedOrder returns an order for rank i, valid for the state in which
// the rank was observed.
func newAddressedOrder(ranks []State, i int, o Order) AddressedOrder {
	return AddressedOrder{Rank: i, Epoch: ranks[i].Epoch, Sequence: ranks[i].Sequence, Order: o}
}

// prepareAndHold works towards the goal while no step is held: it prepares the
// goal on all ranks and then orders a hold.
func (l *Leader) prepareAndHold(ranks []State, armed int, now time.Time) []AddressedOrder {
	if l.goal == nil || armed > 0 {
		return nil
	}
	if l.prepareStalled(now) {
		l.goal = nil
		return nil
	}
	var out []AddressedOrder
	ready := true
	for i, r := range ranks {
		if r.HasPrepared && r.Prepared == l.goal.Version {
			continue
		}
		ready = false
		if r.Map > l.goal.Version || r.HasPrepared && r.Prepared > l.goal.Version {
			// Another leader's version has superseded the goal.
			l.goal = nil
			return nil
		}
		if !r.Busy {
			out = append(out, newAddressedOrder(ranks, i, Prepare{Version: l.goal.Version, Sets: l.goal.Sets}))
		}
	}
	if !ready {
		return out
	}
	expected := l.leadTime.estimate(len(ranks))
	ahead := l.extraSteps + stepsAhead(expected, l.stepDuration)
	step := l.latestStep(ranks) + ahead
	l.holdStep = step
	l.leadTime.begin(Change{Step: step, StepsAhead: ahead, ExpectedDuration: expected, StepDuration: l.stepDuration}, now)
	return []AddressedOrder{newAddressedOrder(ranks, l.HoldRank, Hold{Step: step})}
}

// targetVersion returns the version for which the step is held: that of the
// armed ranks, or else that of the goal.
func (l *Leader) targetVersion(ranks []State, armed int) (uint64, bool) {
	if armed > 0 {
		for _, r := range ranks {
			if r.Armed != nil {
				return r.Armed.Version, true
			}
		}
	}
	if l.goal == nil {
		return 0, false
	}
	return l.goal.Version, true
}

// armNext returns the orders that arm the next ranks, among all ranks if observed
// is nil, otherwise among those for which it is true: first those other than
// OwnRank and HoldRank, then HoldRank, and OwnRank last. RecoverHeldStep
// depends on OwnRank being last. Arming HoldRank separately covers a leader
// that fails just after its hold, while its first arm orders are still in
// transit: the order for HoldRank is not among them, so the successor finds a
// rank that is not armed. It costs a few milliseconds per change.
func (l *Leader) armNext(ranks []State, observed []bool, h heldStep) []AddressedOrder {
	armed, _ := countArmed(ranks)
	version, _ := l.targetVersion(ranks, armed)
	arm := func(i int) AddressedOrder {
		order := Arm{Version: version, Step: h.step}
		l.noteArmOrdered(i, order)
		return newAddressedOrder(ranks, i, order)
	}
	var out []AddressedOrder
	for i, r := range ranks {
		if r.Armed == nil && isObserved(observed, i) && i != l.OwnRank && i != l.HoldRank {
			out = append(out, arm(i))
		}
	}
	switch {
	case len(out) > 0:
		return out
	case ranks[l.HoldRank].Armed == nil && l.HoldRank != l.OwnRank:
		return []AddressedOrder{arm(l.HoldRank)}
	default:
		return []AddressedOrder{arm(l.OwnRank)}
	}
}
