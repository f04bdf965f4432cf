package lockstep

import (
	"fmt"
	"time"
)

// ArmedMap is a map version and the step at which a rank switches to it.
type ArmedMap struct {
	Step, Version uint64
}

// State is the state that a rank reports.
type State struct {
	// Group is the name of the group. Epoch increases each time the group forms
	// anew; then nothing is prepared, armed or held, and map 0 is in force.
	Group string
	Epoch uint64
	// Rank is the rank's number in the group, from 0, and Size the number of
	// ranks.
	Rank, Size int
	// Accepting reports whether the group accepts requests.
	Accepting bool
	// Step is the last step that has begun.
	Step uint64
	// Sequence is the number of orders that the rank has accepted. Busy reports
	// whether it is executing one of them.
	Sequence uint64
	Busy     bool
	// Map is the version in force. Prepared is the version whose copy is
	// complete; it is valid only if HasPrepared is true.
	Map, Prepared uint64
	HasPrepared   bool
	// Armed is nil when the rank is not armed.
	Armed *ArmedMap
	// Held is the step that the rank holds, or nil.
	Held *uint64
	// Running and Queued are the numbers of running and queued requests of the
	// rank.
	Running, Queued int
	// StartMillis is the start time of the engine, in milliseconds since the
	// Unix epoch.
	StartMillis uint64
	// Slowdown is the ratio of the engine's current step time to its usual one;
	// a value above 1 is slower.
	Slowdown float64
	// AsOf is a time on the leader's clock at or before the moment that the
	// report describes. A report obtained through the agent describes the rank
	// after it was requested; an engine reports its current state only to
	// clients on its own VM, and an older one to others.
	AsOf time.Time
}

// String describes the maps and the held step of the rank for log lines.
func (s State) String() string {
	text := fmt.Sprintf("map %d", s.Map)
	if s.HasPrepared {
		text += fmt.Sprintf(", prepared %d", s.Prepared)
	}
	if s.Armed != nil {
		text += fmt.Sprintf(", armed with %d for step %d", s.Armed.Version, s.Armed.Step)
	}
	if s.Held != nil {
		text += fmt.Sprintf(", holds step %d", *s.Held)
	}
	if s.Busy {
		text += ", busy"
	}
	return text
}

// Order is an order to one rank: Fence, Prepare, Arm, Disarm, Hold or Release.
type Order interface{ isOrder() }

// Fence changes nothing but the highest token that the rank has seen, so that
// it rejects orders of earlier leaders from then on, including delayed ones.
type Fence struct{}

// Prepare orders the rank to copy the experts of a map that it does not have
// yet. Sets[s][r] lists the experts of layer set s on rank r.
type Prepare struct {
	Version uint64
	Sets    [][][]int
}

// Arm orders the rank to switch to a prepared map when Step begins.
type Arm struct{ Version, Step uint64 }

// Disarm cancels an Arm.
type Disarm struct{ Version uint64 }

// Hold prevents the group from beginning Step until Release.
type Hold struct{ Step uint64 }

// Release releases a held step.
type Release struct{ Step uint64 }

func (Fence) isOrder()   {}
func (Prepare) isOrder() {}
func (Arm) isOrder()     {}
func (Disarm) isOrder()  {}
func (Hold) isOrder()    {}
func (Release) isOrder() {}

// Outcome is the result of an order.
type Outcome int

// The outcomes of an order.
const (
	// Unknown means that no reply arrived: the order may be executed later.
	Unknown Outcome = iota
	// Accepted means that the rank has accepted the order, but may not have
	// executed it yet.
	Accepted
	// Done means that the rank is in the ordered state: it was already, or it
	// has just executed the order.
	Done
	// Rejected means that the rank rejected the order because it does not fit
	// the rank's state.
	Rejected
	// Fenced means that the rank has seen the token of a newer leader.
	Fenced
)

// String returns the name of the outcome in log lines, which differs from that
// of the constant.
func (o Outcome) String() string {
	return [...]string{"unknown", "begun", "already", "unfit", "fenced"}[o]
}

// AddressedOrder is an order for one rank, valid for the epoch and sequence
// number at which the rank was observed.
type AddressedOrder struct {
	Rank            int
	Epoch, Sequence uint64
	Order           Order
}

// Apply updates s with the effect of an order that was acknowledged as
// executed. It returns false, and leaves s as it is, for orders whose effect
// takes time or is not known.
func Apply(s *State, o Order) bool {
	switch o := o.(type) {
	case Arm:
		s.Armed = &ArmedMap{Step: o.Step, Version: o.Version}
	case Disarm:
		s.Armed = nil
	case Hold:
		step := o.Step
		s.Held = &step
	default:
		return false
	}
	return true
}
