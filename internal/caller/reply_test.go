package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// TestReplyIsOneResponseAtMost guards against a second head behind a response that has begun, against
// bytes behind its end, and against an unfinished response whose connection stays open.
func TestReplyIsOneResponseAtMost(t *testing.T) {
	begin := func(w *Reply) error { return w.BeginRawStream(http.StatusOK, nil) }
	chunk := func(w *Reply) error { return w.WriteChunk([]byte("part")) }
	end := func(w *Reply) error { return w.EndStream() }
	whole := func(w *Reply) error { return w.SendRaw(http.StatusInternalServerError, nil, []byte("whole")) }
	send := func(w *Reply) error { return w.Send(http.StatusOK, "text/plain", "", []byte("whole")) }
	fail := func(w *Reply) error { w.Fail(result.New(result.EntryFull, "")); return nil }
	const streamHead, errorEvent = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "event: error\n"
	for name, c := range map[string]struct {
		calls []func(w *Reply) error
		// rejected is the number of the call that fails, from 1 on, or 0 if none does.
		rejected int
		// open means that the connection can carry the next request.
		open     bool
		contains string
	}{
		"a stream":                     {calls: []func(*Reply) error{begin, chunk, end}, open: true, contains: streamHead + "4\r\npart\r\n0\r\n\r\n"},
		"an answer":                    {calls: []func(*Reply) error{whole}, open: true, contains: "whole"},
		"an answer within a stream":    {calls: []func(*Reply) error{begin, chunk, whole}, rejected: 3, contains: streamHead + "4\r\npart\r\n"},
		"a sent one within a stream":   {calls: []func(*Reply) error{begin, chunk, send}, rejected: 3, contains: streamHead + "4\r\npart\r\n"},
		"a stream within a stream":     {calls: []func(*Reply) error{begin, chunk, begin}, rejected: 3, contains: streamHead + "4\r\npart\r\n"},
		"a stream's end after that":    {calls: []func(*Reply) error{begin, whole, end}, rejected: 2, contains: streamHead},
		"a failure within a stream":    {calls: []func(*Reply) error{begin, chunk, fail}, contains: errorEvent},
		"an answer after an answer":    {calls: []func(*Reply) error{whole, send}, rejected: 2, open: true, contains: "whole"},
		"a failure after an answer":    {calls: []func(*Reply) error{whole, fail}, open: true, contains: "whole"},
		"an answer after a stream":     {calls: []func(*Reply) error{begin, end, whole}, rejected: 3, open: true, contains: streamHead + "0\r\n\r\n"},
		"a part after a stream":        {calls: []func(*Reply) error{begin, end, chunk}, rejected: 3, open: true, contains: streamHead + "0\r\n\r\n"},
		"a part before a stream":       {calls: []func(*Reply) error{chunk}, rejected: 1},
		"an end before a stream":       {calls: []func(*Reply) error{end}, rejected: 1},
		"an unfinished stream":         {calls: []func(*Reply) error{begin, chunk}, contains: streamHead + "4\r\npart\r\n"},
		"nothing":                      {},
		"an answer after a broken one": {calls: []func(*Reply) error{begin, fail, whole}, rejected: 3, contains: errorEvent},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(_ context.Context, _ *Request, w *Reply) {
				for i, call := range c.calls {
					err := call(w)
					if rejected := i+1 == c.rejected; rejected && err == nil || !rejected && c.rejected == 0 && err != nil {
						t.Errorf("call %d: %v", i+1, err)
					}
				}
			})
			raw, closed := exchangeRaw(t, s, chatRequest)
			heads := min(1, len(c.contains))
			if strings.Count(raw, "HTTP/1.1 ") != heads || !strings.Contains(raw, c.contains) {
				t.Errorf("received %q", raw)
			}
			if closed == c.open {
				t.Errorf("closed: %t, received %q", closed, raw)
			}
			if !c.open && strings.HasSuffix(raw, "\r\n0\r\n\r\n") {
				t.Errorf("the unfinished response looks complete: %q", raw)
			}
		})
	}
}

