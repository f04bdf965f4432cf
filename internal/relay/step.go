package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Outcome is how one attempt at an endpoint ended: Delivered, NotRun, Failed, Unknown,
// Unusable, Interrupted, Moved, Disconnected or Unused.
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
type Failed struct{ Answer *BufferedAnswer }

// Unusable means that the endpoint ran the request, and that its answer can't follow the part of a stream
// that the caller has received. Cause is why the rest of the answer was not read, or nil.
type Unusable struct {
	Status int
	Cause  error
}

// Unknown means that the request may have run and that no part of its answer was forwarded.
type Unknown struct{ Cause error }

// Interrupted means that a part of the answer was forwarded and the rest did not arrive.
type Interrupted struct{ Cause error }

// Moved means that the request continues at another endpoint, already assigned.
type Moved struct{ Reason MoveReason }

// Disconnected means that the caller disconnected or stopped reading.
type Disconnected struct{ Cause error }

// Unused means that the assignment was given back before anything was sent to the endpoint.
type Unused struct{}

func (Delivered) outcome()    {}
func (NotRun) outcome()       {}
func (Failed) outcome()       {}
func (Unusable) outcome()     {}
func (Unknown) outcome()      {}
func (Interrupted) outcome()  {}
func (Moved) outcome()        {}
func (Disconnected) outcome() {}
func (Unused) outcome()       {}

// Decision says what follows an attempt.
type Decision int

// Values of Decision.
const (
	// End means that the last outcome decides the request's answer.
	End Decision = iota
	// Retry means that the request is sent to another endpoint.
	Retry
)

// AttemptCounts counts the attempts of a request.
type AttemptCounts struct {
	// Sent is the number of endpoints to which the request was sent, and Unsent the number that
	// received no byte of it.
	Sent, Unsent int
	// MayHaveRun means that an endpoint may have run the request.
	MayHaveRun bool
}

const (
	// maxUnsentAttempts bounds the number of endpoints to which a connection is tried. With
	// direct.DialTimeout for each, three unreachable endpoints take less than a second.
	maxUnsentAttempts = 3
	// minAttemptTime is the least time left for another attempt. An endpoint with less time gives
	// up before it has an answer, and the attempt would cost it work and the fleet its retry
	// budget.
	minAttemptTime = 60 * time.Millisecond
)

// NextDecision decides whether a request is sent to another endpoint.
//
// When an endpoint or a data centre fails, each of its requests asks for another attempt at the
// remaining ones. A request that may run once must not run twice, the route's attempts must not be
// exceeded, and retries must not exceed what the remaining endpoints can handle, which is what
// budget is for. budget is called last, and only for requests that were sent: an endpoint that
// received no byte has no load from them.
func NextDecision(r *routing.Route, counts AttemptCounts, o Outcome, left time.Duration, budget func() bool) Decision {
	if left < minAttemptTime {
		return End
	}
	switch o := o.(type) {
	case Unused:
		return Retry
	case NotRun:
		if !o.Sent {
			return retryIf(counts.Unsent < maxUnsentAttempts)
		}
		return retryIf(counts.Sent < r.MaxAttempts && budget())
	case Failed:
		return retryIf(r.MayRetry() && counts.Sent < r.MaxAttempts && budget())
	case Unknown:
		return retryIf(r.MayRetry() && counts.Sent < r.MaxAttempts && budget())
	case Interrupted, Unusable:
		return retryIf(r.RetrySemantics == routing.Stream && r.Resumable && counts.Sent < r.MaxAttempts && budget())
	default:
		return End
	}
}

func retryIf(retry bool) Decision {
	if retry {
		return Retry
	}
	return End
}
