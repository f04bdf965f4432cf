package endpoint

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"unicode"

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

// encode returns the bytes of the request to addr. Guard: a line break in a
// field or the path would become a header or a request of its own; net/http
// refuses it in method and path, setHeader in the fields.
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
	for key, value := range map[string]string{
		"Content-Type":       c.ContentType,
		headerRequestID:      c.RequestID,
		headerIdempotencyKey: c.IdempotencyKey,
	} {
		if err := setHeader(req.Header, key, value); err != nil {
			return nil, err
		}
	}
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

// setHeader sets a field that has a value. A control character is refused:
// net/http would write a space in its place, and the endpoint would see
// another key than the caller's.
func setHeader(h http.Header, key, value string) error {
	if strings.ContainsFunc(value, unicode.IsControl) {
		return result.Newf(result.MalformedRequest, "control character in %s", key)
	}
	if value != "" {
		h.Set(key, value)
	}
	return nil
}

func encodeRequest(req *http.Request) ([]byte, error) {
	var buf bytes.Buffer
	if err := req.Write(&buf); err != nil {
		return nil, result.Newf(result.MalformedRequest, "endpoint request: %v", err)
	}
	return buf.Bytes(), nil
}