// chatRequest is a request of a chat, as its bytes.
var chatRequest = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", PathChat, len(chatBodyText), chatBodyText)

// exchangeRaw sends a request and returns the bytes that come before the answer to a request for
// /healthz that follows on the same connection, or all bytes if the connection is closed before.
func exchangeRaw(t *testing.T, s *Server, request string) (raw string, closed bool) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // ends a test that hangs
	_, err = fmt.Fprint(c, request+"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("the connection stays open behind %q: %v", b, err)
	}
	text := string(b)
	if i := strings.LastIndex(text, "HTTP/1.1 200 OK"); i >= 0 && strings.HasSuffix(text, "ok\n") {
		return text[:i], false
	}
	return text, true
}

// TestLostPartEndsTheResponse guards against a stream that looks complete although a part of it was not
// sent because the context was done while the write was blocked.
func TestLostPartEndsTheResponse(t *testing.T) {
	lost := make(chan struct{})
	s := startServer(t, func(_ context.Context, _ *Request, w *Reply) {
		defer close(lost)
		if err := w.BeginRawStream(http.StatusOK, nil); err != nil {
			t.Error(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		w.SetContext(ctx)
		part := make([]byte, maxPendingBytes)
		for w.WriteChunk(part) == nil {
		}
		w.SetContext(context.Background())
		if w.WriteChunk([]byte("rest")) == nil || w.EndStream() == nil {
			t.Error("the stream goes on behind the part that was lost")
		}
	})
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // ends a test that hangs
	if _, err := fmt.Fprint(c, "GET /v1/services/o/ HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-lost // nothing is read before, so that the writes block
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Errorf("the response looks complete after %d bytes", n)
	}
}

// TestResponsesWithoutBodyEndWithTheirHead guards against a body behind the response to HEAD, or one with
// status 204 or 304, which callers read as the response to their next request.
func TestResponsesWithoutBodyEndWithTheirHead(t *testing.T) {
	for _, c := range []struct {
		method string
		status int
	}{
		{http.MethodHead, http.StatusOK},
		{http.MethodHead, http.StatusNotFound},
		{http.MethodGet, http.StatusNoContent},
		{http.MethodGet, http.StatusNotModified},
	} {
		body := []byte("body")
		for name, answer := range map[string]func(w *Reply) error{
			"SendRaw": func(w *Reply) error { return w.SendRaw(c.status, nil, body) },
			"Send":    func(w *Reply) error { return w.Send(c.status, "text/plain", "", body) },
			"a stream": func(w *Reply) error {
				return errors.Join(w.BeginStream(c.status, "text/plain", ""), w.WriteChunk(body), w.EndStream())
			},
			"a raw stream": func(w *Reply) error {
				return errors.Join(w.BeginRawStream(c.status, nil), w.WriteChunk(body), w.EndStream())
			},
		} {
			t.Run(fmt.Sprint(c.method, " ", c.status, " ", name), func(t *testing.T) {
				s := startServer(t, func(_ context.Context, _ *Request, w *Reply) {
					if err := answer(w); err != nil {
						t.Error(err)
					}
				})
				wantHeadAlone(t, s, c.method)
			})
		}
	}
	t.Run("an error", func(t *testing.T) {
		s := startServer(t, func(_ context.Context, _ *Request, w *Reply) { w.Fail(result.New(result.EntryFull, "")) })
		wantHeadAlone(t, s, http.MethodHead)
	})
}

// wantHeadAlone checks that a request is answered with a head alone, and that the connection stays open.
func wantHeadAlone(t *testing.T, s *Server, method string) {
	t.Helper()
	raw, closed := exchangeRaw(t, s, method+" /v1/services/o/ HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, rest, found := strings.Cut(raw, "\r\n\r\n"); !found || rest != "" || closed {
		t.Errorf("closed: %t, received %q", closed, raw)
	}
}
