package lockstep

import (
	"fmt"
	"time"
)

// Arming is a map that a rank switches to as a step begins.
type Arming struct {
	Step, Version uint64
}

// State is what a rank reports.
type State struct {
	// Group names the group, and Epoch grows each time that it forms anew;
	// then nothing is prepared, armed or held, and map 0 is in force.
	Group string
	Epoch uint64
	// Rank is the rank's place among the Size of the group.
	Rank, Size int
	// Open says that the group takes requests.
	Open bool
	// Step is the last step that was begun.
	Step uint64
	// Sequence is how many orders the rank has taken, and Busy that one of
	// them is being carried out.
	Sequence uint64
	Busy     bool
	// Map is the version in force. Prepared is the one whose copy is
	// complete, if HasPrepared.
	Map, Prepared uint64
	HasPrepared   bool
	// Armed is nil when nothing is armed.
	Armed *Arming
	// Held is the step that the rank holds, or nil.
	Held *uint64
	// Running and Queued are the rank's requests.
	Running, Queued int
	// Born is the engine's start, in milliseconds since 1970.
	Born uint64
	// Pace is how many times slower than usual the engine works.
	Pace float64
	// AsOf is a moment on the leader's clock; the report is of then or later. A
	// report through the agent is of after it was asked for; engines report only
	// to their own VM what they are now.
	AsOf time.Time
}

// String describes what maps the rank has, for log lines.
func (s State) String() string {
	text := fmt.Sprintf("map %d", s.Map)
	if s.HasPrepared {
		text += fmt.Sprintf(", prepared %d", s.Prepared)
	}
	if s.Armed != nil {
		text += fmt.Sprintf(", armed %d at %d", s.Armed.Version, s.Armed.Step)
	}
	if s.Held != nil {
		text += fmt.Sprintf(", holds %d", *s.Held)
	}
	if s.Busy {
		text += ", busy"
	}
	return text
}

// Order is an order to one rank: Fence, Prepare, Arm, Disarm, Hold or Go.
type Order interface{ isOrder() }

// Fence changes nothing and shows the rank the leader's token, so that orders of
// earlier leaders are refused from then on, also those that come late.
type Fence struct{}

// Prepare has the rank copy what is new to it of a map: by set and rank the
// experts.
type Prepare struct {
	Version uint64
	Sets    [][][]int
}

// Arm has the rank switch to a prepared map as a step begins.
type Arm struct{ Version, Step uint64 }

// Disarm takes an Arm back.
type Disarm struct{ Version uint64 }

// Hold has the group not begin a step until Go.
type Hold struct{ Step uint64 }

// Go lets a held step begin.
type Go struct{ Step uint64 }

func (Fence) isOrder()   {}
func (Prepare) isOrder() {}
func (Arm) isOrder()     {}
func (Disarm) isOrder()  {}
func (Hold) isOrder()    {}
func (Go) isOrder()      {}

// Outcome is what became of an order.
type Outcome int

// The outcomes.
const (
	// Unknown means that no answer came: the order may be carried out later.
	Unknown Outcome = iota
	// Begun means that the rank has taken the order.
	Begun
	// Already means that the rank's state was so before.
	Already
	// Unfit means that the order doesn't fit the rank's state.
	Unfit
	// Fenced means that the rank has seen a newer leader.
	Fenced
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unknown", "begun", "already", "unfit", "fenced"}[o]
}

// Directive is an order for one rank that fits the state in which it was seen.
type Directive struct {
	Rank            int
	Epoch, Sequence uint64
	Order           Order
}

// Apply changes a state as an order does that was answered as done. It reports
// false for orders whose effect takes time or isn't known.
func Apply(s *State, o Order) bool {
	switch o := o.(type) {
	case Arm:
		s.Armed = &Arming{Step: o.Step, Version: o.Version}
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
