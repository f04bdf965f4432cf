package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Names of the headers of an answer.
const (
	// HeaderFetchID names the request, endpoint and attempt to fetch an answer
	// from.
	HeaderFetchID = "X-Fetch-Id"
	// HeaderResult carries the numbered result code.
	HeaderResult = "X-Result-Code"

	contentJSON = "application/json"

	// hangUpTimeout bounds the wait for a caller to read the end of an answer
	// before its connection closes.
	hangUpTimeout = 5 * time.Second
)

// Reply writes one answer. It is used by one goroutine at a time.
type Reply struct {
	w         net.Conn
	conn      *conn
	ctx       context.Context
	requestID string
	minor     int
	close     bool
	started   bool
	stream    bool
	done      bool
	// broken says that a part of an answer was sent and its end was not, so
	// the connection must close to tell the caller.
	broken bool
	// before closes when the connection's earlier requests are answered, and
	// mine is closed when this one is.
	before, mine chan struct{}
	// closing, when set, says that the server is about to stop.
	closing *atomic.Bool
}

// Within ends the reply's writes when ctx ends, so that a caller who stops
// reading holds the entry no longer than the request's deadline.
func (w *Reply) Within(ctx context.Context) { w.ctx = ctx }

// Started reports whether a part of an answer has left for the caller.
func (w *Reply) Started() bool { return w.started }

// Whole sends a whole answer.
func (w *Reply) Whole(status int, contentType, fetchID string, body []byte) {
	head := w.head(status, contentType, fetchID, result.OK)
	head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	w.started = true
	w.done = true
	if err := w.send(append([]byte(head), body...)); err != nil {
		w.broken = true
	}
}

// Stream begins an answer whose length is not known. A caller of HTTP/1.0
// can't be told where such an answer ends, and gets none.
func (w *Reply) Stream(status int, contentType, fetchID string) error {
	if w.minor == 0 {
		return result.New(result.MalformedRequest, "streamed answers need HTTP/1.1")
	}
	head := w.head(status, contentType, fetchID, result.OK)
	head += "Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n"
	w.started = true
	w.stream = true
	w.broken = true
	return w.send([]byte(head))
}

// Piece sends a part of a streamed answer. It waits while the caller reads
// slowly, and fails when the caller has left.
func (w *Reply) Piece(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	chunk := make([]byte, 0, len(b)+16)
	chunk = strconv.AppendInt(chunk, int64(len(b)), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, b...)
	chunk = append(chunk, "\r\n"...)
	return w.send(chunk)
}

// End closes a streamed answer that is whole.
func (w *Reply) End() error {
	if err := w.send([]byte("0\r\n\r\n")); err != nil {
		return err
	}
	w.broken = false
	w.done = true
	return nil
}

// Fail gives the final answer to a request that got no whole one. When a part
// has been sent already, a server-sent "error" event follows and the
// connection closes without the end of the body, so that no client takes the
// part for the whole.
func (w *Reply) Fail(e *result.Error) {
	if w.done {
		return
	}
	w.done = true
	body := errorBody(e)
	if w.started {
		w.broken = true
		if w.stream {
			_ = w.Piece([]byte("event: error\ndata: " + string(body) + "\n\n"))
		}
		return
	}
	info, _ := result.Lookup(e.Code())
	status := info.Status()
	if status == 0 {
		status = http.StatusInternalServerError
	}
	head := w.head(status, contentJSON, "", e.Code())
	if d := e.RetryAfter(); d > 0 {
		head += "Retry-After: " + strconv.Itoa(wholeSeconds(d)) + "\r\n"
	}
	head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	w.started = true
	if err := w.send(append([]byte(head), body...)); err != nil {
		w.broken = true
	}
}

// wholeSeconds rounds up, because Retry-After has no smaller unit and an
// earlier return would be refused again. The JSON body has milliseconds.
func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

type errorJSON struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code             int    `json:"code"`
	Name             string `json:"name"`
	Effect           string `json:"effect"`
	Message          string `json:"message"`
	Detail           string `json:"detail,omitempty"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

func errorBody(e *result.Error) []byte {
	d := errorDetail{
		Code:             int(e.Code()),
		Name:             e.Code().String(),
		Effect:           e.Code().Effect().String(),
		Message:          e.Error(),
		Detail:           e.Detail(),
		RetryAfterMillis: e.RetryAfter().Milliseconds(),
	}
	b, err := json.Marshal(errorJSON{Error: d})
	if err != nil {
		return []byte("{}")
	}
	return b
}

func (w *Reply) head(status int, contentType, fetchID string, code result.Code) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	writeHeader(&b, "Content-Type", contentType)
	writeHeader(&b, headerRequestID, w.requestID)
	writeHeader(&b, HeaderFetchID, fetchID)
	writeHeader(&b, HeaderResult, strconv.Itoa(int(code)))
	if w.close {
		writeHeader(&b, "Connection", "close")
	}
	return b.String()
}

// writeHeader leaves out values with a line break, which would let an
// endpoint's answer forge headers.
func writeHeader(b *strings.Builder, name, value string) {
	if value == "" || strings.ContainsAny(value, "\r\n") {
		return
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

func (w *Reply) send(b []byte) error {
	return w.conn.write(w.ctx, w.w, b)
}

// hangUp closes the connection once what was written has left.
func (w *Reply) hangUp() {
	ctx, cancel := context.WithTimeout(context.Background(), hangUpTimeout)
	defer cancel()
	_ = w.conn.wait(ctx, 1)
	_ = w.w.Close()
}
