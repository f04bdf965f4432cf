package direct

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// maxInlineBody is the size in bytes of the largest body that is written before
// the response is read. It fits into the socket's send buffer, so that the write
// doesn't block on the endpoint.
const maxInlineBody = 16 << 10

const (
	// bodyPiece is the size in bytes of the pieces in which a body is written, and
	// bodyStallTimeout how long an endpoint may read none of a piece. Until then the
	// request's body is held in memory.
	bodyPiece        = 64 << 10
	bodyStallTimeout = 3 * time.Second
)

// ErrEndpointStalled reports that an endpoint did not read a request.
var ErrEndpointStalled = errors.New("direct: the endpoint does not read the request")

// writer tracks the writing of one request. The error err is valid once done is
// closed; sent is the number of bytes written before startWriter returned.
type writer struct {
	done chan struct{}
	sent int
	err  error
	// answered is set once the header of the response has arrived, and stalled once the
	// endpoint has stopped reading.
	answered, stalled atomic.Bool
}

func (w *writer) isDone() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

var errWriting = errors.New("direct: request is still being sent")

// finished returns nil if the whole request has been written, errWriting while it
// is being written, and otherwise the error that stopped it.
func (w *writer) finished() error {
	if !w.isDone() {
		return errWriting
	}
	return w.err
}

// startWriter writes req to cn. It writes a body of more than maxInlineBody bytes
// in a goroutine, because the endpoint may respond before it has read the body.
func startWriter(cn *conn, req *Request) *writer {
	w := &writer{done: make(chan struct{})}
	header := encodeHeader(req)
	if len(req.Body) <= maxInlineBody {
		w.sent, w.err = cn.Write(append(header, req.Body...))
		close(w.done)
		return w
	}
	w.sent, w.err = cn.Write(header)
	if w.err != nil {
		close(w.done)
		return w
	}
	go func() {
		defer close(w.done)
		w.writeBody(cn, req.Body)
	}()
	return w
}

// writeBody writes a body in pieces. If the endpoint stops reading before it has
// responded, writeBody ends the wait for its response.
func (w *writer) writeBody(cn *conn, body []byte) {
	defer func() { _ = cn.SetWriteDeadline(time.Time{}) }()
	for len(body) > 0 && w.err == nil {
		n := min(len(body), bodyPiece)
		_ = cn.SetWriteDeadline(time.Now().Add(cn.stallTimeout))
		_, w.err = cn.Write(body[:n])
		body = body[n:]
	}
	if !errors.Is(w.err, os.ErrDeadlineExceeded) {
		return
	}
	w.err = ErrEndpointStalled
	w.stalled.Store(true)
	if !w.answered.Load() {
		cn.abort()
	}
}

// encodeHeader returns the request line and the header of req. It doesn't escape
// header values: they come from a parsed request and contain no line breaks.
func encodeHeader(req *Request) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for name, values := range req.Header {
		if name == "Host" || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
