package lockstep

import (
	"time"
)

const (
	// armTime is how long a step may be held for ranks to be armed before the
	// leader gives the change up. Arming takes a few milliseconds; each
	// further one stalls all streams of the group, whose callers bear a pause
	// of 120 ms.
	armTime = 400 * time.Millisecond
	// refusedTime is how long a rank may refuse to prepare a map, or a flush,
	// before the leader takes another version. A copy takes 100 ms, in which a
	// repeated order is refused as well.
	refusedTime = 300 * time.Millisecond
	// mostAhead bounds by how many steps a hold is ahead, and mostLate by how
	// many more after holds that came too late.
	mostAhead = 12
	mostLate  = 4
)

// Goal is a map that shall come into force.
type Goal struct {
	Version uint64
	Sets    [][][]int
}

// Leader decides the orders to one group. Set the exported fields before the
// first call. It is not safe for concurrent use.
type Leader struct {
	// Own is the rank beside the leader, and Holder the one that is given holds.
	// They differ in a group of more than one rank, see Rescue.
	Own, Holder int
	// Before is the leader before this one, or nil when it isn't known.
	Before *Predecessor
	// Token is the leader's fencing token, which grows with each leader.
	Token uint64

	goal *Goal
	// refused says that a rank has refused to prepare the goal or the flush,
	// and refusedSince when that was first seen.
	refused      bool
	refusedSince time.Time
	// undo says that the held step is given up.
	undo bool
	// own is the step that this leader ordered to hold, for its goal, and late
	// by how many steps more ahead it has to be ordered, as it came too late.
	own, late uint64
	// heldSince is when the held step was first seen.
	heldSince time.Time
	// flush is the harmless version that ranks take before a step which was
	// given up is let go.
	flush uint64
	// newest is the largest version seen or used.
	newest uint64
	epoch  uint64
	// lead says how long before its beginning a step is held.
	lead lead
	// stepTime is how long a step lasts, from the steps seen.
	stepTime time.Duration
	lastStep uint64
	lastSeen time.Time
	// went is the step for which go was ordered with all ranks armed.
	went    uint64
	inForce *Goal
	// fenced holds when each rank was first known to have seen the leader's
	// token; zero means not yet.
	fenced  []time.Time
	deposed bool
}

// versionBits is how many bits of a version count the maps of one leader.
const versionBits = 20

// nextVersion returns a version that no leader has used.
//
// Guard: a rank that is still copying a map of an earlier leader does not report
// its version yet. Counted on from the versions that are reported, the next one
// would be the same number for another map: the rank refuses it, reports the
// number as prepared when its copy is complete, and is armed with a map that the
// others don't have. So versions begin with the leader's token.
func (l *Leader) nextVersion() uint64 {
	l.refused, l.refusedSince = false, time.Time{}
	l.newest = max(l.newest, l.Token<<versionBits) + 1
	return l.newest
}

// Propose sets the next map, if none is under way, and returns its version.
func (l *Leader) Propose(sets [][][]int) (uint64, bool) {
	if l.goal != nil {
		return 0, false
	}
	l.goal = &Goal{Version: l.nextVersion(), Sets: sets}
	return l.goal.Version, true
}

// Busy reports whether a change is under way.
func (l *Leader) Busy() bool { return l.goal != nil || !l.heldSince.IsZero() }

// Holding reports whether a step was held when the ranks were last seen whole.
func (l *Leader) Holding() bool { return !l.heldSince.IsZero() }

// Current tells the leader the map that is in force, which it needs in order to
// give a step up.
func (l *Leader) Current(version uint64, sets [][][]int) {
	l.inForce = &Goal{Version: version, Sets: sets}
}

// HeldFor returns for how long a step has been held, or 0 if none of the ranks
// holds one.
func (l *Leader) HeldFor(ranks []State, now time.Time) time.Duration {
	if _, held := l.held(ranks); !held || !l.Holding() {
		return 0
	}
	return now.Sub(l.heldSince)
}

// Awaited returns the ranks that keep a held step from being let go: those that
// are armed, or lack the version that is to be prepared on all.
func (l *Leader) Awaited(ranks []State) []int {
	var out []int
	for i, r := range ranks {
		if r.Armed != nil || !r.HasPrepared || r.Prepared != l.flush {
			out = append(out, i)
		}
	}
	return out
}

// InForce returns the map in force, or nil when it isn't known.
func (l *Leader) InForce() *Goal { return l.inForce }

// Answered tells what became of an order. A rank that has seen a newer leader
// deposes this one.
func (l *Leader) Answered(d Directive, o Outcome, now time.Time) {
	if o == Fenced {
		l.deposed = true
	}
	if p, ok := d.Order.(Prepare); ok && o == Unfit && p.Version == l.newest {
		l.refused = true
	}
	switch d.Order.(type) {
	case Hold:
		l.noteHold(o)
	case Go:
		l.noteGo(o, now)
	}
	if o != Unknown && d.Epoch == l.epoch && d.Rank < len(l.fenced) && l.fenced[d.Rank].IsZero() {
		l.fenced[d.Rank] = now
	}
}

// noteHold learns from a hold that came after its step had begun.
//
// Load: a large group, where a look at all ranks takes as long as half a pass.
// Harm prevented: each hold in turn came too late and cost a pass; four in a row
// were seen, 0.4 s in which the group went on with an old map.
func (l *Leader) noteHold(o Outcome) {
	switch o {
	case Unfit:
		l.late = min(l.late+1, mostLate)
	case Begun, Already:
		l.late = 0
	}
}

