package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// NotSentError reports that no byte of the request was written to the network.
type NotSentError struct{ cause error }

// Error implements the error interface.
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.cause }

// IsNotSent reports whether err is or wraps a NotSentError.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// ErrMismatchedResponse reports a response that belongs to another request, or that names none and may
// belong to another one.
var ErrMismatchedResponse = errors.New("direct: response belongs to another request")

// ErrUnexpectedUpgrade reports a 101 Switching Protocols response, which can't be
// passed on.
var ErrUnexpectedUpgrade = errors.New("direct: unexpected switch of protocols")

// Request is an HTTP request to an endpoint.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ID identifies the request among those that a connection carries, and ResponseID returns the ID
	// that a response names, or "" if it names none. If ResponseID is nil, every response is accepted.
	ID         string
	ResponseID func(http.Header) string
	// AvoidExpiring excludes pooled connections that are close to their idle
	// timeout. It is for requests that must not run twice: if the endpoint closes
	// the connection while such a request is in flight, its outcome is unknown.
	AvoidExpiring bool
	// Exchange, if not nil, is set by Do, also if it fails.
	Exchange *Exchange
}

// Client sends requests to endpoints over pooled connections. Its zero value is
// ready for use. It is safe for concurrent use.
type Client struct {
	// StallTimeout is how long an endpoint may read nothing of a long request. Zero
	// selects the default of 3 s. Set it before the first call.
	StallTimeout time.Duration
	// Memory bounds the bytes that are buffered for responses.
	Memory Memory
	// OnStray, if not nil, is called when an endpoint sends what belongs to no request in progress.
	// It must not block. Set it before the first call.
	OnStray func(Stray)

	mu    sync.Mutex // guards all below
	idle  map[string][]*conn
	dials int64
}

// Accepts reports whether addr accepts a connection, which is closed at once.
func (c *Client) Accepts(ctx context.Context, addr string) bool {
	cn, err := c.dial(ctx, addr)
	if err != nil {
		return false
	}
	cn.abort()
	return true
}

// Do sends req to addr and returns the response when its header has arrived. The
// returned Response must be closed. When ctx is done, the connection is reset,
// also while the body is being read.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	cn, err := c.acquire(ctx, addr, req)
	if err != nil {
		return nil, &NotSentError{cause: err}
	}
	cn.begin(req.ID)
	r := &Response{client: c, conn: cn, req: req}
	r.stopAbort = context.AfterFunc(ctx, cn.abort)
	err = r.exchange(req)
	r.recordExchange(req)
	if err != nil {
		r.Close()
		if ctx.Err() != nil && !IsNotSent(err) {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, err
	}
	return r, nil
}
