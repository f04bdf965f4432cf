package ranker

import (
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

const (
	// leaderTimeout is how long an agent goes without a poll by the leader before it
	// assumes that the group has none. Leaders poll ten times a second.
	leaderTimeout = 600 * time.Millisecond
	// firstCandidates is how many agents ask the store after leaderTimeout, in the
	// order of their ranks after the leader's. The others ask after
	// lateLeaderTimeout, in case all the first candidates were lost together with
	// the leader.
	firstCandidates   = 6
	lateLeaderTimeout = 2500 * time.Millisecond
	// askStagger is the delay between the queries of two successive candidates, so
	// that few ask at once.
	askStagger = 15 * time.Millisecond
	// askInterval is the time between two queries by the same first candidate, which
	// asks repeatedly because a lease lapses only a second after its leader fails.
	// lateAskInterval is that of the other agents.
	askInterval     = 150 * time.Millisecond
	lateAskInterval = time.Second
)

// leaderTracker tracks which agent leads the group. It is safe for concurrent use.
//
// In a group of 129 agents, having each one watch the leader's key in the store would
// cost calls that grow with the group, most of them while nothing happens. Since a
// leader polls each rank ten times a second, an agent that is polled does not ask the
// store.
type leaderTracker struct {
	mu sync.Mutex // guards all below
	// leader is the current leader, or the last one; it is valid if known is set.
	leader leaderInfo
	known  bool
	// lastSeen is when that agent was last known to lead, lastAsked when the store
	// was last asked for the lease's holder.
	lastSeen, lastAsked time.Time
}

// observe records that an agent leads the group at the given time. An agent with a
// lower token than the recorded one no longer leads and is ignored.
func (l *leaderTracker) observe(leader leaderInfo, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known && leader.Token < l.leader.Token {
		return
	}
	l.leader, l.known, l.lastSeen = leader, true, now
}

// setHolder records that an agent holds the group's lease according to the store.
// Such an agent may have failed since, so the time at which a leader was last seen
// stays the same.
func (l *leaderTracker) setHolder(holder leaderInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || holder.Token > l.leader.Token {
		l.leader, l.known = holder, true
	}
}

// recordEnd records that the term with the given token has ended. It reports false
// unless the recorded leader has that token.
func (l *leaderTracker) recordEnd(token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || l.leader.Token != token {
		return false
	}
	l.lastSeen, l.lastAsked = time.Time{}, time.Time{}
	return true
}

// last returns the group's current or last leader and whether one is known.
func (l *leaderTracker) last() (leaderInfo, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader, l.known
}

// silence returns how long ago an agent was last known to lead.
func (l *leaderTracker) silence(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastSeen)
}

// shouldAsk reports whether the agent of the given rank, in a group of the given
// size, should ask the store now which agent leads. If so, it records now as the time
// of the query.
func (l *leaderTracker) shouldAsk(rank, size int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	distance := rank
	if l.known && size > 0 {
		distance = (rank - l.leader.Rank - 1 + size) % size
	}
	timeout, interval := leaderTimeout, askInterval
	if distance >= firstCandidates {
		timeout, interval = lateLeaderTimeout, lateAskInterval
	}
	timeout += time.Duration(distance) * askStagger
	if l.lastSeen.IsZero() {
		// No leader has been seen, or its term has ended, so leaderTimeout counts as
		// elapsed.
		l.lastSeen = now.Add(-leaderTimeout)
	}
	if now.Sub(l.lastSeen) < timeout || now.Sub(l.lastAsked) < interval {
		return false
	}
	l.lastAsked = now
	return true
}

// leaderFromProto decodes the leader named in a message.
func leaderFromProto(msg *fleetpb.Leader) leaderInfo {
	return leaderInfo{name: msg.GetAgent(), Predecessor: lockstep.Predecessor{Token: msg.GetToken(), Rank: int(msg.GetRank())}}
}

// noteLeader records what a poll request says about the leader; msg may be nil.
func (r *Ranker) noteLeader(msg *fleetpb.Leader, now time.Time) {
	r.noteLapsed(msg.GetLapsed(), now)
	switch {
	case msg == nil:
	case !msg.GetEnded():
		r.leader.observe(leaderFromProto(msg), now)
	case r.leader.recordEnd(msg.GetToken()):
		r.leaderGone.Raise()
	}
}
