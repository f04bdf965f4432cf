package caller

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// readRaw copies the request, because nbhttp uses its memory again.
func (s *Server) readRaw(hr *http.Request) (*Raw, error) {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	if err := checkFraming(hr); err != nil {
		return nil, err
	}
	raw := &Raw{
		Method: hr.Method,
		Host:   strings.ToLower(hr.Host),
		Target: hr.RequestURI,
		Header: hr.Header.Clone(),
		At:     now(),
	}
	if raw.Target == "" {
		raw.Target = hr.URL.RequestURI()
	}
	raw.Path, _, _ = strings.Cut(raw.Target, "?")
	if hr.Body == nil {
		return raw, nil
	}
	body, err := io.ReadAll(io.LimitReader(hr.Body, int64(s.BodyLimit)+1))
	if err != nil {
		return nil, result.New(result.MalformedRequest, "the body can't be read")
	}
	if len(body) > s.BodyLimit {
		return nil, result.Newf(result.BodyTooLarge, "at most %d bytes are allowed", s.BodyLimit)
	}
	raw.Body = body
	return raw, nil
}

// checkFraming guards against requests smuggled inside another one: a request
// whose end can be read in two ways would let an endpoint see two requests
// where this process saw one. Proper callers never send one.
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

// hopHeaders concern one connection alone, and Content-Length is written anew.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// EndToEnd returns the headers of h that are meant for the other end.
func EndToEnd(h http.Header) http.Header {
	drop := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for k, v := range h {
		if !hopHeaders[k] && !drop[k] {
			out[k] = v
		}
	}
	return out
}

// AnswerRaw sends a whole answer with the given headers.
func (w *Reply) AnswerRaw(status int, h http.Header, body []byte) error {
	head := w.rawHead(status, h)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	w.started = true
	w.done = true
	err := w.send(append([]byte(head+"\r\n"), body...))
	w.broken = err != nil
	return err
}

// BeginRaw begins an answer whose length is not known yet.
func (w *Reply) BeginRaw(status int, h http.Header) error {
	if w.minor == 0 {
		return result.New(result.MalformedRequest, "streamed answers need HTTP/1.1")
	}
	w.started = true
	w.stream = true
	w.broken = true
	return w.send([]byte(w.rawHead(status, h) + "Transfer-Encoding: chunked\r\n\r\n"))
}

// Break ends an answer that can't become whole: its connection closes without
// the end of the body, so that nobody takes the part for the whole.
func (w *Reply) Break() { w.broken = true }

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
	if w.closing != nil && w.closing.Load() {
		w.close = true
	}
	if w.close {
		writeHeader(&b, "Connection", "close")
	}
	return b.String()
}
