package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Names of response headers, and constants for writing responses.
const (
	// HeaderFetchID carries the fetch id, which names the request, the endpoint and the attempt
	// whose response can be fetched again.
	HeaderFetchID = "X-Fetch-Id"
	// HeaderResultCode carries the numeric result code.
	HeaderResultCode = "X-Result-Code"

	contentJSON = "application/json"
)

// replyState says what has been sent of a response, and so what may follow.
type replyState int

const (
	// replyUnsent means that any response may be sent.
	replyUnsent replyState = iota
	// replyStreaming means that the head and perhaps a part of the body have been sent. Only more of
	// the body or its end may follow.
	replyStreaming
	// replyComplete means that nothing may follow.
	replyComplete
	// replyAborted means that the response can't be completed.
	replyAborted
)

var (
	errResponseBegun = eris.New("caller: a response has been begun")
	errNotStreaming  = eris.New("caller: no streamed response is in progress")
)

// Reply writes one response. What it sends is one response or the beginning of one, whatever is
// called: a second head within a body would be read as a part of it, or as the response to the
// caller's next request. A connection whose response is not complete is closed. It must not be used by
// several goroutines at the same time.
type Reply struct {
	netConn    net.Conn
	conn       *conn
	ctx        context.Context
	requestID  string
	protoMinor int
	closeAfter bool
	state      replyState
	// isHead means that the request's method is HEAD, and noBody that the response has begun and has no
	// body.
	isHead, noBody bool
	// prevDone is closed when the connection's earlier requests have been answered. ownDone is
	// closed when this request has been answered.
	prevDone, ownDone chan struct{}
	// held is the number of bytes that are held for the request besides what waits for the caller.
	held int

	// id names the request in log lines, and receivedAt is when it had been received completely.
	id         string
	receivedAt time.Time
	// connCtx is done when the caller disconnects.
	connCtx context.Context

	// The mu of conn guards the fields below. describe, if not nil, describes how the request is being served.
	describe func() logrus.Fields
	// begun means that a part of the answer has been sent, and sending that the answer is complete.
	begun, sending bool
	// ended means that the request must get its final answer because the process is about to end, and stopServing
	// tells those who serve it.
	ended       bool
	stopServing func(cause error)
}

// SetContext makes the reply's blocked writes fail once ctx is done, so that a caller that stops
// reading occupies the entry no longer than the request's deadline.
func (w *Reply) SetContext(ctx context.Context) { w.ctx = ctx }

// Started reports whether part of a response has been sent.
func (w *Reply) Started() bool { return w.state != replyUnsent }

// Aborted reports whether the response can't be completed.
func (w *Reply) Aborted() bool { return w.state == replyAborted }

// begin sends the head of a response and then body, if the response has one. It fails if a response
// has been begun, and aborts it if it is not complete.
func (w *Reply) begin(next replyState, status int, head string, body []byte) error {
	if w.state != replyUnsent {
		if w.state == replyStreaming {
			w.state = replyAborted
		}
		return errResponseBegun
	}
	if !w.markBegun(next == replyStreaming) {
		return ErrStopping
	}
	w.state, w.noBody = next, w.isHead || forbidsBody(status)
	if w.noBody {
		body = nil
	}
	return w.send(append([]byte(head+"\r\n"), body...))
}

// forbidsBody reports whether responses with the given status have no body. What is sent as one would
// be read as the response to the caller's next request, and so would the body of a response to HEAD.
func forbidsBody(status int) bool {
	return status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}

// lengthHeader returns the header line for the length of a complete response's body. There is none for
// an unknown length: the response to HEAD says how long that to GET would be.
func (w *Reply) lengthHeader(status int, body []byte) string {
	if forbidsBody(status) || w.isHead && len(body) == 0 {
		return ""
	}
	return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
}

// chunkedHeader returns the header line for a streamed body.
func chunkedHeader(status int) string {
	if forbidsBody(status) {
		return ""
	}
	return "Transfer-Encoding: chunked\r\n"
}

// Send sends a complete response.
func (w *Reply) Send(status int, contentType, fetchID string, body []byte) error {
	head := w.head(status, contentType, fetchID, result.OK) + w.lengthHeader(status, body)
	return w.begin(replyComplete, status, head, body)
}

// CheckStreamable returns an error if the response can't be streamed, because the request came over
// HTTP/1.0, which has no chunked encoding to mark the end of a response of unknown length.
func (w *Reply) CheckStreamable() *result.Error {
	if w.protoMinor == 0 {
		return result.New(result.MalformedRequest, "streamed answers need HTTP/1.1")
	}
	return nil
}

