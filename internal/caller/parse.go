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

// read checks a request's form and copies what it needs, because nbhttp uses
// the request's memory again.
func (s *Server) read(hr *http.Request) (*Request, error) {
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
		idempotencyKey: hr.Header.Get(headerKey),
	}
	if err := r.readHeaders(hr.Header); err != nil {
		return nil, err
	}
	return r, r.readPath(hr)
}

func (r *Request) readHeaders(h http.Header) error {
	r.id = h.Get(headerRequestID)
	if r.id == "" {
		r.id = newID()
	}
	if !validID(r.id) {
		return result.Newf(result.BadHeader, "%s: up to %d letters, digits, '-', '_' and '.' are allowed", headerRequestID, maxIDBytes)
	}
	if len(r.idempotencyKey) > maxIDBytes {
		return result.Newf(result.BadHeader, "%s: at most %d bytes are allowed", headerKey, maxIDBytes)
	}
	r.key, _ = strings.CutPrefix(h.Get(headerAuthorization), bearer)
	v := h.Get(headerDeadline)
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return result.Newf(result.BadHeader, "%s: a whole number from 1 to %d is allowed", headerDeadline, maxDeadline.Milliseconds())
	}
	r.budget = time.Duration(ms) * time.Millisecond
	return nil
}

func (r *Request) readPath(hr *http.Request) error {
	p := hr.URL.Path
	switch {
	case p == pathHealth:
		r.kind = Health{}
		return nil
	case p == pathReady:
		r.kind = Readiness{}
		return nil
	case p == PathChat:
		return r.readChat()
	case strings.HasPrefix(p, PathServices):
		return r.readService(hr)
	case strings.HasPrefix(p, PathAnswers):
		return r.readFetch(hr)
	}
	return result.New(result.UnknownRoute, "no such path")
}

// chatBody is the part of a chat's body that the entry reads.
type chatBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
}

func (r *Request) readChat() error {
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
	out := max(0, b.MaxTokens, b.MaxCompletionTokens)
	r.route = b.Model
	r.path = PathChat
	prefix := b.Messages[:min(len(b.Messages), prefixBytes)]
	r.kind = Chat{stream: b.Stream, outputTokens: out, prefixHash: xxhash.Sum64(prefix)}
	return nil
}

func (r *Request) readService(hr *http.Request) error {
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

// fetchSeparator stands between the parts of a fetch id: request id, endpoint
// and serial of the attempt.
const fetchSeparator = "@"

// FetchID returns the id under which the answer of one attempt can be fetched
// without asking every agent.
func FetchID(requestID, endpoint string, serial uint64) string {
	return requestID + fetchSeparator + endpoint + fetchSeparator + strconv.FormatUint(serial, 36)
}

func (r *Request) readFetch(hr *http.Request) error {
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
		f.serial = n
	}
	if v := hr.URL.Query().Get("from"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return result.New(result.MalformedRequest, "from: a whole number is allowed")
		}
		f.from = n
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

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
