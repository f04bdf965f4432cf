package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Outcome is how one attempt at an endpoint ended: Delivered, NotRun, Failed, Unknown, Broken,
// Moved, Gone or Unused.
type Outcome interface{ outcome() }

// Delivered means that the caller has the complete answer.
type Delivered struct{}

// NotRun means that the endpoint certainly did not run the request. Sent is false if no byte of it
// was sent.
type NotRun struct {
	Sent  bool
	Code  result.Code
	Cause error
}

// Failed holds a complete answer that reports a failure.
type Failed struct{ Answer *Whole }

// Unknown means that the request may have run and that no part of its answer was forwarded.
type Unknown struct{ Cause error }

// Broken means that a part of the answer was forwarded and the rest did not arrive.
type Broken struct{ Cause error }

// Moved means that the request continues at another endpoint, already assigned, because this one
// holds up its group.
type Moved struct{}

// Gone means that the caller disconnected or stopped reading.
type Gone struct{ Cause error }

// Unused means that the place was given back before anything was sent to the endpoint.
type Unused struct{}

func (Delivered) outcome() {}
func (NotRun) outcome()    {}
func (Failed) outcome()    {}
func (Unknown) outcome()   {}
func (Broken) outcome()    {}
func (Moved) outcome()     {}
func (Gone) outcome()      {}
func (Unused) outcome()    {}

// Step is the decision after an attempt.
type Step int

// Values of Step.
const (
	// End means that the last outcome decides the request's answer.
	End Step = iota
	// Again means that the request is sent to another endpoint.
	Again
)

// Tries counts the attempts of a request.
type Tries struct {
	// Sent is the number of endpoints to which the request was sent, and Unsent the number that
	// received no byte of it.
	Sent, Unsent int
	// MayHaveRun means that an endpoint may have run the request.
	MayHaveRun bool
}

const (
	// maxUnsentAttempts bounds the number of endpoints to which a connection is tried. With
	// DialTimeout for each, three unreachable endpoints take less than a second.
	maxUnsentAttempts = 3
	// minAttemptTime is the least time left for another attempt. An endpoint with less time gives
	// up before it has an answer, and the attempt would cost it work and the fleet its retry
	// budget.
	minAttemptTime = 60 * time.Millisecond
)

// NextStep decides whether a request is sent to another endpoint.
//
// When an endpoint or a data centre fails, each of its requests asks for another attempt at the
// remaining ones. A request that may run once must not run twice, the route's attempts must not be
// exceeded, and retries must not exceed what the remaining endpoints can handle, which is what
// budget is for. budget is called last, and only for requests that were sent: an endpoint that
// received no byte has no load from them.
func NextStep(r *routing.Route, t Tries, o Outcome, left time.Duration, budget func() bool) Step {
	if left < minAttemptTime {
		return End
	}
	switch o := o.(type) {
	case NotRun:
		if !o.Sent {
			return againIf(t.Unsent < maxUnsentAttempts)
		}
		return againIf(t.Sent < r.MaxAttempts && budget())
	case Failed:
		return againIf(r.MayRepeat() && t.Sent < r.MaxAttempts && budget())
	case Unknown:
		return againIf(r.MayRepeat() && t.Sent < r.MaxAttempts && budget())
	case Broken:
		return againIf(r.Repeat == routing.Stream && r.Resumable && t.Sent < r.MaxAttempts && budget())
	default:
		return End
	}
}

func againIf(retry bool) Step {
	if retry {
		return Again
	}
	return End
}
