package claim

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Verdict is the answer to a claim: Granted, HeldBy, Done, KeyReused, NotMade
// or Unknown.
type Verdict interface{ isVerdict() }

// Granted says that the claim is the caller's, who may dispatch the request
// while Grant.MayDispatch holds.
type Granted struct{ Grant Grant }

// HeldBy says that another attempt holds the claim, or that an earlier one left
// it unsettled.
type HeldBy struct{ Record Record }

// Done says that the request was run before.
type Done struct{ Record Record }

// KeyReused says that the key was used for another body.
type KeyReused struct{ Record Record }

// NotMade says that this attempt made no claim and never will: it did not run
// the request.
type NotMade struct{ Err error }

// Unknown says that the claim may have been made, now or later. The attempt
// must not run the request, but can't say either that it was not run.
type Unknown struct{ Err error }

func (Granted) isVerdict()   {}
func (HeldBy) isVerdict()    {}
func (Done) isVerdict()      {}
func (KeyReused) isVerdict() {}
func (NotMade) isVerdict()   {}
func (Unknown) isVerdict()   {}

// Err returns the result that a caller gets for a verdict, or nil for Granted
// and Done.
func Err(v Verdict) error {
	switch v := v.(type) {
	case HeldBy:
		return heldErr(v.Record)
	case KeyReused:
		return result.New(result.KeyReused, v.Record.key.idempotency)
	case NotMade:
		return v.Err
	case Unknown:
		return result.New(result.OutcomeUnknown, v.Err.Error())
	default:
		return nil
	}
}

func heldErr(r Record) error {
	if r.state == Unsettled {
		return result.New(result.OutcomeUnknown, "an earlier attempt did not learn whether the endpoint ran the request")
	}
	return result.New(result.ClaimHeld, "held by the agent at "+r.agent)
}

// Grant is a claim that was made.
type Grant struct {
	record   Record
	revision int64
	sentAt   time.Time
	window   time.Duration
}

// Record returns the claim as it is stored.
func (g Grant) Record() Record { return g.record }

// MayDispatch reports whether the window is still open at now. The agent calls
// it immediately before it sends the request to the endpoint, and gives the
// claim up when it returns false.
//
// It guards against an agent that was frozen after its claim was made: an
// operator has meanwhile released the claim as not run, the caller has sent the
// order again, and both would be printed. The release comes only after the
// window and a margin, counted from a moment after the claim was sent, so the
// window is closed by then. The wall clock is compared too, because the
// monotonic one stands still while a VM is suspended.
func (g Grant) MayDispatch(now time.Time) bool {
	monotonic := now.Sub(g.sentAt)
	wall := now.Round(0).Sub(g.sentAt.Round(0))
	return max(monotonic, wall) < g.window
}
