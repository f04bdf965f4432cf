package lockstep

// Predecessor is the previous leader of the group.
type Predecessor struct {
	// Token is its fencing token. Rank is the rank on its VM.
	Token uint64
	Rank  int
}

// RecoverHeldStep returns the orders that release a group whose previous leader
// left a step held, when the rank on that leader's VM cannot be observed. The
// slice ranks holds the states of the ranks for which observed is true.
//
// It guards against a leader's VM that freezes or is partitioned while a step
// is held. The engine on that VM continues with its group, but nobody can reach
// it to see whether it is armed, and all callers of the group would wait until
// the VM is back. Three rules that every leader follows make this known without
// an observation: holds are sent to another rank, which is still reachable; the
// leader's own rank is armed after all others; and it is disarmed, and prepares
// the no-op version, before the others. So as long as another rank is not
// armed, the old leader's own rank is not armed either. It stays unarmed,
// because another rank has to be armed first, and that rank rejects the orders
// of the old leader once it has seen the new token. The states must belong to
// that leader's change, which the versions show, as they begin with its token. A
// step for which all other ranks are armed stays held until the last rank is
// observed.
func (l *Leader) RecoverHeldStep(ranks []State, observed []bool) []AddressedOrder {
	if l.deposed || !l.canRecover(ranks, observed) {
		return nil
	}
	l.enterEpoch(ranks[l.OwnRank].Epoch, len(ranks))
	if out := l.fence(ranks, observed); len(out) > 0 {
		return out
	}
	held, isHeld := l.lowestHeld(ranks)
	armed, _ := countArmed(ranks)
	if !l.reportsFollowFence(ranks, observed) || !isHeld || armed >= len(ranks)-1 {
		return nil
	}
	if armed == 0 {
		return releaseStep(ranks, held)
	}
	var out []AddressedOrder
	for i, r := range ranks {
		if r.Armed != nil {
			out = append(out, newAddressedOrder(ranks, i, Disarm{Version: r.Armed.Version}))
		}
	}
	return out
}

// canRecover reports whether only the predecessor's rank is missing and all
// others take part in a change of the predecessor.
func (l *Leader) canRecover(ranks []State, observed []bool) bool {
	if l.Predecessor == nil || l.Predecessor.Rank == l.OwnRank {
		return false
	}
	for i, r := range ranks {
		if observed[i] == (i == l.Predecessor.Rank) {
			return false
		}
		if observed[i] && !(r.Accepting && r.Rank == i && r.Size == len(ranks) && r.Epoch == ranks[l.OwnRank].Epoch && l.Predecessor.ownsMaps(r)) {
			return false
		}
	}
	return true
}

// ownsMaps reports whether the rank has prepared a map and all that it has
// prepared or armed comes from the predecessor.
func (p *Predecessor) ownsMaps(r State) bool {
	if r.Armed != nil && r.Armed.Version>>versionCounterBits != p.Token {
		return false
	}
	return r.HasPrepared && r.Prepared>>versionCounterBits == p.Token
}
