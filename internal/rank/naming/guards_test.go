package naming

import "testing"

// TestPausedLeaderIsFenced guards against two maps in one step, which garbles
// answers. A leader commits an activation, loses the reply to its write and
// abandons the activation, but is paused before its orders are sent. The next
// leader reads the commit and releases the first member; then the old leader's
// order reaches the second one.
func TestPausedLeaderIsFenced(t *testing.T) {
	g, a := newActiveGroup(t)
	a.Propose(testMap(2))
	g.runLeader(a, 30, isAbandon, func(w WriteRecord) WriteOutcome {
		g.writeRecord(w)
		g.kv.down = true
		return WriteUnknown
	})
	g.kv.down = false
	oldOrders := g.heldBack
	g.heldBack = nil
	b := g.leader(2)
	b.AddKnownMap(testMap(2))
	g.runLeader(b, 10, releaseTo(1), g.writeRecord)
	for _, s := range oldOrders {
		g.deliver(s)
	}
	g.runMembers(40)
	g.deliverHeldBack()
	g.runMembers(40)
	g.assertOneMap()
	g.assertLatestVersion(2)
}

// TestRestartedMemberIsNotCountedOn guards against two maps in one step, which
// garbles answers. A member promises to hold, its ranks restart and it joins
// again from a peer that has not received the activation yet, so the promise is
// lost. Then the peer receives the activation, and the leader assumes that all
// members hold it.
func TestRestartedMemberIsNotCountedOn(t *testing.T) {
	g, a := newActiveGroup(t)
	a.Propose(testMap(2))
	firstHoldTo1 := func(s Send) bool {
		_, ok := s.Order.(Hold)
		return ok && s.To == 1 && len(g.heldBack) == 0
	}
	for len(g.heldBack) == 0 {
		g.runLeader(a, 1, firstHoldTo1, g.writeRecord)
	}
	g.restartRanks(0)
	g.runMembers(3)
	a.HandleState(g.deliver(g.heldBack[0]), g.now)
	g.heldBack = nil
	toMember0 := func(s Send) bool { return s.To == 0 }
	g.runLeader(a, 5, toMember0, g.writeRecord)
	g.heldBack = nil
	g.runMembers(40)
	g.assertOneMap()
	g.runLeader(a, 80, nil, g.writeRecord)
	g.assertOneMap()
	g.assertLatestVersion(2)
}

// TestLateWriteOfOldLeader guards against two maps in one step, which garbles
// answers. A leader's write of an activation is delayed. The next leader
// abandons that activation, commits another, releases one member and dies. Then
// the delayed write arrives, that member's agent restarts, and the third leader
// knows only the record.
func TestLateWriteOfOldLeader(t *testing.T) {
	g, a := newActiveGroup(t)
	a.Propose(testMap(2))
	var lateWrites []WriteRecord
	g.runLeader(a, 6, isAbandon, func(w WriteRecord) WriteOutcome {
		lateWrites = append(lateWrites, w)
		return WriteUnknown
	})
	g.heldBack = nil
	b := g.leader(2)
	b.Propose(testMap(3))
	g.runLeader(b, 40, releaseTo(1), g.writeRecord)
	for _, w := range lateWrites {
		g.writeRecord(w)
	}
	g.members[0] = g.newMember(0, 2)
	g.runMembers(3)
	c := g.leader(3)
	c.AddKnownMap(testMap(3))
	g.runLeader(c, 40, nil, g.writeRecord)
	g.runMembers(40)
	g.assertOneMap()
	g.assertLatestVersion(3)
	if len(lateWrites) == 0 {
		t.Error("the old leader wrote no record")
	}
}

// TestPassedStepIsNotHeldFor guards against two maps in one step, which garbles
// answers. A leader abandons an activation whose write took effect, one member
// passes its step with the old map, and the leader dies. That member's agent
// restarts and learns of the activation from its peer, and the next leader
// reads the commit.
func TestPassedStepIsNotHeldFor(t *testing.T) {
	g, a := newActiveGroup(t)
	a.Propose(testMap(2))
	g.runLeader(a, 60, func(s Send) bool { return isAbandon(s) && s.To == 1 }, func(w WriteRecord) WriteOutcome {
		g.writeRecord(w)
		g.kv.down = true
		return WriteUnknown
	})
	g.kv.down = false
	g.members[0] = g.newMember(0, 2)
	g.runMembers(3)
	b := g.leader(2)
	b.AddKnownMap(testMap(2))
	b.Propose(testMap(3))
	g.runLeader(b, 80, nil, g.writeRecord)
	g.assertOneMap()
	g.assertLatestVersion(3)
}

