package admission

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Request is what a decision needs to know about one request.
type Request struct {
	// ID is unique among the open requests of the entry.
	ID string
	// Account and Route name the payer and the model or service of the preset.
	Account string
	Route   string
	// Worth is what a whole answer on time is worth. Zero or less means the
	// worth of the account.
	Worth float64
	// Priority orders the requests of one account; higher goes first. It gives
	// no precedence over other accounts.
	Priority int
	// Deadline is when the whole answer must be there. Zero means the arrival
	// plus Controller.MaxWait.
	Deadline time.Time
	// ExpectedRun is the estimated running time at an endpoint. Zero or less
	// means the mean of the route.
	ExpectedRun time.Duration
	// RunOnce marks a request that may not be repeated.
	RunOnce bool
	// Tokens is prompt plus expected output tokens. It is not used for the
	// order and is handed through to the Placer.
	Tokens int
}

// Placer reports whether r was given a place at an endpoint. False means that
// the route has no free place now. A Placer must not call the Controller.
type Placer func(r *Request) bool

// Decision is the outcome of an arrival: Start, Wait or Refuse.
type Decision interface{ decision() }

// Start means that the Placer has given the request a place.
type Start struct{}

// Wait means that the request is in the queue. Each waiting request later
// appears once in the result of Next, or as displaced, unless it is cancelled.
type Wait struct {
	// Expected is the estimated time until the request starts.
	Expected time.Duration
	// Displaced lists waiting requests that gave their place to this one.
	Displaced []Refusal
}

// Refuse means that the request has not been run and will not be.
type Refuse struct {
	// Code has the effect NotRun.
	Code result.Code
	// RetryAfter is when the caller should come back. It is zero only when
	// coming back with the same request can't help.
	RetryAfter time.Duration
}

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Refusal is a refusal of a request that was waiting.
type Refusal struct {
	ID string
	Refuse
}
