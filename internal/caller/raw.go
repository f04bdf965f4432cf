package caller

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// readRaw copies the request, because nbhttp reuses its memory. Its errors carry a result code.
func (s *Server) readRaw(hr *http.Request) (*RawRequest, error) {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	if err := checkFraming(hr); err != nil {
		return nil, err
	}
	r := &RawRequest{
		Method:     hr.Method,
		Host:       strings.ToLower(hr.Host),
		Target:     hr.RequestURI,
		Header:     hr.Header.Clone(),
		ReceivedAt: now(),
	}
	if r.Target == "" {
		r.Target = hr.URL.RequestURI()
	}
	r.Path, _, _ = strings.Cut(r.Target, "?")
	if hr.Body == nil {
		return r, nil
	}
	body, err := io.ReadAll(io.LimitReader(hr.Body, int64(s.BodyLimit)+1))
	if err != nil {
		return nil, result.New(result.MalformedRequest, "the body can't be read")
	}
	if len(body) > s.BodyLimit {
		return nil, result.Newf(result.BodyTooLarge, "at most %d bytes are allowed", s.BodyLimit)
	}
	r.Body = body
	return r, nil
}

// checkFraming rejects requests whose end can be determined in two ways. They allow request
// smuggling: an endpoint could see two requests where this process saw one. Well-behaved callers
// never send them. It also rejects spaces, tabs and line breaks in the target and the host, and
// slashes in the host.
func checkFraming(hr *http.Request) error {
	lengths := hr.Header.Values("Content-Length")
	chunked := len(hr.Header.Values("Transfer-Encoding")) > 0 || len(hr.TransferEncoding) > 0
	if len(lengths) > 1 || chunked && len(lengths) > 0 {
		return result.New(result.MalformedRequest, "the body's length is given twice")
	}
	if strings.ContainsAny(hr.RequestURI, " \r\n\t") || strings.ContainsAny(hr.Host, " \r\n\t/") {
		return result.New(result.MalformedRequest, "the target has characters that are not allowed")
	}
	return nil
}

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length is among them
// because it is written anew.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// EndToEndHeaders returns the headers of h that are forwarded, without hop-by-hop headers, those that
// Connection lists and those whose name is no token. The values are shared with h.
func EndToEndHeaders(h http.Header) http.Header {
	dropped := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	kept := make(http.Header, len(h))
	for k, v := range h {
		name := http.CanonicalHeaderKey(k)
		if isToken(k) && !hopByHopHeaders[name] && !dropped[name] {
			kept[k] = v
		}
	}
	return kept
}

// isToken reports whether s is a token of RFC 9110, as each header's name is. net/http accepts spaces in
// a response's names, and a reader that ignores them finds a length or an encoding in such a header.
func isToken(s string) bool {
	const marks = "!#$%&'*+-.^_`|~"
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte(marks, c) < 0 {
			return false
		}
	}
	return s != ""
}

// SendRaw sends a complete response with the given headers. It fails if a response has been begun.
func (w *Reply) SendRaw(status int, h http.Header, body []byte) error {
	return w.begin(replyComplete, status, w.rawHead(status, h)+w.lengthHeader(status, body), body)
}

// BeginRawStream begins a response of unknown length with the given headers. It returns the error of
// CheckStreamable, if there is one.
func (w *Reply) BeginRawStream(status int, h http.Header) error {
	if e := w.CheckStreamable(); e != nil {
		return e
	}
	return w.begin(replyStreaming, status, w.rawHead(status, h)+chunkedHeader(status), nil)
}

// Abort aborts a response that cannot be completed. Its connection closes without the end of the
// body, so that the caller does not treat the partial response as complete.
func (w *Reply) Abort() { w.state = replyAborted }

func (w *Reply) rawHead(status int, h http.Header) string {
	var b strings.Builder
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, text)
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, v := range h[name] {
			writeHeader(&b, name, v)
		}
	}
	if w.announcesClose() {
		writeHeader(&b, "Connection", "close")
	}
	return b.String()
}
