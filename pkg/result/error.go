package result

import (
	"errors"
	"fmt"
	"time"
)

// Error is a result other than OK.
type Error struct {
	code       Code
	detail     string
	retryAfter time.Duration
	cause      error
}

// New returns an error with the given code. The detail says what was found
// and, where that helps, what is allowed; it may be empty.
func New(c Code, detail string) *Error {
	return &Error{code: c, detail: detail}
}

// Newf is New with a formatted detail.
func Newf(c Code, format string, args ...any) *Error {
	return New(c, fmt.Sprintf(format, args...))
}

// WithRetryAfter returns a copy of e that tells the receiver when to come
// back. A duration of zero means that no time is known.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// WithCause returns a copy of e that errors.Is also finds cause in. The cause is
// for the process itself and not shown.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the result code.
func (e *Error) Code() Code { return e.code }

// Detail returns what was found, without the code's own text.
func (e *Error) Detail() string { return e.detail }

// RetryAfter returns when the receiver should come back, or zero.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error implements error.
func (e *Error) Error() string {
	i := table[e.code]
	s := fmt.Sprintf("%d %s: %s", e.code, i.name, i.text)
	if e.detail == "" {
		return s
	}
	return s + ": " + e.detail
}

// Of returns the Error inside err, or nil when err holds none.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// CodeOf returns the code inside err: OK for nil, and OutcomeUnknown for an
// error that carries no code, because nothing is known about its effect.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	if e := Of(err); e != nil {
		return e.code
	}
	return OutcomeUnknown
}
