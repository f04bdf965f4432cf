package naming

import "time"

// decide returns the orders for the name at hand, or for the next one. All
// states were said under this leader's token.
func (l *Leader) decide(now time.Time) []Action {
	l.settle()
	n := l.active()
	switch {
	case n == Name{}:
		return l.next(now)
	case l.anyInForce(n):
		return l.finish(n, now)
	case n == l.given:
		return l.abandon(n, now)
	case n == l.record.Name && l.passed(n):
		return l.abandon(n, now)
	case n == l.record.Name:
		return l.finish(n, now)
	case n == l.name:
		return l.commit(n, now)
	default:
		return l.abandon(n, now)
	}
}

// settle ends the naming whose name is in force everywhere.
func (l *Leader) settle() {
	if l.name != (Name{}) && l.all(func(s State) bool { return s.inForce(l.name) }) {
		l.name, l.tries = Name{}, 0
	}
	if l.goal == nil {
		return
	}
	goal := RefOf(l.goal)
	if l.all(func(s State) bool { return s.Joined && latest(s.Schedule).Map == goal }) {
		l.goal = nil
	}
}

// active returns the name that some member holds for, or else this leader's.
func (l *Leader) active() Name {
	for i := range l.Members {
		if n := l.states[i].Pending; n != (Name{}) && n != l.name {
			return n
		}
	}
	return l.name
}

func (l *Leader) all(f func(State) bool) bool {
	for i := range l.Members {
		if !f(l.states[i]) {
			return false
		}
	}
	return true
}

func (l *Leader) anyInForce(n Name) bool {
	return !l.all(func(s State) bool { return !s.inForce(n) })
}

// passed reports whether a member may run the name's step without the name, so
// that it can't be finished. No member can have been released then: a release
// needs all to hold, and one that restarts takes the hold over from its peers.
// Members that all have lost their maps begin anew at a later step.
func (l *Leader) passed(n Name) bool {
	lost := l.all(func(s State) bool { return !s.Joined })
	return !l.all(func(s State) bool {
		without := s.Pending != n && !s.inForce(n) && s.passed(n)
		return !without || !s.Joined && !lost
	})
}

// finish releases the members once all of them hold for the name.
func (l *Leader) finish(n Name, now time.Time) []Action {
	if l.all(func(s State) bool { return s.Pending == n || s.inForce(n) }) {
		return l.release(n, now)
	}
	return l.holdAll(n, now)
}

func (l *Leader) release(n Name, now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		if l.states[i].Pending == n {
			actions = append(actions, l.send(i, Release{Head: l.head(i), Name: n, View: l.view()}, now)...)
		}
	}
	return actions
}

func (l *Leader) holdAll(n Name, now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		s := l.states[i]
		switch {
		case s.Pending == n || s.inForce(n):
		case !s.staged(n.Map):
			actions = append(actions, l.stage(i, n.Map, now)...)
		default:
			actions = append(actions, l.send(i, Hold{Head: l.head(i), Name: n, View: l.view()}, now)...)
		}
	}
	return actions
}

func (l *Leader) stage(to int, r Ref, now time.Time) []Action {
	for _, m := range l.maps {
		if RefOf(m) == r {
			return l.send(to, Stage{Head: l.head(to), Map: m}, now)
		}
	}
	return nil
}

func (l *Leader) abandon(n Name, now time.Time) []Action {
	if n == l.name && l.all(func(s State) bool { return s.Pending != n }) {
		l.name = Name{}
	}
	var actions []Action
	for i := range l.Members {
		if l.states[i].Pending == n {
			actions = append(actions, l.send(i, Abandon{Head: l.head(i), Name: n}, now)...)
		}
	}
	return actions
}

// commit brings this leader's own name to its commit.
//
// Failure: the leader dies after it has told some members of the name. It
// shows as two maps in the name's step if the next leader does not know. The
// name is in the record before the first member is released, so that each later
// leader reads it there, and under a token, so that only one leader can write.
//
// A write whose outcome stays unknown for HoldTime is given up: nobody has been
// released, and nobody else can release before this leader's orders are refused.
func (l *Leader) commit(n Name, now time.Time) []Action {
	if now.Sub(l.held) > l.HoldTime || l.passed(n) {
		l.given = n
		l.tries = min(l.tries+1, maxTries)
		return l.abandon(n, now)
	}
	if !l.all(func(s State) bool { return s.Pending == n }) {
		return l.holdAll(n, now)
	}
	if !l.known || !now.Before(l.until) {
		return nil
	}
	return l.write(Record{Token: l.Token, Name: n})
}

// next starts the naming of the proposed map: only with a live lease, a record
// that has just been read, and members that all run the newest name already, or
// that all have lost their maps. So no rank needs more than two maps, and a name
// is never for a step that has one.
func (l *Leader) next(now time.Time) []Action {
	if l.goal == nil || !l.known || !now.Before(l.until) {
		return nil
	}
	joined := l.all(func(s State) bool { return s.Joined && s.Begun >= latest(s.Schedule).From })
	if !joined && !l.all(func(s State) bool { return !s.Joined && s.Orphan }) {
		return nil
	}
	r := RefOf(l.goal)
	l.Learn(l.goal)
	if !l.all(func(s State) bool { return s.staged(r) }) {
		return l.stageAll(r, now)
	}
	l.name = Name{Token: l.Token, Step: l.beyond(), Map: r}
	l.held = now
	return l.holdAll(l.name, now)
}

func (l *Leader) stageAll(r Ref, now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		if !l.states[i].staged(r) {
			actions = append(actions, l.stage(i, r, now)...)
		}
	}
	return actions
}

// maxTries bounds how far a name is put off: 64 times the margin.
const maxTries = 6

// beyond returns a step that no rank may have been allowed to begin when the
// members hear of it, and that is later than that of each name committed before:
// ranks whose agents have lost their memory may still have such a name ahead of
// them. It differs from that of a name given up, so that late
// orders about the old name are not taken for the new one's, and lies twice as
// far off after each failed try, because members extend their bounds while the
// hold is on its way and slow messages would otherwise fail each time.
func (l *Leader) beyond() uint64 {
	step := max(l.given.Step, l.record.Name.Step)
	for _, s := range l.states {
		step = max(step, s.Granted, s.Begun)
	}
	return step + (l.Margin+1)<<l.tries
}
