package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Outcome is how one attempt at an endpoint ended: Delivered, NotRun, Failed,
// Unknown, Broken, Moved, Gone or
// Unused.
type Outcome interface{ outcome() }

// Delivered says that the caller has the whole answer.
type Delivered struct{}

// NotRun says that the endpoint truly did not run the request. Sent is false
// when no byte of it left.
type NotRun struct {
	Sent  bool
	Code  result.Code
	Cause error
}

// Failed holds a whole answer that reports a failure.
type Failed struct{ Answer *Whole }

// Unknown says that the request may have run and that nothing of its answer
// went to the caller.
type Unknown struct{ Cause error }

// Broken says that a part of the answer went to the caller and the rest did not
// come.
type Broken struct{ Cause error }

// Moved says that the request goes on at an endpoint that it has been given
// already, because this one holds up others.
type Moved struct{}

// Gone says that the caller left or stopped reading.
type Gone struct{ Cause error }

// Unused says that the place was given back before anything was sent to it.
type Unused struct{}

func (Delivered) outcome() {}
func (NotRun) outcome()    {}
func (Failed) outcome()    {}
func (Unknown) outcome()   {}
func (Broken) outcome()    {}
func (Moved) outcome()     {}
func (Gone) outcome()      {}
func (Unused) outcome()    {}

// Step is what follows an attempt: Again or End.
type Step int

// The steps.
const (
	// End means that the request's answer is decided by the last outcome.
	End Step = iota
	// Again means that the request goes to another endpoint.
	Again
)

// Tries is what a request has used up.
type Tries struct {
	// Sent is how many endpoints the request was sent to, and Unsent how many
	// took no byte of it.
	Sent, Unsent int
	// MayHaveRun says that an endpoint may have run it.
	MayHaveRun bool
}

const (
	// mostUnsent bounds how many endpoints are asked for a connection: with
	// DialTimeout each, three dark ones take less than a second.
	mostUnsent = 3
	// leastUseful is the least time left for which another attempt is made.
	// An endpoint that gets less gives up before it has an answer, and the
	// attempt would cost it work and the fleet its retry budget.
	leastUseful = 60 * time.Millisecond
)

// NextStep decides whether a request goes to another endpoint.
//
// Load: an endpoint or a data centre fails, and each of its requests asks for
// another attempt at those that are left. Harm prevented: a request that may
// run once running twice; attempts beyond what the route allows; and retries
// that outgrow the work which the remaining endpoints bear, which is what
// budget spends from. Budget is asked last, and only for what was sent: an
// endpoint that took no byte has not been loaded.
func NextStep(r *routing.Route, t Tries, o Outcome, left time.Duration, budget func() bool) Step {
	if left < leastUseful {
		return End
	}
	switch o := o.(type) {
	case NotRun:
		if !o.Sent {
			return again(t.Unsent < mostUnsent)
		}
		return again(t.Sent < r.MaxAttempts && budget())
	case Failed:
		return again(r.MayRepeat() && t.Sent < r.MaxAttempts && budget())
	case Unknown:
		return again(r.MayRepeat() && t.Sent < r.MaxAttempts && budget())
	case Broken:
		return again(r.Repeat == routing.Stream && r.Resumable && t.Sent < r.MaxAttempts && budget())
	default:
		return End
	}
}

func again(yes bool) Step {
	if yes {
		return Again
	}
	return End
}
