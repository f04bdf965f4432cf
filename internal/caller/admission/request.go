package admission

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Request describes one request to the Controller.
type Request struct {
	// ID is unique among the open requests of the entry.
	ID string
	// Account is the name of the account that the request counts against, and
	// Route the name of the model or service in the preset.
	Account string
	Route   string
	// Worth is the worth of a complete answer by the deadline. Zero or less
	// means the default worth of the account.
	Worth float64
	// Class is the priority class of the request on its route; 0 is the most
	// urgent. It holds across accounts.
	Class int
	// Priority orders the requests of one account, highest first. It gives no
	// precedence over other accounts.
	Priority int
	// Deadline is the time by which the answer must be complete. Zero means the
	// arrival time plus Controller.DefaultDeadline.
	Deadline time.Time
	// ExpectedRunTime is the estimated running time at an endpoint. Zero or
	// less means the mean running time of the route, or
	// Controller.DefaultRunTime if none has been measured.
	ExpectedRunTime time.Duration
	// RunOnce marks a request that must not be run more than once. The
	// Controller does not use it and passes it to the Placer.
	RunOnce bool
	// AskedBefore means that the caller was refused before and has come back. Of
	// the requests of one class, it goes before those that have not.
	AskedBefore bool
	// Tokens is the number of prompt tokens plus expected output tokens. The
	// Controller does not use it and passes it to the Placer.
	Tokens int
}

// Placer assigns r to a slot at an endpoint and reports whether it did. False
// means that the route has no free slot now. A Placer must not call the
// Controller.
type Placer func(r *Request) bool

// Decision is the result of Controller.Arrive or Controller.Requeue: a Start, Wait
// or Refused.
type Decision interface{ decision() }

// Start means that the Placer has assigned the request to a slot.
type Start struct{}

// Wait means that the request is in the queue. Each waiting request later
// appears exactly once, either in the result of Next or in a Displaced list,
// unless Done or Cancel removes it first.
type Wait struct {
	// Expected is the estimated time until the request starts.
	Expected time.Duration
	// Displaced lists the waiting requests that were removed to make room for
	// this one. It is valid until the next call of a method.
	Displaced []QueuedRefusal
}

// Refused means that the request has not been run and will not be.
type Refused struct {
	// Code is a result code whose effect is result.NotRun.
	Code result.Code
	// RetryAfter is the delay after which the caller should retry. It is zero
	// only if retrying the same request cannot succeed.
	RetryAfter time.Duration
}

func (Start) decision()   {}
func (Wait) decision()    {}
func (Refused) decision() {}

// QueuedRefusal is the refusal of a request that was waiting.
type QueuedRefusal struct {
	ID string
	Refused
	// ByRoute and ByClass are the route and the class of the request that took
	// the place. They are set only for result.Displaced.
	ByRoute string
	ByClass int
}
