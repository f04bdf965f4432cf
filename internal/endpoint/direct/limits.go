package direct

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Limits on what one response may contain. A faulty endpoint may send bytes without end, at the speed
// of the network, and all of its connections do so at the same time.
//
// An entry has at most 2,500 requests in progress and from 184 MB of memory on. What is kept for each
// response without being counted (uncountedBytes) must fit into that memory for all of them together;
// what exceeds it is counted by Memory.
const (
	// maxHeadBytes and maxHeadLines bound the head of a response together with the informational
	// (1xx) responses before it, and maxInformational the number of these. A head usually fits into
	// the read buffer.
	maxHeadBytes     = 32 << 10
	maxHeadLines     = 200
	maxInformational = 8
	// maxDiscardedBytes bounds a body that is read only to use its connection again, and
	// discardTimeout the time for it. Both cost less than a new connection.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 100 * time.Millisecond
	// MaxAnswerBytes bounds a body that is buffered until it is complete.
	MaxAnswerBytes = 8 << 20
	// maxEventBytes bounds one event of a stream. Events usually carry a few tokens.
	maxEventBytes = 256 << 10
	// maxOtherBytes bounds what a stream contains between two events that is no event: comments,
	// blank lines and unknown fields. A keep-alive comment has a few bytes a second.
	maxOtherBytes = 64 << 10
	// maxRepeatedBytes bounds the events of a stream that the caller has received before. An endpoint
	// that ignores from where a stream is to be resumed sends all of them again.
	maxRepeatedBytes = 256 << 10
	// uncountedBytes is what each response may buffer without being counted by Memory.
	uncountedBytes = 2 * readBufferSize
	// uncountedBodyBytes is the same for a body, whose bytes are also counted as held for its caller.
	uncountedBodyBytes = 64 << 10
)

// Limit names a limit on responses.
type Limit string

// The limits. LimitFraming bounds chunk extensions and trailers. It is a limit of net/http, which
// reads a line of a chunk header and a trailer only as far as they fit into the read buffer, and
// allows 16 KB of chunk headers in excess of the data. LimitMemory is that of Memory.
const (
	LimitHeadBytes     Limit = "headBytes"
	LimitHeadLines     Limit = "headLines"
	LimitInformational Limit = "informational"
	LimitDiscarded     Limit = "discarded"
	LimitAnswer        Limit = "answer"
	LimitEvent         Limit = "event"
	LimitOther         Limit = "noEvent"
	LimitRepeated      Limit = "repeatedEvents"
	LimitFraming       Limit = "framing"
	LimitMemory        Limit = "memory"
)

// LimitError reports a response that exceeds a limit. The connection must be closed.
type LimitError struct {
	Limit Limit
	// Bytes is how many bytes of the response the endpoint had sent.
	Bytes int64
}

// Error implements the error interface.
func (e *LimitError) Error() string {
	return fmt.Sprintf("direct: response exceeds the limit %s after %d bytes", e.Limit, e.Bytes)
}

// AsLimitError returns the LimitError in err, or nil if there is none.
func AsLimitError(err error) *LimitError {
	var e *LimitError
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Texts of errors of net/http that have no variable.
const (
	textChunkOverhead = "chunked encoding contains too much non-data"
	textLongTrailer   = "http: suspiciously long trailer after chunked body"
)

// exceedsFraming reports whether a body's error means that net/http's limits on chunk headers or
// trailers are exceeded.
func exceedsFraming(err error) bool {
	return errors.Is(err, http.ErrLineTooLong) || err.Error() == textChunkOverhead || err.Error() == textLongTrailer
}
