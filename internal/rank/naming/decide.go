package naming

import "time"

// decide returns the orders for the activation in progress, or else starts the
// next one. All states must have been reported under this leader's token.
func (l *Leader) decide(now time.Time) []Action {
	l.clearFinished()
	a := l.inProgress()
	switch {
	case a == Activation{}:
		return l.startNext(now)
	case l.anyScheduled(a):
		return l.finish(a, now)
	case a == l.abandoned:
		return l.abandon(a, now)
	case a == l.record.Activation && l.stepPassed(a):
		return l.abandon(a, now)
	case a == l.record.Activation:
		return l.finish(a, now)
	case a == l.current:
		return l.commit(a, now)
	default:
		return l.abandon(a, now)
	}
}

// clearFinished clears the current activation once all members have scheduled
// it, and the proposed map once it is the newest in all their schedules.
func (l *Leader) clearFinished() {
	if l.current != (Activation{}) && l.allMembers(func(s State) bool { return s.hasScheduled(l.current) }) {
		l.current, l.failedAttempts = Activation{}, 0
	}
	if l.proposed == nil {
		return
	}
	proposed := RefOf(l.proposed)
	if l.allMembers(func(s State) bool { return s.Joined && latestEntry(s.Schedule).Map == proposed }) {
		l.proposed = nil
	}
}

// inProgress returns an activation other than the current one that some member
// holds, such as another leader's, or else the current one.
func (l *Leader) inProgress() Activation {
	for i := range l.Members {
		if a := l.states[i].Pending; a != (Activation{}) && a != l.current {
			return a
		}
	}
	return l.current
}

func (l *Leader) allMembers(match func(State) bool) bool {
	for i := range l.Members {
		if !match(l.states[i]) {
			return false
		}
	}
	return true
}

func (l *Leader) anyScheduled(a Activation) bool {
	return !l.allMembers(func(s State) bool { return !s.hasScheduled(a) })
}

// stepPassed reports whether a member may run the activation's step without the
// activation, so that it cannot be finished. No member can have been released
// in this case: a release requires that all members hold, and a restarted
// member takes the hold over from its peers. A member that has not joined
// counts only if all members have lost their maps; such a group starts again at
// a later step.
func (l *Leader) stepPassed(a Activation) bool {
	allLost := l.allMembers(func(s State) bool { return !s.Joined })
	return !l.allMembers(func(s State) bool {
		missed := s.Pending != a && !s.hasScheduled(a) && s.mayBegin(a)
		return !missed || !s.Joined && !allLost
	})
}

// finish releases the members once all of them hold the activation, and until
// then makes them hold it.
func (l *Leader) finish(a Activation, now time.Time) []Action {
	if l.allMembers(func(s State) bool { return s.Pending == a || s.hasScheduled(a) }) {
		return l.release(a, now)
	}
	return l.holdAll(a, now)
}

func (l *Leader) release(a Activation, now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		if l.states[i].Pending == a {
			actions = append(actions, l.send(i, Release{OrderHeader: l.header(i), Activation: a, View: l.view()}, now)...)
		}
	}
	return actions
}

func (l *Leader) holdAll(a Activation, now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		s := l.states[i]
		switch {
		case s.Pending == a || s.hasScheduled(a):
		case !s.hasStaged(a.Map):
			actions = append(actions, l.stage(i, a.Map, now)...)
		default:
			actions = append(actions, l.send(i, Hold{OrderHeader: l.header(i), Activation: a, View: l.view()}, now)...)
		}
	}
	return actions
}

func (l *Leader) stage(to int, r Ref, now time.Time) []Action {
	for _, m := range l.knownMaps {
		if RefOf(m) == r {
			return l.send(to, Stage{OrderHeader: l.header(to), Map: m}, now)
		}
	}
	return nil
}

func (l *Leader) abandon(a Activation, now time.Time) []Action {
	if a == l.current && l.allMembers(func(s State) bool { return s.Pending != a }) {
		l.current = Activation{}
	}
	var actions []Action
	for i := range l.Members {
		if l.states[i].Pending == a {
			actions = append(actions, l.send(i, Abandon{OrderHeader: l.header(i), Activation: a}, now)...)
		}
	}
	return actions
}

// commit writes this leader's own activation to the record once all members
// hold it.
//
// If the leader dies after it has released some members, a successor that did
// not know of the activation could let the others run its step with another
// map. The activation is therefore in the record before the first release, so
// that each later leader reads it there, and it is written under a fencing
// token, so that only one leader can write.
//
// An activation that is not known to be committed within HoldTime of its start,
// for example because the outcome of its write is unknown, is abandoned. No
// member has been released by then, and no other leader can release one before
// members refuse this leader's orders.
func (l *Leader) commit(a Activation, now time.Time) []Action {
	if now.Sub(l.startedAt) > l.HoldTime || l.stepPassed(a) {
		l.abandoned = a
		l.failedAttempts = min(l.failedAttempts+1, maxFailedAttempts)
		return l.abandon(a, now)
	}
	if !l.allMembers(func(s State) bool { return s.Pending == a }) {
		return l.holdAll(a, now)
	}
	if !l.recordKnown || !now.Before(l.leaseUntil) {
		return nil
	}
	return l.writeRecord(Record{Token: l.Token, Activation: a})
}

// startNext starts the activation of the proposed map. It requires a live
// lease, a record that has just been read, and members that all use their
// newest map already or have all lost their maps. So no rank needs more than
// two maps, and no step gets a second activation.
func (l *Leader) startNext(now time.Time) []Action {
	if l.proposed == nil || !l.recordKnown || !now.Before(l.leaseUntil) {
		return nil
	}
	joined := l.allMembers(func(s State) bool { return s.Joined && s.LastStep >= latestEntry(s.Schedule).FirstStep })
	if !joined && !l.allMembers(func(s State) bool { return !s.Joined && s.NoPeerJoined }) {
		return nil
	}
	r := RefOf(l.proposed)
	l.AddKnownMap(l.proposed)
	if !l.allMembers(func(s State) bool { return s.hasStaged(r) }) {
		return l.stageAll(r, now)
	}
	l.current = Activation{Token: l.Token, Step: l.nextSafeStep(), Map: r}
	l.startedAt = now
	return l.holdAll(l.current, now)
}

func (l *Leader) stageAll(r Ref, now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		if !l.states[i].hasStaged(r) {
			actions = append(actions, l.stage(i, r, now)...)
		}
	}
	return actions
}

// maxFailedAttempts limits the distance that nextSafeStep adds to 64 times
// StepMargin+1 steps.
const maxFailedAttempts = 6

// nextSafeStep returns a step that should still be beyond all step limits when
// the members receive the hold order. The step is also later than that of every
// activation committed before, which ranks may still have scheduled although
// their agents restarted and forgot it, and later than that of the last
// abandoned one, so that delayed orders for that one do not match the new one.
//
// The distance from the latest of these steps doubles with each failed attempt.
// Members extend their step limits while the hold order is in transit, so with
// a constant distance slow messages would make every attempt fail.
func (l *Leader) nextSafeStep() uint64 {
	step := max(l.abandoned.Step, l.record.Activation.Step)
	for _, s := range l.states {
		step = max(step, s.StepLimit, s.LastStep)
	}
	return step + (l.StepMargin+1)<<l.failedAttempts
}
