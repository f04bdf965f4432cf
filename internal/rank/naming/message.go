package naming

import "github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"

// OrderHeader is the header of every order to a member.
type OrderHeader struct {
	// Token is the fencing token of the leader.
	Token uint64
	// Incarnation is the incarnation of the member that the order is meant for.
	Incarnation uint64
}

// Order is a message from the leader to a member. Orders are idempotent. The
// member answers each with its State, which shows the leader whether the order
// was obeyed.
type Order interface{ header() OrderHeader }

// Query asks for the member's state and makes it refuse older tokens from now
// on. It applies to any incarnation.
type Query struct{ OrderHeader }

// Stage gives the member a map for its engine to load.
type Stage struct {
	OrderHeader
	Map *expertmap.Map
}

// Hold asks the member not to let its ranks begin the activation's step.
type Hold struct {
	OrderHeader
	Activation Activation
	// View holds, by member, the incarnations on which the leader relies.
	View []uint64
}

// Release puts a committed activation, which all members hold, into effect.
// View is that of Hold.
type Release struct {
	OrderHeader
	Activation Activation
	View       []uint64
}

// Abandon ends the hold of an activation that will not be released.
type Abandon struct {
	OrderHeader
	Activation Activation
}

func (q Query) header() OrderHeader   { return q.OrderHeader }
func (s Stage) header() OrderHeader   { return s.OrderHeader }
func (h Hold) header() OrderHeader    { return h.OrderHeader }
func (r Release) header() OrderHeader { return r.OrderHeader }
func (a Abandon) header() OrderHeader { return a.OrderHeader }

// State is a member's report about itself.
type State struct {
	Member      int
	Incarnation uint64
	// Sequence increases with each state of an incarnation, so that a delayed
	// state is recognized.
	Sequence uint64
	// MaxToken is the highest fencing token that the member has seen.
	MaxToken uint64
	// Joined is set once the member knows its group's schedule.
	// NoPeerJoined is set if it does not and all peers have replied that they
	// do not either.
	Joined, NoPeerJoined bool
	// LastStep is the last step that the ranks are known to have begun.
	LastStep uint64
	// StepLimit is the last step that the ranks may have been allowed to begin.
	StepLimit uint64
	// Schedule holds the released activations, oldest first.
	Schedule []ScheduleEntry
	// Pending is the activation that the member holds, or the zero Activation.
	Pending Activation
	// Staged lists the maps that are loaded in the engine and known to the
	// member.
	Staged []Ref
}

// newer reports whether s was reported after other by the same member.
func (s State) newer(other State) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Sequence > other.Sequence
}

func (s State) hasStaged(r Ref) bool {
	for _, staged := range s.Staged {
		if staged == r {
			return true
		}
	}
	return false
}

// hasScheduled reports whether the member's schedule has the activation.
func (s State) hasScheduled(a Activation) bool {
	return containsEntry(s.Schedule, ScheduleEntry{FirstStep: a.Step, Map: a.Map})
}

// mayBegin reports whether the ranks may already begin the activation's step.
func (s State) mayBegin(a Activation) bool {
	return s.StepLimit >= a.Step || s.LastStep >= a.Step
}

// Join asks a peer for the group's state. A member sends it after its start and
// after a restart of its ranks.
type Join struct {
	Member      int
	Incarnation uint64
}

// JoinReply is the reply to Join.
type JoinReply struct {
	// SenderIncarnation is the incarnation that sent the Join.
	SenderIncarnation uint64
	// KnownIncarnation is the highest incarnation of the Join's sender that the
	// peer knows.
	KnownIncarnation uint64
	State            State
	// Maps holds the maps of the schedule and of the pending activation.
	Maps []*expertmap.Map
}