// TestRestartedGroupActivatesAtLaterStep guards against two maps in one step,
// which garbles answers. The ranks of one member have an activation scheduled
// for a later step when all agents restart and the other member's ranks lose
// their maps. The group starts again and must not reach the scheduled step with
// another map.
func TestRestartedGroupActivatesAtLaterStep(t *testing.T) {
	g, a := newActiveGroup(t)
	a.Propose(testMap(2))
	g.runLeader(a, 8, releaseTo(1), g.writeRecord)
	g.heldBack = nil
	upcoming := latestEntry(g.engines[0].Schedule)
	if upcoming.Map.Version != 2 || upcoming.FirstStep <= g.engines[0].LastStep {
		t.Fatalf("member 0 is at step %d and has %+v as its newest entry", g.engines[0].LastStep, upcoming)
	}
	g.members[0], g.members[1] = g.newMember(0, 2), g.newMember(1, 2)
	g.restartRanks(1)
	b := g.leader(2)
	b.StepMargin = 0
	b.Propose(testMap(3))
	g.runLeader(b, 80, nil, g.writeRecord)
	g.assertOneMap()
	g.assertLatestVersion(3)
}

// TestReleasedActivationIsFinished guards against a group that stops, which
// makes callers wait. One member has been released and its ranks have the
// activation scheduled; then its agent and the other member's ranks restart.
// The leader, which keeps running, has to finish the activation.
func TestReleasedActivationIsFinished(t *testing.T) {
	g, a := newActiveGroup(t)
	a.Propose(testMap(2))
	g.runLeader(a, 8, releaseTo(1), g.writeRecord)
	g.heldBack = nil
	g.members[0] = g.newMember(0, 2)
	g.restartRanks(1)
	g.members[1].Tick(g.engines[1].EngineState)
	g.runLeader(a, 80, nil, g.writeRecord)
	g.assertOneMap()
	g.assertLatestVersion(2)
}

// TestGroupGoesOnWithoutPlatform guards against a group that stops because the
// platform is down. There is no leader and no platform, and the ranks of one
// endpoint restart; steps must continue with the active map.
func TestGroupGoesOnWithoutPlatform(t *testing.T) {
	g, _ := newActiveGroup(t)
	before := g.engines[0].LastStep
	g.runMembers(50)
	g.restartRanks(1)
	g.runMembers(50)
	if got := g.engines[0].LastStep; got < before+90 {
		t.Errorf("%d steps in 100 ticks, want at least 90", got-before)
	}
	g.assertLatestVersion(1)
	g.assertOneMap()
}

// TestNoActivationWithoutLease guards against a leader that starts an
// activation after its lease has lapsed, when another leader may exist. The
// lease lapses and a map is proposed; no member may be asked to hold.
func TestNoActivationWithoutLease(t *testing.T) {
	g, a := newActiveGroup(t)
	a.ExtendLease(g.now)
	a.Propose(testMap(2))
	g.runLeader(a, 30, nil, g.writeRecord)
	g.assertLatestVersion(1)
	for i, m := range g.members {
		if pending := m.State().Pending; pending != (Activation{}) {
			t.Errorf("member %d holds an activation for step %d", i, pending.Step)
		}
	}
}

// TestReadsBackOff guards against leaders that keep a failed platform down with
// immediate retries. Reads fail for some time and must become rarer; after one
// succeeds, the leader must activate a map.
func TestReadsBackOff(t *testing.T) {
	g := newTestGroup(t)
	l := g.leader(1)
	reads := 0
	for range 400 {
		g.now = g.now.Add(tick)
		for _, a := range l.Tick(g.now) {
			if _, ok := a.(ReadRecord); ok {
				reads++
				l.HandleRecord(Record{}, 0, false)
			}
		}
	}
	if reads > 20 {
		t.Errorf("%d reads in 400 ticks, want at most 20", reads)
	}
	l.Propose(testMap(1))
	g.runLeader(l, 80, nil, g.writeRecord)
	g.assertLatestVersion(1)
}
