package caller

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// parseRequest validates a request and copies what it needs, because nbhttp reuses the request's
// memory. Its errors carry a result code.
func (s *Server) parseRequest(hr *http.Request) (*Request, error) {
	body, err := io.ReadAll(io.LimitReader(hr.Body, int64(s.BodyLimit)+1))
	if err != nil {
		return nil, result.New(result.MalformedRequest, "the body can't be read")
	}
	if len(body) > s.BodyLimit {
		return nil, result.Newf(result.BodyTooLarge, "at most %d bytes are allowed", s.BodyLimit)
	}
	r := &Request{
		method:         hr.Method,
		contentType:    hr.Header.Get("Content-Type"),
		body:           body,
		priority:       hr.Header.Get(headerPriority),
		idempotencyKey: hr.Header.Get(headerIdempotencyKey),
	}
	if err := r.parseHeaders(hr.Header); err != nil {
		return nil, err
	}
	return r, r.parsePath(hr)
}

func (r *Request) parseHeaders(h http.Header) error {
	r.id = h.Get(headerRequestID)
	if r.id == "" {
		r.id = newRequestID()
	}
	if !validID(r.id) {
		return result.Newf(result.BadHeader, "%s: up to %d letters, digits, '-', '_' and '.' are allowed", headerRequestID, maxIDBytes)
	}
	if len(r.idempotencyKey) > maxIDBytes {
		return result.Newf(result.BadHeader, "%s: at most %d bytes are allowed", headerIdempotencyKey, maxIDBytes)
	}
	r.accountKey, _ = strings.CutPrefix(h.Get(headerAuthorization), bearerPrefix)
	v := h.Get(headerDeadline)
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return result.Newf(result.BadHeader, "%s: a whole number from 1 to %d is allowed", headerDeadline, maxDeadline.Milliseconds())
	}
	r.timeout = time.Duration(ms) * time.Millisecond
	return nil
}

func (r *Request) parsePath(hr *http.Request) error {
	p := hr.URL.Path
	switch {
	case p == pathHealth:
		r.kind = Health{}
		return nil
	case p == pathReady:
		r.kind = Readiness{}
		return nil
	case p == PathChat:
		return r.parseChat()
	case strings.HasPrefix(p, PathServices):
		return r.parseService(hr)
	case strings.HasPrefix(p, PathAnswers):
		return r.parseFetch(hr)
	}
	return result.New(result.UnknownRoute, "no such path")
}

// chatBody holds the fields of a chat request that the entry reads.
type chatBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
}

func (r *Request) parseChat() error {
	if r.method != http.MethodPost {
		return result.New(result.MalformedRequest, "chat completions are asked for by POST")
	}
	var b chatBody
	if err := json.Unmarshal(r.body, &b); err != nil {
		return result.Newf(result.MalformedRequest, "the body is not the JSON of a chat: %v", err)
	}
	if b.Model == "" || len(b.Messages) == 0 {
		return result.New(result.MalformedRequest, "model and messages are needed")
	}
	maxTokens := max(0, b.MaxTokens, b.MaxCompletionTokens)
	r.route = b.Model
	r.path = PathChat
	prefix := b.Messages[:min(len(b.Messages), prefixBytes)]
	r.kind = Chat{stream: b.Stream, outputTokens: maxTokens, prefixHash: xxhash.Sum64(prefix)}
	return nil
}

func (r *Request) parseService(hr *http.Request) error {
	rest := strings.TrimPrefix(hr.URL.Path, PathServices)
	name, path, _ := strings.Cut(rest, "/")
	if name == "" {
		return result.New(result.UnknownRoute, "the path names no service")
	}
	r.kind = ServiceCall{}
	r.route = name
	r.path = "/" + path
	if hr.URL.RawQuery != "" {
		r.path += "?" + hr.URL.RawQuery
	}
	if strings.ContainsAny(r.path, " \r\n") {
		return result.New(result.MalformedRequest, "the path has characters that are not allowed")
	}
	return nil
}

// fetchSeparator separates the parts of a fetch id: the request id, the endpoint and the serial
// number of the attempt.
const fetchSeparator = "@"

// FetchID returns the id by which the response of one attempt can be fetched without querying
// every agent.
func FetchID(requestID, endpoint string, serial uint64) string {
	return requestID + fetchSeparator + endpoint + fetchSeparator + strconv.FormatUint(serial, 36)
}

func (r *Request) parseFetch(hr *http.Request) error {
	parts := strings.Split(strings.TrimPrefix(hr.URL.Path, PathAnswers), fetchSeparator)
	r.id = parts[0]
	if !validID(r.id) {
		return result.New(result.MalformedRequest, "the path names no request id")
	}
	f := Fetch{}
	if len(parts) > 1 {
		f.endpoint = parts[1]
	}
	if len(parts) > 2 {
		n, err := strconv.ParseUint(parts[2], 36, 64)
		if err != nil {
			return result.New(result.MalformedRequest, "the path is not a fetch id")
		}
		f.attemptSerial = n
	}
	if v := hr.URL.Query().Get("from"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return result.New(result.MalformedRequest, "from: a whole number is allowed")
		}
		f.firstPiece = n
	}
	r.kind = f
	return nil
}

func validID(s string) bool {
	if s == "" || len(s) > maxIDBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
