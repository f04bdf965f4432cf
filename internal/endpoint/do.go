package endpoint

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Do sends call to the endpoint and passes the answer's parts to sink, in
// order, from the calling goroutine. It returns nil only when the answer is
// whole. An error of sink ends the call. When ctx ends, sink fails or no head
// comes, after the request was sent, the request is cancelled at an engine. A
// stream that broke is not, so that it can be resumed; whoever gives it up
// calls Cancel.
//
// The result codes are true about the request's effect: EndpointDown,
// DeadlinePassed and MalformedRequest say that no byte of it was sent. An
// endpoint that fails with 500 gives EndpointFailed; 429, 502, 503 and 504 give
// OutcomeUnknown, because who wrote them can't be known. An answer that may be
// one to an earlier request gives OutcomeUnknown too.
func (c *Client) Do(ctx context.Context, call Call, sink func(Event) error) error {
	if err := c.running(ctx); err != nil {
		return err
	}
	raw, err := call.encode(c.Addr)
	if err != nil {
		return err
	}
	if err := c.awaitCancel(ctx, call.RequestID); err != nil {
		return err
	}
	resp := &response{requestID: call.RequestID, wantStream: call.Stream, limit: c.MaxAnswerBytes}
	sent, err := c.exchange(ctx, c.requests, raw, resp, sink)
	if sent && abandoned(err) && !c.Service {
		c.Cancel(call.RequestID)
	}
	c.counters.count(err)
	return err
}

// abandoned says that the endpoint may still compute an answer that nobody
// waits for.
func abandoned(err error) bool {
	switch result.CodeOf(err) {
	case result.Cancelled, result.DeadlineExceeded, result.OutcomeUnknown:
		return true
	default:
		return false
	}
}

// exchange sends raw on a connection of p and reads the answer. It reports
// whether any byte may have reached the endpoint.
func (c *Client) exchange(ctx context.Context, p *pool, raw []byte, resp *response, sink func(Event) error) (bool, error) {
	if err := p.acquire(ctx); err != nil {
		return false, notSent(ctx)
	}
	defer p.release()
	cn, err := c.send(ctx, p, raw)
	if cn == nil {
		return false, err
	}
	if err != nil {
		cn.close()
		return true, result.Newf(result.OutcomeUnknown, "the connection broke while the request was sent: %v", err)
	}
	resp.reused = cn.requests > 0
	err = c.receive(ctx, cn, resp, sink)
	if resp.cut && (resp.headDone || !resp.reused) {
		err = lostError{err: err}
	}
	c.reportMalformed(cn, resp)
	c.reportStrays(cn, resp)
	if resp.unnamed && p.noteUnnamed() {
		c.reportUnnamed(cn, resp)
	}
	p.putBack(cn, resp, err, time.Now())
	return true, err
}

// send writes raw on an idle connection or a new one. It returns no connection
// when no byte was sent.
//
// Guard: an idle connection that the endpoint has just closed accepts the
// bytes and then breaks, and whether the endpoint read them can't be known.
// That shows as a broken connection without an answer, and is reported as
// OutcomeUnknown by the caller of send. Only a connection that refuses the
// first byte is replaced here, because then nothing left.
func (c *Client) send(ctx context.Context, p *pool, raw []byte) (*conn, error) {
	for cn := p.idleConn(time.Now()); cn != nil; cn = p.idleConn(time.Now()) {
		if accepted, err := cn.write(raw); accepted {
			return cn, err
		}
		cn.close()
	}
	if ctx.Err() != nil {
		return nil, notSent(ctx)
	}
	cn, err := p.dial(ctx)
	if err != nil {
		return nil, dialFailed(ctx, err)
	}
	if accepted, err := cn.write(raw); !accepted {
		cn.close()
		return nil, result.Newf(result.EndpointDown, "closed before the first byte: %v", err)
	}
	return cn, nil
}

func dialFailed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return notSent(ctx)
	}
	return result.Newf(result.EndpointDown, "%v", err)
}

// receive reads until the answer is whole or can't become whole.
func (c *Client) receive(ctx context.Context, cn *conn, resp *response, sink func(Event) error) error {
	cn.parser.Processor = resp
	timer := time.NewTimer(c.silence(resp))
	defer timer.Stop()
	for {
		data, cause := cn.take()
		if err := c.advance(cn, resp, data, sink); err != nil {
			return err
		}
		switch {
		case resp.complete:
			return failure(resp)
		case cause != nil:
			resp.cut = true
			return incomplete(resp, cause)
		case len(data) > 0:
			timer.Reset(c.silence(resp))
		}
		if err := c.wait(ctx, cn, resp, timer); err != nil {
			return err
		}
	}
}

// silence is how long the endpoint may say nothing now.
func (c *Client) silence(resp *response) time.Duration {
	switch {
	case resp.headDone:
		return c.PieceTimeout
	case resp.wantStream || resp.control:
		return c.HeadTimeout
	default:
		return c.WholeTimeout
	}
}

// wait returns when there is something to read, or with the reason to stop.
func (c *Client) wait(ctx context.Context, cn *conn, resp *response, timer *time.Timer) error {
	select {
	case <-cn.ready:
		return nil
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return result.New(result.DeadlineExceeded, "while the endpoint worked")
		}
		return result.New(result.Cancelled, "while the endpoint worked")
	case <-c.ended:
		return incomplete(resp, errors.New("the endpoint client has stopped"))
	case <-timer.C:
		return incomplete(resp, errSilent)
	}
}

var errSilent = errors.New("the endpoint sent nothing for too long")

// advance parses data and passes on what became whole.
func (c *Client) advance(cn *conn, resp *response, data []byte, sink func(Event) error) error {
	err := resp.parse(cn.parser, data)
	resp.received(len(data))
	for _, e := range resp.takeEvents() {
		if err := sink(e); err != nil {
			return result.Newf(result.Cancelled, "the answer was not taken: %v", err)
		}
	}
	if resp.fault != nil {
		return incomplete(resp, resp.fault)
	}
	if err != nil && !resp.complete {
		return incomplete(resp, err)
	}
	resp.overrun = resp.overrun || err != nil
	return nil
}

// lostError marks a result that comes from a broken connection.
type lostError struct {
	err error
}

// Error implements error.
func (e lostError) Error() string { return e.err.Error() }

// Unwrap returns the result.
func (e lostError) Unwrap() error { return e.err }

// ConnectionLost reports whether err shows that the endpoint may have fallen: it
// takes no connection, or it broke one. A kept connection that breaks before
// the first byte of an answer is no such sign, because an endpoint closes idle
// connections in the ordinary way.
func ConnectionLost(err error) bool {
	var lost lostError
	return errors.As(err, &lost) || result.CodeOf(err) == result.EndpointDown
}

// incomplete returns the result of an answer that will not become whole.
func incomplete(resp *response, cause error) error {
	if !resp.headDone {
		return result.Newf(result.OutcomeUnknown, "no answer: %v", cause)
	}
	return result.Newf(result.AnswerIncomplete, "%v", cause)
}

// failure returns nil for an answer and an error for a failed endpoint.
func failure(resp *response) error {
	if !resp.failed() {
		return nil
	}
	code := result.EndpointFailed
	switch resp.status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		code = result.OutcomeUnknown
	}
	if resp.foreign() {
		code = result.OutcomeUnknown
	}
	return result.Newf(code, "status %d: %s", resp.status, resp.failedDetail).WithRetryAfter(resp.retryAfter)
}
