package naming

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

// Leader is the state machine of a group's leader under one fencing token. A
// new token needs a new Leader. Set the exported fields before the first call.
// A Leader is not safe for concurrent use.
type Leader struct {
	// Members is the number of members in the group.
	Members int
	// Token is the fencing token of the lease.
	Token uint64
	// ResendInterval is how long the leader waits for a member's reply before
	// it sends another order to this member.
	ResendInterval time.Duration
	// RefreshInterval is the age at which a member's state is queried again
	// although there is no order for it.
	RefreshInterval time.Duration
	// HoldTime is how long members may hold an activation that is not
	// committed. It is bounded because ranks that reach the activation's step
	// wait there.
	HoldTime time.Duration
	// StepMargin is the minimum number of steps between the highest step limit
	// reported and the step of an activation. It is needed because members
	// extend their limits while the hold order is in transit, and should equal
	// the members' Lookahead.
	StepMargin uint64

	// leaseUntil is the time until which the lease is held at least.
	leaseUntil time.Time
	states     map[int]State
	// sentAt holds when a member was last sent an order that it has not
	// answered yet, repliedAt when it last answered.
	sentAt, repliedAt map[int]time.Time

	record   Record
	revision int64
	// recordKnown is set while record and revision are what this leader last
	// read and it has not written since. reading and writing are set while a
	// call is in progress, and inFlightRecord is the record that is being
	// written.
	recordKnown, writing, reading bool
	inFlightRecord                Record
	lastReadAt                    time.Time
	// failedReads counts consecutive failed reads, up to maxReadBackoff.
	failedReads int

	proposed  *expertmap.Map
	knownMaps []*expertmap.Map
	// current is the activation that this leader started, at startedAt, and is
	// carrying out. abandoned is the last one that it abandoned before it knew
	// of a commit, so that no member was released.
	current, abandoned Activation
	startedAt          time.Time
	// failedAttempts counts the activations abandoned since all members last
	// scheduled one, up to maxFailedAttempts.
	failedAttempts int
	deposed        bool
}

// Action is an operation that a Leader requests from its caller.
type Action interface{ isAction() }

// Send sends an order to a member. The reply goes to HandleState.
type Send struct {
	To    int
	Order Order
}

// ReadRecord reads the group's record. The result goes to HandleRecord.
type ReadRecord struct{}

// WriteRecord replaces the group's record if it is still at Revision. The
// outcome goes to HandleWritten.
type WriteRecord struct {
	Revision int64
	Record   Record
}

func (Send) isAction()        {}
func (ReadRecord) isAction()  {}
func (WriteRecord) isAction() {}

func (l *Leader) init() {
	if l.states == nil {
		l.states = map[int]State{}
		l.sentAt = map[int]time.Time{}
		l.repliedAt = map[int]time.Time{}
	}
}

// ExtendLease records that the lease is held at least until the given time.
func (l *Leader) ExtendLease(until time.Time) { l.leaseUntil = until }

// Propose sets the map to activate next. It replaces a proposed map whose
// activation has not been started yet.
func (l *Leader) Propose(m *expertmap.Map) { l.proposed = m }

// AddKnownMap adds a map that the leader may have to stage again to finish an
// activation of its predecessor.
func (l *Leader) AddKnownMap(m *expertmap.Map) {
	for _, known := range l.knownMaps {
		if RefOf(known) == RefOf(m) {
			return
		}
	}
	l.knownMaps = append(l.knownMaps, m)
	if len(l.knownMaps) > maxMaps {
		l.knownMaps = l.knownMaps[1:]
	}
}

// Deposed reports whether a newer leader has been seen. A deposed Leader
// requests no further actions.
func (l *Leader) Deposed() bool { return l.deposed }

// Idle reports whether the leader has no activation of its own in progress and
// no proposed map.
func (l *Leader) Idle() bool { return l.proposed == nil && l.current == Activation{} }

// HandleState processes a member's reply. It ignores members outside the group
// and states older than the last one.
func (l *Leader) HandleState(s State, now time.Time) {
	l.init()
	if s.Member < 0 || s.Member >= l.Members {
		return
	}
	if s.MaxToken > l.Token {
		l.deposed = true
	}
	if old, ok := l.states[s.Member]; ok && !s.newer(old) {
		return
	}
	l.states[s.Member] = s
	l.repliedAt[s.Member] = now
	delete(l.sentAt, s.Member)
}

// HandleRecord processes the result of ReadRecord. ok is false if the read
// failed.
func (l *Leader) HandleRecord(r Record, revision int64, ok bool) {
	l.reading = false
	if !ok {
		l.failedReads = min(l.failedReads+1, maxReadBackoff)
		return
	}
	l.failedReads = 0
	l.record, l.revision, l.recordKnown = r, revision, true
	if r.Token > l.Token {
		l.deposed = true
	}
}

// HandleWritten processes the outcome of WriteRecord.
func (l *Leader) HandleWritten(o WriteOutcome) {
	l.writing = false
	if o == Written {
		l.record = l.inFlightRecord
	}
}

