package ranker

import (
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

const (
	// unledAfter is how long an agent is not looked at until it takes its group to
	// have no leader, who looks ten times a second.
	unledAfter = 600 * time.Millisecond
	// successors is how many agents ask the store then, in the order of their
	// ranks after the leader's; the others wait for lateAfter, as all of those may
	// be lost with the leader.
	successors = 6
	lateAfter  = 2500 * time.Millisecond
	// turn is the pause between two of them, so that few ask at once.
	turn = 15 * time.Millisecond
	// askAgain is the pause between two times of asking by a successor: a lease
	// ends a second after its leader. lateAgain is that of the others.
	askAgain  = 150 * time.Millisecond
	lateAgain = time.Second
)

// led is what an agent knows of its group's leader. It is safe for concurrent use.
//
// Load: 129 agents of which each follows in the store who leads. Harm prevented:
// calls that grow with the group, most of them while nothing happens. A leader looks
// at each rank ten times a second anyway, so an agent that is looked at asks nobody.
type led struct {
	mu sync.Mutex // guards all below
	// by is who leads, or led last, if known.
	by    predecessor
	known bool
	// seen is when that agent was last known to lead, and asked when the store
	// was last asked for it.
	seen, asked time.Time
}

// leads notes that an agent leads the group. One with a lower token than another
// that was heard of leads no longer.
func (l *led) leads(p predecessor, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known && p.Token < l.by.Token {
		return
	}
	l.by, l.known, l.seen = p, true, now
}

// holds notes that an agent holds the group's lease, by the store. It may be silent
// all the same.
func (l *led) holds(p predecessor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || p.Token > l.by.Token {
		l.by, l.known = p, true
	}
}

// ended notes that the agent with a token leads no longer. It reports false for one
// that has been followed by another.
func (l *led) ended(token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || l.by.Token != token {
		return false
	}
	l.seen, l.asked = time.Time{}, time.Time{}
	return true
}

// last returns who led the group last, and whether that is known.
func (l *led) last() (predecessor, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.by, l.known
}

// ask reports whether the agent of a rank asks the store now who leads its group of
// the given size, and notes that it does.
func (l *led) ask(rank, size int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	place := rank
	if l.known && size > 0 {
		place = (rank - l.by.Rank - 1 + size) % size
	}
	after, again := unledAfter, askAgain
	if place >= successors {
		after, again = lateAfter, lateAgain
	}
	after += time.Duration(place) * turn
	if l.seen.IsZero() {
		// Nobody leads: there is no silence to wait for.
		l.seen = now.Add(-unledAfter)
	}
	if now.Sub(l.seen) < after || now.Sub(l.asked) < again {
		return false
	}
	l.asked = now
	return true
}

// leaderFrom reads who leads.
func leaderFrom(p *fleetpb.Leader) predecessor {
	return predecessor{name: p.GetAgent(), Predecessor: lockstep.Predecessor{Token: p.GetToken(), Rank: int(p.GetRank())}}
}

// heardOf takes in what a look tells of the leader.
func (r *Ranker) heardOf(p *fleetpb.Leader, now time.Time) {
	switch {
	case p == nil:
	case !p.GetEnded():
		r.led.leads(leaderFrom(p), now)
	case r.led.ended(p.GetToken()):
		r.free.Raise()
	}
}
