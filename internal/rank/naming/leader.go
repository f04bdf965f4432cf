package naming

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

// Leader is the state machine of a group's leader under one fencing token. A
// new token needs a new Leader. Set the exported fields before the first call;
// it is not safe for concurrent use.
type Leader struct {
	// Members is the number of members in the group.
	Members int
	// Token is the fencing token of the lease.
	Token uint64
	// Resend is how long an answer of a member is waited for.
	Resend time.Duration
	// Refresh is how old a member's state may get before it is asked again
	// although there is nothing to tell it.
	Refresh time.Duration
	// HoldTime bounds how long a name that is not committed may be held for,
	// because ranks that reach its step wait.
	HoldTime time.Duration
	// Margin is how many steps a name is put beyond the bounds last heard of,
	// because members extend them while the hold is on its way. It should be
	// the members' Lookahead.
	Margin uint64

	until  time.Time
	states map[int]State
	// asked and seen say when a member was last sent an order that it has not
	// answered yet, and when it last answered.
	asked, seen map[int]time.Time

	record   Record
	revision int64
	// known says that record is what the key-value service holds, as far as
	// this leader knows; writing and reading that a call is under way.
	known, writing, reading bool
	written                 Record
	readAt                  time.Time
	// failed counts the reads in a row that failed.
	failed int

	goal *expertmap.Map
	maps []*expertmap.Map
	// name is the name that this leader is bringing into force, since when it
	// is held; given is the last one that it gave up before its commit was
	// known, so that nobody was released.
	name, given Name
	held        time.Time
	// tries counts the names given up since the last one got in force.
	tries   int
	deposed bool
}

// Action is what a Leader wants done.
type Action interface{ isAction() }

// Send sends an order to a member. Its answer goes to HandleState.
type Send struct {
	To    int
	Order Order
}

// ReadRecord reads the group's record. The answer goes to HandleRecord.
type ReadRecord struct{}

// WriteRecord replaces the record of a revision. The outcome goes to
// HandleWritten.
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
		l.asked = map[int]time.Time{}
		l.seen = map[int]time.Time{}
	}
}

// Extend notes until when the lease holds at least.
func (l *Leader) Extend(until time.Time) { l.until = until }

// Propose gives the leader a map to bring into force. It replaces a proposed
// map that no member holds for yet.
func (l *Leader) Propose(m *expertmap.Map) { l.goal = m }

// Learn gives the leader a map that it may have to stage again to finish a name
// of the leader before.
func (l *Leader) Learn(m *expertmap.Map) {
	for _, o := range l.maps {
		if RefOf(o) == RefOf(m) {
			return
		}
	}
	l.maps = append(l.maps, m)
	if len(l.maps) > keptMaps {
		l.maps = l.maps[1:]
	}
}

// Deposed reports whether a newer leader has been seen. A deposed Leader does
// nothing any more.
func (l *Leader) Deposed() bool { return l.deposed }

// Idle reports whether the leader has no name and no map to bring into force.
func (l *Leader) Idle() bool { return l.goal == nil && l.name == Name{} }

// HandleState takes a member's answer.
func (l *Leader) HandleState(s State, now time.Time) {
	l.init()
	if s.Member < 0 || s.Member >= l.Members {
		return
	}
	if s.Fence > l.Token {
		l.deposed = true
	}
	if old, ok := l.states[s.Member]; ok && !s.newer(old) {
		return
	}
	l.states[s.Member] = s
	l.seen[s.Member] = now
	delete(l.asked, s.Member)
}

// HandleRecord takes the answer to ReadRecord; ok is false when it failed.
func (l *Leader) HandleRecord(r Record, revision int64, ok bool) {
	l.reading = false
	if !ok {
		l.failed = min(l.failed+1, maxBackOff)
		return
	}
	l.failed = 0
	l.record, l.revision, l.known = r, revision, true
	if r.Token > l.Token {
		l.deposed = true
	}
}

// HandleWritten takes the outcome of WriteRecord.
func (l *Leader) HandleWritten(o WriteOutcome) {
	l.writing = false
	if o == Written {
		l.record = l.written
	}
}

