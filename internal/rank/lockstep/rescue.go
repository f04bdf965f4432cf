package lockstep

// Predecessor is the leader before this one.
type Predecessor struct {
	// Token is its fencing token, and Rank the rank beside it.
	Token uint64
	Rank  int
}

// Rescue returns the orders that let a group go whose last leader left a step
// held and whose own rank can't be seen. Ranks holds the states of those of
// which seen is true.
//
// Guard: a leader's VM freezes or is cut off while a step is held. The engine
// beside it goes on with its group, but nobody reaches it to see whether it is
// armed, and all callers of the group would wait until the VM is back. Three
// habits of leaders tell it without a look: holds are given to another rank,
// which is still reached; the leader's own rank is armed when all others are;
// and it is disarmed and flushed before the others. So as long as another rank
// is not armed, the leader's own isn't either, and stays so: what is left to arm
// refuses the old leader once it has seen the new token. The states must be of
// that leader's change, which the versions tell, as they begin with its token.
// A step of which all others are armed stays held until the last rank is seen.
func (l *Leader) Rescue(ranks []State, seen []bool) []Directive {
	if l.deposed || !l.mayRescue(ranks, seen) {
		return nil
	}
	l.enter(ranks[l.Own].Epoch, len(ranks))
	if out := l.fence(ranks, seen); len(out) > 0 {
		return out
	}
	held, isHeld := l.held(ranks)
	armed, _ := armedOf(ranks)
	if !l.settled(ranks, seen) || !isHeld || armed >= len(ranks)-1 {
		return nil
	}
	if armed == 0 {
		return release(ranks, held)
	}
	var out []Directive
	for i, r := range ranks {
		if r.Armed != nil {
			out = append(out, directive(ranks, i, Disarm{Version: r.Armed.Version}))
		}
	}
	return out
}

// mayRescue reports whether only the predecessor's rank is missing and all
// others are in a change of the predecessor's.
func (l *Leader) mayRescue(ranks []State, seen []bool) bool {
	if l.Before == nil || l.Before.Rank == l.Own {
		return false
	}
	for i, r := range ranks {
		if seen[i] == (i == l.Before.Rank) {
			return false
		}
		if seen[i] && !(r.Open && r.Rank == i && r.Size == len(ranks) && r.Epoch == ranks[l.Own].Epoch && l.Before.prepared(r)) {
			return false
		}
	}
	return true
}

// prepared reports whether all that the rank has prepared or armed is of the
// predecessor.
func (p *Predecessor) prepared(r State) bool {
	if r.Armed != nil && r.Armed.Version>>versionBits != p.Token {
		return false
	}
	return r.HasPrepared && r.Prepared>>versionBits == p.Token
}
