package lockstep

import "time"

// prepareStalled reports whether a rank has rejected orders to prepare the
// newest version for longer than rejectionTimeout.
//
// It guards against a rank that accepts a prepare order without replying and
// executes it seconds later. Until then the rank neither copies the map nor
// accepts that version again; the group would keep a map that no longer matches
// expert popularity, for 11 s in one case. A further version is accepted at
// once, and the delayed order is rejected then.
func (l *Leader) prepareStalled(now time.Time) bool {
	if !l.prepareRejected {
		return false
	}
	if l.rejectedSince.IsZero() {
		l.rejectedSince = now
	}
	return now.Sub(l.rejectedSince) > rejectionTimeout
}

// mustAbort reports whether the change for which step h is held cannot be
// completed. armed and same are the results of countArmed. A change that another
// leader began is completed only if all ranks are armed already, because this
// leader may not know the version.
func (l *Leader) mustAbort(ranks []State, armed int, same bool, h heldStep, now time.Time) bool {
	if !same || h.step != l.holdStep || now.Sub(l.heldSince) > armTimeout {
		return true
	}
	version, ok := l.targetVersion(ranks, armed)
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

// releaseStep returns the order that releases the held step.
func releaseStep(ranks []State, h heldStep) []AddressedOrder {
	return []AddressedOrder{newAddressedOrder(ranks, h.rank, Release{Step: h.step})}
}

// abortStep returns the next orders to abort the held step: disarm all ranks, or
// those for which observed is true, prepare the no-op version on them, and
// release the step. The leader's own rank is disarmed and prepared before the
// others; see RecoverHeldStep.
func (l *Leader) abortStep(ranks []State, observed []bool, h heldStep, now time.Time) []AddressedOrder {
	if l.inForce == nil || l.inForce.Version != ranks[h.rank].Map {
		return nil // the map in force must be set first; see SetInForce
	}
	if l.noopVersion == 0 || l.prepareStalled(now) {
		l.noopVersion, l.goal = l.nextVersion(), nil
	}
	if out := l.abortRank(ranks, l.OwnRank); len(out) > 0 {
		return out
	}
	var out []AddressedOrder
	for i := range ranks {
		if isObserved(observed, i) {
			out = append(out, l.abortRank(ranks, i)...)
		}
	}
	if len(out) > 0 || !allPrepared(ranks, observed, l.noopVersion) {
		return out
	}
	return releaseStep(ranks, h)
}

// abortRank returns the order that disarms rank i or, if it is not armed, the
// order to prepare the no-op version. For a rank that is not armed it returns
// none while the rank is busy or once it has prepared that version.
func (l *Leader) abortRank(ranks []State, i int) []AddressedOrder {
	r := &ranks[i]
	switch {
	case r.Armed != nil:
		return []AddressedOrder{newAddressedOrder(ranks, i, Disarm{Version: r.Armed.Version})}
	case r.Busy, r.HasPrepared && r.Prepared == l.noopVersion:
		return nil
	default:
		return []AddressedOrder{newAddressedOrder(ranks, i, Prepare{Version: l.noopVersion, Sets: l.inForce.Sets})}
	}
}

// allPrepared reports whether all observed ranks have prepared a version.
func allPrepared(ranks []State, observed []bool, version uint64) bool {
	for i, r := range ranks {
		if isObserved(observed, i) && (!r.HasPrepared || r.Prepared != version) {
			return false
		}
	}
	return true
}
