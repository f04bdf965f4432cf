package endpoint

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Names of the headers between an agent and its endpoint.
const (
	headerRequestID      = "X-Request-Id"
	headerAttempt        = "X-Attempt"
	headerPriority       = "X-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	headerFencingToken   = "Fencing-Token"
	headerIncarnation    = "X-Incarnation"
)

// Call is one attempt of a request.
type Call struct {
	RequestID   string
	Attempt     uint32
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Stream says that the answer has to be an event stream.
	Stream bool
	// Priority is passed on to engines; larger goes first.
	Priority       int
	IdempotencyKey string
	// FencingToken is sent when it is not zero.
	FencingToken uint64
	// ResumeFrom is the number of pieces that the caller already has. When it
	// is not zero Do resumes the engine's stream RequestID instead of sending
	// Method, Path and Body.
	ResumeFrom uint64
}

// Event is a part of an answer: Head or Piece.
type Event interface {
	event()
}

// Head is the start of the answer and comes once, before all pieces.
type Head struct {
	Status      int
	ContentType string
	// Incarnation is the engine's own incarnation, empty when it names none.
	Incarnation string
}

// Piece is one part of the body. In an event stream it is one whole event with
// its closing blank line, the end marker included, so that pieces can be
// numbered; otherwise it is as many bytes as arrived together.
type Piece struct {
	Data []byte
}

func (Head) event()  {}
func (Piece) event() {}

// encode returns the bytes of the request to addr. The header and URL checks
// of net/http keep line breaks in a field from becoming a second request.
func (c *Call) encode(addr string) ([]byte, error) {
	method, path := c.Method, c.Path
	body := c.Body
	if c.ResumeFrom > 0 {
		method, path = http.MethodPost, resumePath(c.RequestID, c.ResumeFrom)
		body = nil
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, result.Newf(result.MalformedRequest, "endpoint request: %v", err)
	}
	req.Header.Set("User-Agent", "hyssoprelay")
	setHeader(req.Header, "Content-Type", c.ContentType)
	setHeader(req.Header, headerRequestID, c.RequestID)
	setHeader(req.Header, headerIdempotencyKey, c.IdempotencyKey)
	if c.Attempt > 0 {
		req.Header.Set(headerAttempt, strconv.FormatUint(uint64(c.Attempt), 10))
	}
	if c.Priority != 0 {
		req.Header.Set(headerPriority, strconv.Itoa(c.Priority))
	}
	if c.FencingToken > 0 {
		req.Header.Set(headerFencingToken, strconv.FormatUint(c.FencingToken, 10))
	}
	return encodeRequest(req)
}

func setHeader(h http.Header, key, value string) {
	if value != "" {
		h.Set(key, value)
	}
}

func encodeRequest(req *http.Request) ([]byte, error) {
	var buf bytes.Buffer
	if err := req.Write(&buf); err != nil {
		return nil, result.Newf(result.MalformedRequest, "endpoint request: %v", err)
	}
	return buf.Bytes(), nil
}
