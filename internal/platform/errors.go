package platform

import (
	"errors"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// NotSentError reports that a call was not sent. It wraps a result.PlatformDown
// error: the call certainly had no effect.
type NotSentError struct {
	reason string
}

// NewNotSentError returns a NotSentError with the reason why the call was not
// sent.
func NewNotSentError(reason string) *NotSentError { return &NotSentError{reason: reason} }

// Error implements error.
func (e *NotSentError) Error() string { return "call not sent to the platform: " + e.reason }

// Unwrap returns an error with the result code PlatformDown.
func (e *NotSentError) Unwrap() error { return result.New(result.PlatformDown, e.reason) }

// RejectedError reports that the service rejected a call without applying it.
type RejectedError struct {
	code codes.Code
	msg  string
}

// Error implements error.
func (e *RejectedError) Error() string { return "the platform refused: " + e.msg }

// Unwrap returns an error with the result code PlatformDown, because a rejected
// write was not applied.
func (e *RejectedError) Unwrap() error { return result.New(result.PlatformDown, e.msg) }

// NewRejectedError returns a RejectedError with the service's message.
// leaseMissing states that the lease of the call does not exist, see
// IsLeaseMissing.
func NewRejectedError(msg string, leaseMissing bool) *RejectedError {
	if leaseMissing {
		return &RejectedError{code: codes.NotFound, msg: msg}
	}
	return &RejectedError{code: codes.FailedPrecondition, msg: msg}
}

// NewUnknownOutcomeError returns an UnknownOutcomeError with its cause.
func NewUnknownOutcomeError(cause string) *UnknownOutcomeError {
	return &UnknownOutcomeError{cause: cause}
}

// NewReadError returns a ReadError with its cause.
func NewReadError(cause string) *ReadError { return &ReadError{cause: cause} }

// LeaseMissing reports whether the lease named in the call does not exist.
func (e *RejectedError) LeaseMissing() bool { return e.code == codes.NotFound }

// UnknownOutcomeError reports that a write was sent and no reply arrived. The
// write may have been applied or may still be. The error wraps no result code,
// since a code with the effect NotRun would be wrong.
type UnknownOutcomeError struct {
	cause string
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "the outcome of the write is not known: " + e.cause
}

// ReadError reports that a read failed. A read has no effect.
type ReadError struct {
	cause string
}

// Error implements error.
func (e *ReadError) Error() string { return "reading from the platform failed: " + e.cause }

// Unwrap returns an error with the result code PlatformDown.
func (e *ReadError) Unwrap() error { return result.New(result.PlatformDown, e.cause) }

// IsUnknown reports whether err leaves the outcome of a write unknown.
func IsUnknown(err error) bool {
	var e *UnknownOutcomeError
	return errors.As(err, &e)
}

// IsLeaseMissing reports whether the service rejected a call because its lease
// does not exist.
func IsLeaseMissing(err error) bool {
	var e *RejectedError
	return errors.As(err, &e) && e.LeaseMissing()
}

// serverPrefix is the prefix of each error message that comes from the service
// itself rather than from the transport.
const serverPrefix = "etcdserver: "

// ClassifyWriteError classifies the error of a write that was passed to the
// transport as a RejectedError or an UnknownOutcomeError.
//
// A lost reply must not count as a rejection: a caller that receives the outcome
// "not run" sends its request again, and it would run twice, for example an order
// would be printed twice. Hence only errors that the service returns before it
// changes its state count as rejections. Any other status may also come from the
// transport after the write was applied: ResourceExhausted from a reply that is too
// large, Unavailable from a broken connection, Canceled and DeadlineExceeded from this
// process.
func ClassifyWriteError(err error) error {
	s := status.Convert(err)
	if isRejection(s) {
		return &RejectedError{code: s.Code(), msg: s.Message()}
	}
	return &UnknownOutcomeError{cause: s.Message()}
}

func isRejection(s *status.Status) bool {
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

// ClassifyReadError returns the error of a read as a ReadError.
func ClassifyReadError(err error) error {
	return &ReadError{cause: status.Convert(err).Message()}
}