// BeginStream begins a response of unknown length. It returns the error of CheckStreamable, if there is
// one.
func (w *Reply) BeginStream(status int, contentType, fetchID string) error {
	if e := w.CheckStreamable(); e != nil {
		return e
	}
	head := w.head(status, contentType, fetchID, result.OK)
	head += "Cache-Control: no-store\r\n" + chunkedHeader(status)
	return w.begin(replyStreaming, status, head, nil)
}

// WriteChunk sends b as one chunk of a streamed response. It blocks while the caller reads slowly
// and returns an error if the caller has disconnected, or if the reply's context is done while it
// blocks.
func (w *Reply) WriteChunk(b []byte) error {
	if w.state != replyStreaming {
		return errNotStreaming
	}
	if len(b) == 0 || w.noBody {
		return nil
	}
	chunk := make([]byte, 0, len(b)+16)
	chunk = strconv.AppendInt(chunk, int64(len(b)), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, b...)
	chunk = append(chunk, "\r\n"...)
	return w.send(chunk)
}

// EndStream completes a streamed response.
func (w *Reply) EndStream() error {
	if w.state != replyStreaming {
		return errNotStreaming
	}
	w.state = replyComplete
	if w.noBody {
		return nil
	}
	return w.send([]byte("0\r\n\r\n"))
}

// Fail sends the error response for a request that has no complete response yet, and otherwise
// does nothing. If part of a response has been sent, Fail appends a server-sent "error" event if
// the response is streamed, and the connection closes without the end of the body, so that no
// client treats the partial response as complete.
func (w *Reply) Fail(e *result.Error) {
	body := errorBody(e)
	switch w.state {
	case replyComplete, replyAborted:
		return
	case replyStreaming:
		_ = w.WriteChunk([]byte("event: error\ndata: " + string(body) + "\n\n"))
		w.state = replyAborted
		return
	}
	info, _ := result.Lookup(e.Code())
	status := info.Status()
	if status == 0 {
		status = http.StatusInternalServerError
	}
	head := w.head(status, contentJSON, "", e.Code())
	if d := e.RetryAfter(); d > 0 {
		head += "Retry-After: " + strconv.Itoa(ceilSeconds(d)) + "\r\n"
	}
	head += w.lengthHeader(status, body)
	_ = w.begin(replyComplete, status, head, body)
}

// ceilSeconds rounds d up to seconds, the unit of Retry-After, because a caller that retries
// earlier would be refused again. The JSON body states milliseconds.
func ceilSeconds(d time.Duration) int {
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
	writeHeader(&b, HeaderResultCode, strconv.Itoa(int(code)))
	if w.announcesClose() {
		writeHeader(&b, "Connection", "close")
	}
	return b.String()
}

// announcesClose reports whether the response is the last one of its connection, which is closed behind it. While the
// server drains, that is the response to the last request that has begun to arrive, as one behind it is not served.
func (w *Reply) announcesClose() bool {
	if w.conn.server.draining.Load() && w.conn.closeBehind(w.ownDone) {
		w.closeAfter = true
	}
	return w.closeAfter
}

// writeHeader writes a header line. It omits empty values, and values with a line break, with
// which an endpoint's response could inject headers.
func writeHeader(b *strings.Builder, name, value string) {
	if value == "" || strings.ContainsAny(value, "\r\n") {
		return
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// send sends a part of the response. If it fails, nothing may follow: the response would look complete
// without that part.
func (w *Reply) send(b []byte) error {
	ctx := w.ctx
	if IsStopping(ctx) {
		ctx = w.connCtx // the final answer is still to be sent
	}
	err := w.conn.write(ctx, w.netConn, b)
	if err != nil {
		w.state = replyAborted
	}
	return err
}

// closeAfterFlush closes the connection once all pending bytes have been sent, or the caller has
// read nothing for the server's StallTimeout. Requests behind this one are not served.
func (w *Reply) closeAfterFlush() {
	w.conn.markClosing()
	_ = w.conn.waitPendingBelow(context.Background(), 1, w.conn.server.maxStall)
	_ = w.netConn.Close()
}

// Hold counts n more bytes as held for the request until it ends. If the memory held for all
// callers is used up, it waits until there is room or the context of the request is done.
func (w *Reply) Hold(n int) error {
	if err := w.conn.server.acquire(w.ctx, n); err != nil {
		return err
	}
	w.held += n
	return nil
}

func (w *Reply) releaseHeld() {
	w.conn.server.memory.release(w.held)
	w.held = 0
}

// CutCause returns why the server closed the caller's connection, or nil if it did not.
func (w *Reply) CutCause() *result.Error {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	return w.conn.cutCause
}
