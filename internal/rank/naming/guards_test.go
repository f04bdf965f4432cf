package naming

import "testing"

// TestPausedLeaderIsFenced: callers would see garbled answers of one step. A
// leader commits a name, the answer of its write is lost and it gives the name
// up, but is paused before its orders are out. The next leader reads the commit
// and releases the first member; then the old leader's order reaches the second.
func TestPausedLeaderIsFenced(t *testing.T) {
	r, a := begun(t)
	a.Propose(testMap(2))
	r.drive(a, 30, isAbandon, func(w WriteRecord) WriteOutcome {
		r.write(w)
		r.kv.down = true
		return WriteUnknown
	})
	r.kv.down = false
	old := r.back
	r.back = nil
	b := r.leader(2)
	b.Learn(testMap(2))
	r.drive(b, 10, releaseTo(1), r.write)
	for _, s := range old {
		r.give(s)
	}
	r.run(40)
	r.deliver()
	r.run(40)
	r.assertOneMap()
	r.assertInForce(2)
}

// TestRestartedMemberIsNotCountedOn: callers would see garbled answers of one
// step. A member promises to hold, its ranks restart and it joins anew from a
// peer that has not heard of the name yet, so the promise is gone. The peer
// hears of the name, and the leader believes that all hold.
func TestRestartedMemberIsNotCountedOn(t *testing.T) {
	r, a := begun(t)
	a.Propose(testMap(2))
	holdTo1 := func(s Send) bool {
		_, ok := s.Order.(Hold)
		return ok && s.To == 1 && len(r.back) == 0
	}
	for len(r.back) == 0 {
		r.drive(a, 1, holdTo1, r.write)
	}
	r.restartRanks(0)
	r.run(3)
	a.HandleState(r.give(r.back[0]), r.now)
	r.back = nil
	deaf := func(s Send) bool { return s.To == 0 }
	r.drive(a, 5, deaf, r.write)
	r.back = nil
	r.run(40)
	r.assertOneMap()
	r.drive(a, 80, nil, r.write)
	r.assertOneMap()
	r.assertInForce(2)
}

// TestLateWriteOfOldLeader: callers would see garbled answers of one step. A
// leader's write of a name is late. The next leader abandons the name, commits
// another, releases one member and dies; the late write arrives; that member's
// agent restarts, and the third leader has the record alone to go by.
func TestLateWriteOfOldLeader(t *testing.T) {
	r, a := begun(t)
	a.Propose(testMap(2))
	var late []WriteRecord
	r.drive(a, 6, isAbandon, func(w WriteRecord) WriteOutcome {
		late = append(late, w)
		return WriteUnknown
	})
	r.back = nil
	b := r.leader(2)
	b.Propose(testMap(3))
	r.drive(b, 40, releaseTo(1), r.write)
	for _, w := range late {
		r.write(w)
	}
	r.members[0] = r.newMember(0, 2)
	r.run(3)
	c := r.leader(3)
	c.Learn(testMap(3))
	r.drive(c, 40, nil, r.write)
	r.run(40)
	r.assertOneMap()
	r.assertInForce(3)
	if len(late) == 0 {
		t.Error("the old leader wrote nothing")
	}
}

// TestPassedStepIsNotHeldFor: callers would see garbled answers of one step. A
// leader gives a name up whose write took effect, one member goes past its step
// with the old map, and the leader dies. That member's agent restarts and hears
// of the name from its peer, and the next leader reads the commit.
func TestPassedStepIsNotHeldFor(t *testing.T) {
	r, a := begun(t)
	a.Propose(testMap(2))
	r.drive(a, 60, func(s Send) bool { return isAbandon(s) && s.To == 1 }, func(w WriteRecord) WriteOutcome {
		r.write(w)
		r.kv.down = true
		return WriteUnknown
	})
	r.kv.down = false
	r.members[0] = r.newMember(0, 2)
	r.run(3)
	b := r.leader(2)
	b.Learn(testMap(2))
	b.Propose(testMap(3))
	r.drive(b, 80, nil, r.write)
	r.assertOneMap()
	r.assertInForce(3)
}

// TestRestartedGroupNamesLaterStep: callers would see garbled answers of one
// step. The ranks of one member have been told of a name ahead of them when all
// agents lose their memory and the other's ranks their maps. The group begins
// anew, and must not reach the name's step with another map.
func TestRestartedGroupNamesLaterStep(t *testing.T) {
	r, a := begun(t)
	a.Propose(testMap(2))
	r.drive(a, 8, releaseTo(1), r.write)
	r.back = nil
	ahead := latest(r.engines[0].Schedule)
	if ahead.Map.Version != 2 || ahead.From <= r.engines[0].Begun {
		t.Fatalf("member 0 stands at %d and has %+v ahead", r.engines[0].Begun, ahead)
	}
	r.members[0], r.members[1] = r.newMember(0, 2), r.newMember(1, 2)
	r.restartRanks(1)
	b := r.leader(2)
	b.Margin = 0
	b.Propose(testMap(3))
	r.drive(b, 80, nil, r.write)
	r.assertOneMap()
	r.assertInForce(3)
}

// TestReleasedNameIsFinished: callers would wait for a group that stands. One
// member has been released and its ranks told of the name; then its agent and the
// other's ranks restart. The leader, which lives, has to finish the name.
func TestReleasedNameIsFinished(t *testing.T) {
	r, a := begun(t)
	a.Propose(testMap(2))
	r.drive(a, 8, releaseTo(1), r.write)
	r.back = nil
	r.members[0] = r.newMember(0, 2)
	r.restartRanks(1)
	r.members[1].Tick(r.engines[1].EngineState)
	r.drive(a, 80, nil, r.write)
	r.assertOneMap()
	r.assertInForce(2)
}

// TestGroupGoesOnWithoutPlatform: callers would wait for nothing if a group
// stopped because the platform is down. No leader and no platform is there, and
// the ranks of one endpoint restart; steps go on with the map in force.
func TestGroupGoesOnWithoutPlatform(t *testing.T) {
	r, _ := begun(t)
	before := r.engines[0].Begun
	r.run(50)
	r.restartRanks(1)
	r.run(50)
	if got := r.engines[0].Begun; got < before+90 {
		t.Errorf("%d steps in 100 ticks, want at least 90", got-before)
	}
	r.assertInForce(1)
	r.assertOneMap()
}

// TestNoNameWithoutLease: an old leader must not start a name when its lease has
// lapsed, because another may lead already. The lease lapses and a map is
// proposed; no member is asked to hold.
func TestNoNameWithoutLease(t *testing.T) {
	r, a := begun(t)
	a.Extend(r.now)
	a.Propose(testMap(2))
	r.drive(a, 30, nil, r.write)
	r.assertInForce(1)
	for i, m := range r.members {
		if n := m.State().Pending; n != (Name{}) {
			t.Errorf("member %d holds for step %d", i, n.Step)
		}
	}
}

// TestReadsBackOff: a platform that is down would be kept down by leaders that
// ask it at once again and again. It fails for a while; reads get rarer, and one
// that succeeds makes the leader ready again.
func TestReadsBackOff(t *testing.T) {
	r := newRig(t)
	l := r.leader(1)
	reads := 0
	for range 400 {
		r.now = r.now.Add(tick)
		for _, a := range l.Step(r.now) {
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
	r.drive(l, 80, nil, r.write)
	r.assertInForce(1)
}
