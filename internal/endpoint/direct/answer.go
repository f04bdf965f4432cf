package direct

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxStaleResponses is how many responses to earlier requests are skipped.
	maxStaleResponses = 2
	// bodyWriteTimeout bounds how long the rest of a request body is still sent
	// to an endpoint that responded before it had read all of it.
	bodyWriteTimeout = 5 * time.Second
)

// Response is a response whose header has arrived. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body in bytes, or -1 if it is unknown.
	Length int64

	client    *Client
	conn      *conn
	req       *Request
	resp      *http.Response
	writer    *writer
	complete  bool
	skipped   int
	stopAbort func() bool
	// held is the number of bytes that are counted by the client's Memory.
	held int64
}

// exchange writes req and reads the header of the response to it, skipping up to
// maxStaleResponses responses to earlier requests.
func (r *Response) exchange(req *Request) error {
	r.writer = startWriter(r.conn, req)
	if r.writer.sent == 0 && r.writer.err != nil {
		return &NotSentError{cause: r.writer.err}
	}
	r.conn.guard.begin(r.writer, r.holdBuffer)
	for range maxStaleResponses + 1 {
		resp, err := r.conn.guard.readResponse(r.conn.br, req.Method)
		if err != nil && r.writer.stalled.Load() {
			return ErrEndpointStalled
		}
		if err != nil {
			return err
		}
		r.writer.answered.Store(true)
		r.resp, r.Status, r.Header, r.Length = resp, resp.StatusCode, resp.Header, resp.ContentLength
		id := r.responseID(resp.Header)
		if r.isOwn(id) {
			return nil
		}
		if err := r.skip(id); err != nil {
			return err
		}
	}
	return ErrMismatchedResponse
}

// skip skips a response that names another request, with the given ID, or none.
//
// An endpoint may respond to a request twice, and the duplicate is read as the response to the next
// request; the right response follows on the same connection. One that names no request may as well be
// the right one, after which none follows, and after a HEAD request it isn't known whether a body
// follows.
func (r *Response) skip(id string) error {
	r.skipped, r.Status = r.skipped+1, 0
	r.client.reportStray(r.conn, Stray{Status: r.resp.StatusCode, Header: r.resp.Header})
	if id == "" || !hasFraming(r.resp) || r.req.Method == http.MethodHead {
		return ErrMismatchedResponse
	}
	if err := r.Discard(); err != nil {
		return err
	}
	if !r.complete {
		return ErrMismatchedResponse
	}
	r.complete = false
	return nil
}

// isOwn reports whether a response that names the request with the given ID belongs to this request. A
// response that names none does if the connection has carried no other request: else it may be a late
// response to that one, which may say that the request did not run although this one does.
func (r *Response) isOwn(id string) bool {
	switch {
	case r.req.ResponseID == nil:
		return true
	case id == "":
		return r.conn.requests == 0
	default:
		return id == r.req.ID
	}
}

// responseID returns the ID of the request that a response with the header h names, or "".
func (r *Response) responseID(h http.Header) string {
	if r.req.ResponseID == nil {
		return ""
	}
	return r.req.ResponseID(h)
}

// Complete reports whether the body has been read to its end.
func (r *Response) Complete() bool { return r.complete }

// Close returns the connection to the pool if the body was read to its end and
// the connection can be reused, and closes it otherwise.
func (r *Response) Close() {
	active := r.stopAbort()
	_ = r.hold(0, 0) // releases all
	if n := r.conn.br.Buffered(); r.complete && n > 0 {
		r.client.reportStray(r.conn, Stray{Bytes: n})
	}
	if !active || !r.reusable() {
		r.closeAfterWrite(active)
		return
	}
	r.conn.requests++
	r.client.release(r.conn, idleTimeout(r.resp.Header))
}

// reusable reports whether the connection can carry another request: request
// and response are complete, no data follows, and the endpoint doesn't close
// the connection.
func (r *Response) reusable() bool {
	return r.complete && r.resp != nil && !r.resp.Close && r.conn.br.Buffered() == 0 && r.writer.finished() == nil &&
		hasFraming(r.resp) && r.copyIsRecognized()
}

// copyIsRecognized reports whether a late copy of the response would be told from the response to the
// next request. One that names no request would not be. One to a HEAD request could not be skipped: it
// has a length, but no body follows.
func (r *Response) copyIsRecognized() bool {
	named := r.req.ResponseID == nil || r.responseID(r.Header) != ""
	return named && r.req.Method != http.MethodHead
}

// Framed reports whether the end of the body is marked by its length or by chunked encoding, not by
// the close of the connection.
func (r *Response) Framed() bool { return hasFraming(r.resp) }

// hasFraming reports whether the end of the body is marked by its length or by
// chunked encoding, not by the close of the connection.
func hasFraming(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// closeAfterWrite closes a connection that can't be reused. The parameter active
// is false if the context of the request is done.
//
// An endpoint may respond before it has read a long request body and read the rest
// later. It must receive all of the body and nothing else, so after a complete
// response the connection isn't reused, and it is closed only when the body has been
// written or bodyWriteTimeout has passed. Otherwise the connection is reset at once.
func (r *Response) closeAfterWrite(active bool) {
	if !active || !r.complete {
		r.conn.abort()
		return
	}
	if r.writer.isDone() {
		_ = r.conn.Conn.Close()
		return
	}
	go func() {
		select {
		case <-r.writer.done:
		case <-time.After(bodyWriteTimeout):
		}
		_ = r.conn.Conn.Close()
	}()
}

// idleTimeout returns how long a connection may stay idle in the pool, given the
// response header h. Zero or less means that it must not be reused.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(value)
		if err == nil && s >= 0 {
			return time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