// noteGo learns how long a change took from its hold.
func (l *Leader) noteGo(o Outcome, now time.Time) {
	if o == Begun || o == Already {
		l.lead.end(now)
	}
}

// Changed returns how the last change went, once for each that was let go with
// all ranks armed.
func (l *Leader) Changed() (Change, bool) {
	c := l.lead.change
	if !l.lead.heldAt.IsZero() || c.Took == 0 {
		return Change{}, false
	}
	l.lead.change = Change{}
	return c, true
}

// Deposed reports whether a rank has seen a newer leader.
func (l *Leader) Deposed() bool { return l.deposed }

// Decide returns the orders to give now. Ranks holds the state of every rank by
// its number, all seen just now, after every earlier order was answered or given
// up: what can't be seen may be armed, see Rescue. Without begin only what is held or armed is brought to its end:
// a leader that is about to stop must not leave the group held.
func (l *Leader) Decide(ranks []State, begin bool, now time.Time) []Directive {
	if l.deposed || !l.agree(ranks) {
		return nil
	}
	l.observe(ranks, now)
	if out := l.fence(ranks, nil); len(out) > 0 {
		return out
	}
	if !l.settled(ranks, nil) {
		return nil
	}
	held, isHeld := l.held(ranks)
	armed, same := armedOf(ranks)
	if !isHeld {
		l.heldSince, l.undo, l.flush = time.Time{}, false, 0
		if !begin {
			return nil
		}
		return l.advance(ranks, armed, now)
	}
	if l.heldSince.IsZero() {
		l.heldSince = now
	}
	switch {
	case armed == len(ranks) && same && !l.undo, l.went == held.step && l.went != 0:
		l.went = held.step
		return release(ranks, held)
	case l.undo || l.giveUp(ranks, armed, same, held, now):
		l.undo = true
		l.lead.cancel()
		return l.takeBack(ranks, held, now)
	default:
		return l.arm(ranks, held)
	}
}

// fence shows the leader's token to the ranks that have not seen it, all or
// those of which seen is true. A decision rests on a look that comes after the
// last of them, so nothing else is ordered along with it.
func (l *Leader) fence(ranks []State, seen []bool) []Directive {
	var out []Directive
	for i := range ranks {
		if l.fenced[i].IsZero() && (seen == nil || seen[i]) {
			out = append(out, directive(ranks, i, Fence{}))
		}
	}
	return out
}

// directive is an order for a rank as it was seen.
func directive(ranks []State, i int, o Order) Directive {
	return Directive{Rank: i, Epoch: ranks[i].Epoch, Sequence: ranks[i].Sequence, Order: o}
}

// advance works towards the goal while nothing is held.
func (l *Leader) advance(ranks []State, armed int, now time.Time) []Directive {
	if l.goal == nil || armed > 0 {
		return nil
	}
	if l.stuck(now) {
		l.goal = nil
		return nil
	}
	var out []Directive
	ready := true
	for i, r := range ranks {
		if r.HasPrepared && r.Prepared == l.goal.Version {
			continue
		}
		ready = false
		if r.Map > l.goal.Version || r.HasPrepared && r.Prepared > l.goal.Version {
			// Another leader's version has come between.
			l.goal = nil
			return nil
		}
		if !r.Busy {
			out = append(out, directive(ranks, i, Prepare{Version: l.goal.Version, Sets: l.goal.Sets}))
		}
	}
	if !ready {
		return out
	}
	expected := l.lead.time(len(ranks))
	ahead := l.late + stepsAhead(expected, l.stepTime)
	step := l.newestStep(ranks) + ahead
	l.own = step
	l.lead.begin(Change{Step: step, Ahead: ahead, Expected: expected, StepTime: l.stepTime}, now)
	return []Directive{directive(ranks, l.Holder, Hold{Step: step})}
}

// target is the version that the held step is for: that of the ranks which are
// armed, or the goal.
func (l *Leader) target(ranks []State, armed int) (uint64, bool) {
	if armed > 0 {
		for _, r := range ranks {
			if r.Armed != nil {
				return r.Armed.Version, true
			}
		}
	}
	if l.goal == nil {
		return 0, false
	}
	return l.goal.Version, true
}

// arm arms the ranks that are not: first those that are neither the leader's own
// nor the holder, then the holder, and the leader's own last. Rescue rests on the
// last part. The one before it serves a leader that is lost in the moment of its
// hold, with its first arms on the way: the holder's isn't among them, so its
// successor finds a rank that is not armed. It costs some milliseconds a change.
func (l *Leader) arm(ranks []State, h holding) []Directive {
	armed, _ := armedOf(ranks)
	version, _ := l.target(ranks, armed)
	arm := func(i int) Directive { return directive(ranks, i, Arm{Version: version, Step: h.step}) }
	var out []Directive
	for i, r := range ranks {
		if r.Armed == nil && i != l.Own && i != l.Holder {
			out = append(out, arm(i))
		}
	}
	switch {
	case len(out) > 0:
		return out
	case ranks[l.Holder].Armed == nil && l.Holder != l.Own:
		return []Directive{arm(l.Holder)}
	default:
		return []Directive{arm(l.Own)}
	}
}
