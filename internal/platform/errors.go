package platform

import (
	"errors"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// NotSentError says that a call never left this process. It wraps a
// result.PlatformDown error, which is a true "not run".
type NotSentError struct {
	reason string
}

// NotSent returns a NotSentError. The reason says what was missing.
func NotSent(reason string) *NotSentError { return &NotSentError{reason: reason} }

// Error implements error.
func (e *NotSentError) Error() string { return "call not sent to the platform: " + e.reason }

// Unwrap returns the result code PlatformDown.
func (e *NotSentError) Unwrap() error { return result.New(result.PlatformDown, e.reason) }

// RefusedError says that the service answered and did not do what was asked.
type RefusedError struct {
	code codes.Code
	text string
}

// Error implements error.
func (e *RefusedError) Error() string { return "the platform refused: " + e.text }

// Unwrap returns the result code PlatformDown, because a refused write was not
// made.
func (e *RefusedError) Unwrap() error { return result.New(result.PlatformDown, e.text) }

// Refused returns a RefusedError for a call that the service answered without
// doing it. A missing lease has a code of its own, see IsLeaseMissing.
func Refused(text string, leaseMissing bool) *RefusedError {
	if leaseMissing {
		return &RefusedError{code: codes.NotFound, text: text}
	}
	return &RefusedError{code: codes.FailedPrecondition, text: text}
}

// UnknownOutcome returns an UnknownOutcomeError.
func UnknownOutcome(cause string) *UnknownOutcomeError { return &UnknownOutcomeError{cause: cause} }

// ReadFailure returns a ReadError.
func ReadFailure(cause string) *ReadError { return &ReadError{cause: cause} }

// LeaseMissing reports whether the lease that the call named does not exist.
func (e *RefusedError) LeaseMissing() bool { return e.code == codes.NotFound }

// UnknownOutcomeError says that a write was sent and that no answer came. The
// write may have taken effect or may still do so. It carries no result code
// with the effect NotRun and unwraps to none.
type UnknownOutcomeError struct {
	cause string
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "the outcome of the write is not known: " + e.cause
}

// ReadError says that a read failed; a read has no effect.
type ReadError struct {
	cause string
}

// Error implements error.
func (e *ReadError) Error() string { return "reading from the platform failed: " + e.cause }

// Unwrap returns the result code PlatformDown.
func (e *ReadError) Unwrap() error { return result.New(result.PlatformDown, e.cause) }

// IsUnknown reports whether err leaves the outcome of a write open.
func IsUnknown(err error) bool {
	var e *UnknownOutcomeError
	return errors.As(err, &e)
}

// IsLeaseMissing reports whether the service refused a call because its lease
// does not exist.
func IsLeaseMissing(err error) bool {
	var e *RefusedError
	return errors.As(err, &e) && e.LeaseMissing()
}

// serverPrefix begins each message that the service itself writes.
const serverPrefix = "etcdserver: "

// WriteError classifies the error of a write that was handed to the transport.
//
// It guards against taking a lost answer for a refusal: a caller who hears
// "not run" sends its print order again and it is printed twice. Only answers
// that the service writes before it touches its state count as refusals; any
// other status can also come from the transport after the write took effect
// (ResourceExhausted from an answer that is too large, Unavailable from a
// connection that broke, Cancelled and DeadlineExceeded from this side).
func WriteError(err error) error {
	s := status.Convert(err)
	if refuses(s) {
		return &RefusedError{code: s.Code(), text: s.Message()}
	}
	return &UnknownOutcomeError{cause: s.Message()}
}

func refuses(s *status.Status) bool {
	if !strings.HasPrefix(s.Message(), serverPrefix) {
		return false
	}
	switch s.Code() {
	case codes.InvalidArgument, codes.NotFound, codes.FailedPrecondition,
		codes.OutOfRange, codes.ResourceExhausted, codes.PermissionDenied,
		codes.Unauthenticated:
		return true
	default:
		return false
	}
}

// ReadFailed classifies the error of a read.
func ReadFailed(err error) error {
	return &ReadError{cause: status.Convert(err).Message()}
}
