package naming

import "github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"

// Head is what each order to a member carries.
type Head struct {
	// Token is the fencing token of the leader.
	Token uint64
	// Incarnation is the incarnation of the member that the order is for.
	Incarnation uint64
}

// Order is a message from the leader to a member. Each is idempotent, and the
// member answers each with its State, from which the leader sees whether it
// was obeyed.
type Order interface{ head() Head }

// Query asks for the member's state and lets it refuse older tokens from now
// on. It is meant for any incarnation.
type Query struct{ Head }

// Stage gives the member a map to keep ready.
type Stage struct {
	Head
	Map *expertmap.Map
}

// Hold asks the member not to let its ranks begin the name's step.
type Hold struct {
	Head
	Name Name
	// View holds the incarnation of each member that the leader counts on.
	View []uint64
}

// Release puts a committed name in force, which all members of View hold.
type Release struct {
	Head
	Name Name
	View []uint64
}

// Abandon ends the hold for a name that will not be released.
type Abandon struct {
	Head
	Name Name
}

func (q Query) head() Head   { return q.Head }
func (s Stage) head() Head   { return s.Head }
func (h Hold) head() Head    { return h.Head }
func (r Release) head() Head { return r.Head }
func (a Abandon) head() Head { return a.Head }

// State is what a member says of itself.
type State struct {
	Member      int
	Incarnation uint64
	// Number grows with each state of an incarnation, so that a late one is
	// known as such.
	Number uint64
	// Fence is the highest fencing token that the member has seen.
	Fence uint64
	// Joined says that the member knows what its group runs on. Orphan says
	// that it does not, and that no peer that answered does.
	Joined, Orphan bool
	// Begun is the last step that the ranks are known to have begun.
	Begun uint64
	// Granted is the last step that the ranks may begin without asking.
	Granted uint64
	// Schedule holds the names in force, oldest first.
	Schedule []Entry
	// Pending is the name that the member holds for, or the zero Name.
	Pending Name
	// Staged lists the maps that the engine keeps ready.
	Staged []Ref
}

// newer reports whether s was said after o by the same member.
func (s State) newer(o State) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.Number > o.Number
}

func (s State) staged(r Ref) bool {
	for _, o := range s.Staged {
		if o == r {
			return true
		}
	}
	return false
}

func (s State) inForce(n Name) bool {
	return scheduled(s.Schedule, Entry{From: n.Step, Map: n.Map})
}

// passed reports whether the ranks may already begin the name's step.
func (s State) passed(n Name) bool {
	return s.Granted >= n.Step || s.Begun >= n.Step
}

// Join is the question of a member that has started to a peer.
type Join struct {
	Member      int
	Incarnation uint64
}

// Joining is the answer to Join.
type Joining struct {
	// To is the incarnation that asked.
	To uint64
	// Noted is the highest incarnation of the asking member that the peer
	// has seen.
	Noted uint64
	State State
	// Maps holds the maps of the schedule and of the pending name.
	Maps []*expertmap.Map
}
