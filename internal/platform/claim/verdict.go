package claim

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Result is the result of a claim: Granted, Held, AlreadyRun, KeyReused,
// NotClaimed or Unknown.
type Result interface{ isResult() }

// Granted means that the caller holds the claim and may dispatch the request
// while Grant.MayDispatch returns true.
type Granted struct{ Grant Grant }

// Held means that another attempt holds the claim, or that an earlier one
// left it unsettled.
type Held struct{ Record Record }

// AlreadyRun means that the request was already run.
type AlreadyRun struct{ Record Record }

// KeyReused means that the key was already used for a request with a different
// body.
type KeyReused struct{ Record Record }

// NotClaimed means that this attempt has no claim and will not get one: it did
// not run the request.
type NotClaimed struct{ Err error }

// Unknown means that the claim may have been made or may still be made. The
// attempt must not run the request, but can't report it as not run either.
type Unknown struct{ Err error }

func (Granted) isResult()    {}
func (Held) isResult()       {}
func (AlreadyRun) isResult() {}
func (KeyReused) isResult()  {}
func (NotClaimed) isResult() {}
func (Unknown) isResult()    {}

// Err returns the result error that a caller gets for v, or nil for Granted and
// AlreadyRun.
func Err(v Result) error {
	switch v := v.(type) {
	case Held:
		return heldErr(v.Record)
	case KeyReused:
		return result.New(result.KeyReused, v.Record.key.idempotencyKey)
	case NotClaimed:
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

// Grant is a claim that the caller holds.
type Grant struct {
	record         Record
	revision       int64
	firstSentAt    time.Time
	dispatchWindow time.Duration
}

// Record returns the claim as it is stored.
func (g Grant) Record() Record { return g.record }

// MayDispatch reports whether the dispatch window is still open at now. The
// agent must call it immediately before it sends the request to the endpoint,
// and give the claim up when it returns false.
//
// It prevents a second run by an agent that was suspended after its claim was
// made: meanwhile an operator may have released the claim as not run, and the
// caller may have sent the request again. A release comes no earlier than the
// window and a margin after the claim was sent, so the window has expired by
// then. Wall-clock times are compared as well, because the monotonic clock
// stops while a VM is suspended.
func (g Grant) MayDispatch(now time.Time) bool {
	monotonic := now.Sub(g.firstSentAt)
	wall := now.Round(0).Sub(g.firstSentAt.Round(0))
	return max(monotonic, wall) < g.dispatchWindow
}
