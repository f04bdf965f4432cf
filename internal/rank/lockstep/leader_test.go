package lockstep

import "testing"

// A rank refuses to be armed in time, because its order is lost again and again.
// The leader gives the held step up, and a change after it comes into force.
func TestGivenUpStepIsLetGo(t *testing.T) {
	w := newWorld(t, 7, 4)
	d := newDriver(w, 1)
	for range 300 {
		w.advance(true)
		looked := w.look().ranks
		if d.l.InForce() == nil || d.l.InForce().Version != looked[0].Map {
			d.l.Current(looked[0].Map, content(d.w.ranks[0].content))
		}
		if !d.l.Busy() {
			d.l.Propose(content(d.w.newContent()))
		}
		for _, o := range d.l.Decide(looked, true, w.now) {
			if _, arm := o.Order.(Arm); arm && o.Rank == 2 && w.tick < 100 {
				d.l.Answered(o, Unknown, w.now)
				continue
			}
			d.l.Answered(o, w.give(d.token, o), w.now)
		}
	}
	if w.ranks[0].state.Map == 0 || w.passes < 150 {
		t.Fatalf("map %d in force after %d passes", w.ranks[0].state.Map, w.passes)
	}
}

// The leader's VM freezes just after it has had a step held, and the engine
// beside it can't be reached. All callers of the group would wait for as long;
// its successor sees that another rank is not armed and lets the step go.
func TestSuccessorLetsGoOfAFrozenLeadersStep(t *testing.T) {
	for armed := range 4 {
		w := newWorld(t, 7, 4)
		first := newDriver(w, 1)
		for !anyHeld(w) {
			w.advance(true)
			first.round(w.look())
		}
		for range armed {
			// The first of the arms that are due is given.
			o := first.l.Decide(w.look().ranks, true, w.now)[0]
			first.l.Answered(o, w.give(first.token, o), w.now)
		}
		w.dark, w.darkUntil = first.l.Own, w.tick+1000
		next := first.successor()
		for range 5 {
			w.advance(true)
			next.round(w.look())
		}
		if all := armed == 3; anyHeld(w) != all {
			t.Errorf("%d of 3 other ranks armed: held is %v", armed, anyHeld(w))
		}
		w.darkUntil = 0
		first.round(w.look())
		settles(t, w, next)
	}
}

// The order that arms the leader's own rank is late, and the leader gives the
// step up. Were the others disarmed before its own rank can't be armed any more,
// and its VM froze in between, then its successor would let go a step for which
// that rank alone is armed.
func TestOwnRankIsTakenBackFirst(t *testing.T) {
	w := newWorld(t, 7, 4)
	d := newDriver(w, 1)
	var late Directive
	for late.Order == nil {
		w.advance(true)
		l := w.look()
		if d.l.InForce() == nil {
			d.l.Current(0, content(0))
			d.l.Propose(content(1))
		}
		for _, o := range d.l.Decide(l.ranks, true, w.now) {
			if _, arm := o.Order.(Arm); arm && o.Rank == d.l.Own {
				late = o
				d.l.Answered(o, Unknown, w.now)
				continue
			}
			d.l.Answered(o, w.give(d.token, o), w.now)
		}
	}
	w.now = w.now.Add(2 * armTime)
	for range 20 {
		for _, o := range d.l.Decide(w.look().ranks, true, w.now) {
			if _, disarm := o.Order.(Disarm); disarm {
				if w.execute(d.token, late) != Unfit {
					t.Fatalf("rank %d is disarmed while the leader's own may still be armed", o.Rank)
				}
			}
			d.l.Answered(o, w.give(d.token, o), w.now)
		}
		w.advance(true)
	}
	if anyHeld(w) || w.ranks[0].state.Map != 0 {
		t.Fatalf("held %v, map %d", anyHeld(w), w.ranks[0].state.Map)
	}
}

// Popularity has jumped, and a rank takes the next map's version, does not answer
// and begins to copy 12 s later. The group must not keep its old map until then.
func TestPrepareThatIsTakenLateIsGivenUp(t *testing.T) {
	w := newWorld(t, 7, 4)
	d := newDriver(w, 1)
	taken := false
	for range 100 {
		w.advance(true)
		l := w.look().ranks
		if d.l.InForce() == nil || d.l.InForce().Version != l[0].Map {
			d.l.Current(l[0].Map, content(w.ranks[0].content))
		}
		if !d.l.Busy() {
			d.l.Propose(content(w.newContent()))
		}
		for _, o := range d.l.Decide(l, true, w.now) {
			if _, prepare := o.Order.(Prepare); prepare && o.Rank == 2 && !taken {
				taken = w.takes(d.token, o)
				w.late = append(w.late, lateOrder{at: w.tick + 1200, token: d.token, d: o, taken: true})
				d.l.Answered(o, Unknown, w.now)
				continue
			}
			d.l.Answered(o, w.give(d.token, o), w.now)
		}
	}
	if !taken || w.ranks[0].state.Map == 0 {
		t.Fatalf("map %d in force a second after a rank took a version late", w.ranks[0].state.Map)
	}
}