// Tick returns the actions to take at the time now. Call it after each reply
// and once per ResendInterval.
func (l *Leader) Tick(now time.Time) []Action {
	l.init()
	if l.deposed {
		return nil
	}
	var actions []Action
	if !l.recordKnown && !l.reading && !l.writing && l.readDue(now) {
		l.reading = true
		actions = append(actions, ReadRecord{})
	}
	if l.recordKnown && l.record.Token != l.Token {
		actions = append(actions, l.writeRecord(Record{Token: l.Token, Activation: l.record.Activation})...)
	}
	if !l.ready() {
		return append(actions, l.queryAll(now)...)
	}
	actions = append(actions, l.decide(now)...)
	return append(actions, l.queryStale(now)...)
}

// writeRecord replaces the record. Whatever the outcome, the record is read
// again before the next write.
func (l *Leader) writeRecord(r Record) []Action {
	if l.writing || l.reading {
		return nil
	}
	l.writing, l.recordKnown, l.inFlightRecord = true, false, r
	return []Action{WriteRecord{Revision: l.revision, Record: r}}
}

// ready reports whether the leader may decide: the record has its token, so
// that no older leader can commit an activation, and all members have seen the
// token, so that they refuse orders of older leaders.
//
// This keeps two concurrent leaders from activating two maps for one step. The
// token in the record makes the older leader's compare-and-swap fail, and
// reading the record shows what that leader committed before.
func (l *Leader) ready() bool {
	if l.record.Token != l.Token || len(l.states) < l.Members {
		return false
	}
	for _, s := range l.states {
		if s.MaxToken != l.Token {
			return false
		}
	}
	return true
}

// queryAll queries the members that have not seen this leader's token.
func (l *Leader) queryAll(now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		if s, ok := l.states[i]; !ok || s.MaxToken != l.Token {
			actions = append(actions, l.send(i, Query{OrderHeader{Token: l.Token}}, now)...)
		}
	}
	return actions
}

// queryStale queries the members whose last reply is at least RefreshInterval
// old.
func (l *Leader) queryStale(now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		if now.Sub(l.repliedAt[i]) < l.RefreshInterval {
			continue
		}
		actions = append(actions, l.send(i, Query{OrderHeader{Token: l.Token}}, now)...)
	}
	return actions
}

// send sends an order unless an order to this member is unanswered and less
// than ResendInterval old.
func (l *Leader) send(to int, o Order, now time.Time) []Action {
	if at, ok := l.sentAt[to]; ok && now.Sub(at) < l.ResendInterval {
		return nil
	}
	l.sentAt[to] = now
	return []Action{Send{To: to, Order: o}}
}

// maxReadBackoff limits the back-off between reads to 32 times ResendInterval.
const maxReadBackoff = 5

// readDue reports whether the record may be read again, and notes the time of
// the read if so.
//
// Leaders of hundreds of groups may wait for a platform that is down or slow.
// If each read every ResendInterval, they would use up the platform's read
// capacity as it recovers and keep it down. The delay therefore doubles with
// each failure, up to 32 times ResendInterval. With a ResendInterval of 0.2 s,
// 375 groups make at most 60 reads a second, and an activation is delayed by
// some seconds once the platform answers.
func (l *Leader) readDue(now time.Time) bool {
	if !l.lastReadAt.IsZero() && now.Sub(l.lastReadAt) < l.ResendInterval<<l.failedReads {
		return false
	}
	l.lastReadAt = now
	return true
}

func (l *Leader) header(to int) OrderHeader {
	return OrderHeader{Token: l.Token, Incarnation: l.states[to].Incarnation}
}

// view returns, by member, the incarnations on which the leader's decisions
// rely.
func (l *Leader) view() []uint64 {
	view := make([]uint64, l.Members)
	for i := range view {
		view[i] = l.states[i].Incarnation
	}
	return view
}

// NoActivationInProgress reports whether the leader has no activation of its
// own in progress. A proposed map does not count, and neither does another
// leader's activation that members still hold.
func (l *Leader) NoActivationInProgress() bool { return l.current == Activation{} }

// CurrentMap returns the newest map in the schedules of all members. It returns
// false if the leader is deposed or not ready yet, a map is proposed, an
// activation is in progress or the newest maps differ.
func (l *Leader) CurrentMap() (Ref, bool) {
	if l.deposed || !l.ready() || !l.Idle() || l.inProgress() != (Activation{}) {
		return Ref{}, false
	}
	r := latestEntry(l.states[0].Schedule).Map
	same := l.allMembers(func(s State) bool { return s.Joined && latestEntry(s.Schedule).Map == r })
	return r, same
}

// AllMapsLost reports whether all members have lost their maps, so that one has
// to be proposed. It returns false if the leader is deposed, not ready yet or
// not idle.
func (l *Leader) AllMapsLost() bool {
	return !l.deposed && l.ready() && l.Idle() && l.allMembers(func(s State) bool { return !s.Joined && s.NoPeerJoined })
}
