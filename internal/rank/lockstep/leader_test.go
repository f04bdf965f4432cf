package lockstep

import "testing"

// Guards against a group that stays held when one rank is not armed in time
// because its arm orders are lost repeatedly. The step must be aborted, and a
// later change must still succeed.
func TestAbortedStepIsReleased(t *testing.T) {
	w := newSimulation(t, 7, 4)
	d := newLeaderDriver(w, 1)
	for range 300 {
		w.advance(true)
		ranks := w.observe().ranks
		if d.l.InForce() == nil || d.l.InForce().Version != ranks[0].Map {
			d.l.SetInForce(ranks[0].Map, content(d.w.ranks[0].content))
		}
		if !d.l.Busy() {
			d.l.Propose(content(d.w.nextContent()))
		}
		for _, ao := range d.l.NextOrders(ranks, true, w.now) {
			if _, arm := ao.Order.(Arm); arm && ao.Rank == 2 && w.tick < 100 {
				d.l.RecordOutcome(ao, Unknown, w.now)
				continue
			}
			d.l.RecordOutcome(ao, w.deliver(d.token, ao), w.now)
		}
	}
	if w.ranks[0].state.Map == 0 || w.steps < 150 {
		t.Fatalf("map %d in force after %d steps", w.ranks[0].state.Map, w.steps)
	}
}

// Guards against a group that stays held while its leader is frozen. The
// leader's VM freezes just after the hold, and its engine cannot be reached;
// all callers of the group would wait until the VM is back. The successor
// observes that another rank is not armed and releases the step.
func TestSuccessorReleasesStepOfFrozenLeader(t *testing.T) {
	for armed := range 4 {
		w := newSimulation(t, 7, 4)
		first := newLeaderDriver(w, 1)
		for !anyHeld(w) {
			w.advance(true)
			first.round(w.observe())
		}
		for range armed {
			// Only the first of the pending arm orders is delivered.
			ao := first.l.NextOrders(w.observe().ranks, true, w.now)[0]
			first.l.RecordOutcome(ao, w.deliver(first.token, ao), w.now)
		}
		w.unreachableRank, w.unreachableUntil = first.l.OwnRank, w.tick+1000
		next := first.successor()
		for range 5 {
			w.advance(true)
			next.round(w.observe())
		}
		if all := armed == 3; anyHeld(w) != all {
			t.Errorf("%d of 3 other ranks armed: held is %v", armed, anyHeld(w))
		}
		w.unreachableUntil = 0
		first.round(w.observe())
		checkRecovery(t, w, next)
	}
}

// Guards against disarming the other ranks too early when a step is aborted.
// The order that arms the leader's own rank is delayed. If the others were
// disarmed while that rank could still be armed, and the leader's VM froze in
// between, its successor would release a step for which that rank alone is
// armed.
func TestOwnRankIsDisarmedFirst(t *testing.T) {
	w := newSimulation(t, 7, 4)
	d := newLeaderDriver(w, 1)
	var delayedArm AddressedOrder
	for delayedArm.Order == nil {
		w.advance(true)
		obs := w.observe()
		if d.l.InForce() == nil {
			d.l.SetInForce(0, content(0))
			d.l.Propose(content(1))
		}
		for _, ao := range d.l.NextOrders(obs.ranks, true, w.now) {
			if _, arm := ao.Order.(Arm); arm && ao.Rank == d.l.OwnRank {
				delayedArm = ao
				d.l.RecordOutcome(ao, Unknown, w.now)
				continue
			}
			d.l.RecordOutcome(ao, w.deliver(d.token, ao), w.now)
		}
	}
	w.now = w.now.Add(2 * armTimeout)
	for range 20 {
		for _, ao := range d.l.NextOrders(w.observe().ranks, true, w.now) {
			if _, disarm := ao.Order.(Disarm); disarm {
				if w.execute(d.token, delayedArm) != Rejected {
					t.Fatalf("rank %d is disarmed while the leader's own may still be armed", ao.Rank)
				}
			}
			d.l.RecordOutcome(ao, w.deliver(d.token, ao), w.now)
		}
		w.advance(true)
	}
	if anyHeld(w) || w.ranks[0].state.Map != 0 {
		t.Fatalf("held %v, map %d", anyHeld(w), w.ranks[0].state.Map)
	}
}

// Guards against keeping an old map after a jump of expert popularity: a rank
// accepts the version of the next map without replying and begins to copy 12 s
// later.
func TestStalledPrepareIsReplaced(t *testing.T) {
	w := newSimulation(t, 7, 4)
	d := newLeaderDriver(w, 1)
	accepted := false
	for range 100 {
		w.advance(true)
		ranks := w.observe().ranks
		if d.l.InForce() == nil || d.l.InForce().Version != ranks[0].Map {
			d.l.SetInForce(ranks[0].Map, content(w.ranks[0].content))
		}
		if !d.l.Busy() {
			d.l.Propose(content(w.nextContent()))
		}
		for _, ao := range d.l.NextOrders(ranks, true, w.now) {
			if _, prepare := ao.Order.(Prepare); prepare && ao.Rank == 2 && !accepted {
				accepted = w.acceptVersion(d.token, ao)
				w.delayed = append(w.delayed, delayedOrder{
					at: w.tick + 1200, token: d.token, order: ao, versionAccepted: true,
				})
				d.l.RecordOutcome(ao, Unknown, w.now)
				continue
			}
			d.l.RecordOutcome(ao, w.deliver(d.token, ao), w.now)
		}
	}
	if !accepted || w.ranks[0].state.Map == 0 {
		t.Fatalf("map %d in force a second after a rank accepted a version and delayed its copy", w.ranks[0].state.Map)
	}
}

// Guards against a group that stays held while the VM of a rank that does not lead is frozen: its
// engine cannot be reached, and all callers of the group would wait until the VM is back. The
// leader knows from the orders that it gave whether that rank is armed.
func TestLeaderEndsItsHoldWithoutAFrozenRank(t *testing.T) {
	const ranks = 4
	for rounds := range 3 {
		w := newSimulation(t, 7, ranks)
		d := newLeaderDriver(w, 1)
		for !anyHeld(w) {
			w.advance(true)
			d.round(w.observe())
		}
		for range rounds {
			d.round(w.observe())
		}
		frozen := (d.l.HoldRank + 1) % ranks
		w.unreachableRank, w.unreachableUntil = frozen, w.tick+1000
		w.proposalInterval = 1000
		for range 20 {
			w.advance(true)
			d.round(w.observe())
		}
		if anyHeld(w) {
			t.Errorf("the step is held although the frozen rank is known to be armed or not, %d rounds after the hold", rounds)
		}
		checkRecovery(t, w, d)
	}
}

// Guards against two maps in one step: a rank whose arm order was not answered may be armed, so the
// step has to stay held until the rank is observed.
func TestStepStaysHeldWhileAnArmIsInDoubt(t *testing.T) {
	w := newSimulation(t, 7, 4)
	d := newLeaderDriver(w, 1)
	for !anyHeld(w) {
		w.advance(true)
		d.round(w.observe())
	}
	frozen := (d.l.HoldRank + 1) % 4
	stale := w.observe()
	w.unreachableRank, w.unreachableUntil = frozen, w.tick+1000
	d.round(stale)
	for range 20 {
		w.advance(true)
		d.round(w.observe())
	}
	if !anyHeld(w) {
		t.Error("the step was released although the frozen rank may be armed")
	}
	w.unreachableUntil = 0
	checkRecovery(t, w, d)
}
