package lockstep

import "time"

// stuck reports whether a rank goes on refusing to prepare the newest version.
//
// Guard: a rank takes a prepare and does not answer, and carries it out seconds
// later. Until then it neither copies nor takes that version again; the group
// would keep a map that popularity has left, for 11 s in one case. A further
// version is taken at once, and the late order is refused then.
func (l *Leader) stuck(now time.Time) bool {
	if !l.refused {
		return false
	}
	if l.refusedSince.IsZero() {
		l.refusedSince = now
	}
	return now.Sub(l.refusedSince) > refusedTime
}

// giveUp reports whether the held step can't become a change of maps. A change
// that another leader began is finished only when all ranks are armed, because
// the version may be unknown to this one.
func (l *Leader) giveUp(ranks []State, armed int, same bool, h holding, now time.Time) bool {
	if !same || h.step != l.own || now.Sub(l.heldSince) > armTime {
		return true
	}
	version, ok := l.target(ranks, armed)
	if !ok {
		return true
	}
	for _, r := range ranks {
		if r.Armed != nil && r.Armed.Step != h.step {
			return true
		}
		if !r.HasPrepared || r.Prepared != version {
			return true
		}
	}
	return false
}

// release lets the held step begin, on which all ranks are armed.
func release(ranks []State, h holding) []Directive {
	return []Directive{directive(ranks, h.rank, Go{Step: h.step})}
}

// takeBack gives the held step up: disarm, flush, let go. The leader's own rank
// is disarmed and flushed before the others, see Rescue.
func (l *Leader) takeBack(ranks []State, h holding, now time.Time) []Directive {
	if l.inForce == nil || l.inForce.Version != ranks[h.rank].Map {
		return nil // the map has to be learnt first, see Current
	}
	if l.flush == 0 || l.stuck(now) {
		l.flush, l.goal = l.nextVersion(), nil
	}
	if out := l.takeBackRank(ranks, l.Own); len(out) > 0 {
		return out
	}
	var out []Directive
	for i := range ranks {
		out = append(out, l.takeBackRank(ranks, i)...)
	}
	if len(out) > 0 || !flushed(ranks, l.flush) {
		return out
	}
	return release(ranks, h)
}

// takeBackRank disarms a rank, or flushes it when it isn't armed.
func (l *Leader) takeBackRank(ranks []State, i int) []Directive {
	r := &ranks[i]
	switch {
	case r.Armed != nil:
		return []Directive{directive(ranks, i, Disarm{Version: r.Armed.Version})}
	case r.Busy, r.HasPrepared && r.Prepared == l.flush:
		return nil
	default:
		return []Directive{directive(ranks, i, Prepare{Version: l.flush, Sets: l.inForce.Sets})}
	}
}

func flushed(ranks []State, version uint64) bool {
	for _, r := range ranks {
		if !r.HasPrepared || r.Prepared != version {
			return false
		}
	}
	return true
}
