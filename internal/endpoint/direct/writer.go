package direct

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
)

// inlineBody is the largest body that is written before the answer is read.
// It fits the kernel's buffer, so the write does not wait for the endpoint.
const inlineBody = 16 << 10

// writer sends a request.
type writer struct {
	done chan struct{}
	sent int
	err  error
}

func (w *writer) isDone() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

var errWriting = errors.New("direct: the request is still being sent")

// finished returns nil when the whole request was written.
func (w *writer) finished() error {
	if !w.isDone() {
		return errWriting
	}
	return w.err
}

// startWriter writes a small request at once and a large one beside the reading
// of the answer, which may come before the endpoint has read the body.
func startWriter(cn *conn, r *Request) *writer {
	w := &writer{done: make(chan struct{})}
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		w.sent, w.err = cn.Write(append(head, r.Body...))
		close(w.done)
		return w
	}
	w.sent, w.err = cn.Write(head)
	if w.err != nil {
		close(w.done)
		return w
	}
	go func() {
		defer close(w.done)
		_, w.err = cn.Write(r.Body)
	}()
	return w
}

// encodeHead writes the request's head. The headers have been parsed before, so
// none holds a line break.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if name == "Host" || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
