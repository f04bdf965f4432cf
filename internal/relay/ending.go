package relay

import (
	"errors"
	"fmt"
	"mime"
	"net/http"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Progress is how much of an answer the caller has received. With the way in which an attempt ended it
// decides what the caller may still get.
type Progress int

const (
	// NothingSent means that any answer may be sent.
	NothingSent Progress = iota
	// PartSent means that the header of a stream has been sent, and events up to a certain one. Only
	// further events, the end of the stream or a broken connection may follow.
	PartSent
	// WholeSent means that nothing may follow.
	WholeSent
)

// AnswerUse is how an endpoint's answer may be forwarded.
type AnswerUse int

const (
	// ForwardWhole means that the answer is forwarded once it is complete.
	ForwardWhole AnswerUse = iota
	// ForwardEvents means that its events are forwarded as they arrive.
	ForwardEvents
	// ForwardNothing means that no part of it may be forwarded.
	ForwardNothing
)

// UseOf returns how an answer of the given status may be forwarded. streamed means that the request asks
// for a stream, and sameType that the answer's content type is that of the stream of which the caller has
// a part.
func UseOf(p Progress, streamed bool, status int, sameType bool) AnswerUse {
	events := streamed && status == http.StatusOK
	switch {
	case p == NothingSent && events:
		return ForwardEvents
	case p == NothingSent:
		return ForwardWhole
	case p == PartSent && events && sameType:
		return ForwardEvents
	default:
		return ForwardNothing
	}
}

// sameMediaType reports whether two content types name the same type. Their parameters may differ:
// engines of two versions may name the charset or not, and events are in UTF-8 in either case.
func sameMediaType(a, b string) bool {
	typeOfA, _, errA := mime.ParseMediaType(a)
	typeOfB, _, errB := mime.ParseMediaType(b)
	if errA != nil || errB != nil {
		return a == b
	}
	return typeOfA == typeOfB
}

// Conclusion is what the caller still gets when no attempt follows: Complete, PassOn, Refuse or
// BreakOff.
type Conclusion interface{ conclusion() }

// Complete means that the caller has the complete answer.
type Complete struct{}

// PassOn means that the caller gets the failure that an endpoint reported.
type PassOn struct{ Answer *BufferedAnswer }

// Refuse means that the caller gets an error of this process.
type Refuse struct{ Err *result.Error }

// BreakOff means that the caller's connection is closed, so that the part of an answer that it has
// does not pass for the whole. Cause is why the rest is missing.
type BreakOff struct{ Cause error }

func (Complete) conclusion() {}
func (PassOn) conclusion()   {}
func (Refuse) conclusion()   {}
func (BreakOff) conclusion() {}

// errIncomplete is the cause of an answer that is broken off although its last attempt delivered it.
var errIncomplete = errors.New("relay: the answer has no end")

// Conclude returns what the caller still gets after the last attempt, which ended with o, or nil if
// there was none. refusal is the error of this process that says so, and lastFailure the last failure
// that an endpoint reported, or nil.
func Conclude(p Progress, o Outcome, refusal *result.Error, lastFailure *BufferedAnswer) Conclusion {
	switch p {
	case WholeSent:
		return Complete{}
	case PartSent:
		return BreakOff{Cause: missingRest(o, refusal)}
	}
	switch o := o.(type) {
	case Disconnected:
		return BreakOff(o)
	case Failed:
		return PassOn(o)
	}
	if lastFailure != nil {
		return PassOn{Answer: lastFailure}
	}
	return Refuse{Err: refusal}
}

// missingRest returns why the rest of a stream is missing.
func missingRest(o Outcome, refusal *result.Error) error {
	switch o := o.(type) {
	case Disconnected:
		return o.Cause
	case Interrupted:
		return o.Cause
	case Unusable:
		return unusableError(o.Status)
	case Failed:
		return unusableError(o.Answer.Status)
	case Delivered:
		return errIncomplete
	default:
		return refusal
	}
}

// unusableError returns the error for an answer that can't go on with a stream.
func unusableError(status int) error {
	return fmt.Errorf("relay: an answer with status %d can't go on with the stream", status)
}