// Step returns what to do at a time. Call it after each answer and each Resend.
func (l *Leader) Step(now time.Time) []Action {
	l.init()
	if l.deposed {
		return nil
	}
	var actions []Action
	if !l.known && !l.reading && !l.writing && l.due(now) {
		l.reading = true
		actions = append(actions, ReadRecord{})
	}
	if l.known && l.record.Token != l.Token {
		actions = append(actions, l.write(Record{Token: l.Token, Name: l.record.Name})...)
	}
	if !l.ready() {
		return append(actions, l.askAll(now)...)
	}
	actions = append(actions, l.decide(now)...)
	return append(actions, l.refresh(now)...)
}

// write replaces the record. Whatever its outcome, the record has to be read
// again before the next write.
func (l *Leader) write(r Record) []Action {
	if l.writing || l.reading {
		return nil
	}
	l.writing, l.known, l.written = true, false, r
	return []Action{WriteRecord{Revision: l.revision, Record: r}}
}

// ready reports whether the leader may decide: its token is in the record, so
// that no older leader can commit a name, and all members have seen it, so that
// they refuse what older leaders have sent.
//
// Failure: two leaders at once. It shows as two names for one step. The token
// in the record makes the compare-and-swap of the older one fail, and what it
// had committed before can be read here.
func (l *Leader) ready() bool {
	if l.record.Token != l.Token || len(l.states) < l.Members {
		return false
	}
	for _, s := range l.states {
		if s.Fence != l.Token {
			return false
		}
	}
	return true
}

func (l *Leader) askAll(now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		if s, ok := l.states[i]; !ok || s.Fence != l.Token {
			actions = append(actions, l.send(i, Query{Head{Token: l.Token}}, now)...)
		}
	}
	return actions
}

// refresh asks the members that have not been heard of for a while.
func (l *Leader) refresh(now time.Time) []Action {
	var actions []Action
	for i := range l.Members {
		if now.Sub(l.seen[i]) < l.Refresh {
			continue
		}
		actions = append(actions, l.send(i, Query{Head{Token: l.Token}}, now)...)
	}
	return actions
}

// send sends an order unless the member was asked within Resend.
func (l *Leader) send(to int, o Order, now time.Time) []Action {
	if at, ok := l.asked[to]; ok && now.Sub(at) < l.Resend {
		return nil
	}
	l.asked[to] = now
	return []Action{Send{To: to, Order: o}}
}

// maxBackOff bounds the back-off of reads: 32 times Resend.
const maxBackOff = 5

// due reports whether the record may be read again.
//
// Load: hundreds of groups whose leaders all wait for a platform that is down or
// slow. Harm prevented: their reads, each Resend, would take up the platform's
// reads when it comes back and keep it down. After each failure a leader waits
// twice as long, up to 32 times Resend: with 0.2 s, 375 groups make 60 reads a
// second at most, and a name is late by some seconds once the platform answers.
func (l *Leader) due(now time.Time) bool {
	if !l.readAt.IsZero() && now.Sub(l.readAt) < l.Resend<<l.failed {
		return false
	}
	l.readAt = now
	return true
}

func (l *Leader) head(to int) Head {
	return Head{Token: l.Token, Incarnation: l.states[to].Incarnation}
}

// view returns the incarnations that the leader counts on.
func (l *Leader) view() []uint64 {
	view := make([]uint64, l.Members)
	for i := range view {
		view[i] = l.states[i].Incarnation
	}
	return view
}

// Settled reports whether the leader has no name on its way. A map that is only
// proposed does not count.
func (l *Leader) Settled() bool { return l.name == Name{} }

// Current returns what all members run on, and false while they differ or a
// name is on its way.
func (l *Leader) Current() (Ref, bool) {
	if l.deposed || !l.ready() || !l.Idle() || l.active() != (Name{}) {
		return Ref{}, false
	}
	r := latest(l.states[0].Schedule).Map
	same := l.all(func(s State) bool { return s.Joined && latest(s.Schedule).Map == r })
	return r, same
}

// Lost reports whether all members have lost their maps, so that the group needs
// a map from outside.
func (l *Leader) Lost() bool {
	return !l.deposed && l.ready() && l.Idle() && l.all(func(s State) bool { return !s.Joined && s.Orphan })
}
