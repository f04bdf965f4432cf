package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
)

// NotSentError says that no byte of the request left.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// IsNotSent reports whether err says that no byte of the request left.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// ErrForeign reports an answer that belongs to another request.
var ErrForeign = errors.New("direct: the answer belongs to another request")

// ErrSpoiled reports an answer that can't be passed on.
var ErrSpoiled = errors.New("direct: the answer is not in the protocol")

// Request is one request for an endpoint.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Mine reports whether an answer's headers name this request.
	Mine func(http.Header) bool
	// Fresh asks for a connection that is known to be open: a request that may
	// run once should not meet one that the endpoint is about to close.
	Fresh bool
}

// Client keeps connections to endpoints. Its zero value is ready for use.
type Client struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	dials int64
}

// Do sends the request and returns the answer when its head has arrived. When
// ctx ends, the connection is closed, also while the body is read.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Answer, error) {
	cn, err := c.acquire(ctx, addr, r.Fresh)
	if err != nil {
		return nil, &NotSentError{cause: err}
	}
	a := &Answer{client: c, conn: cn}
	a.stop = context.AfterFunc(ctx, cn.abort)
	if err := a.exchange(r); err != nil {
		a.Close()
		if ctx.Err() != nil && !IsNotSent(err) {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, err
	}
	return a, nil
}
