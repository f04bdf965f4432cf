package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// startFuzzServer starts a server for a fuzz target or a flood test.
func startFuzzServer(t testing.TB, readTimeout time.Duration) *Server {
	t.Helper()
	s := &Server{
		Addr: "127.0.0.1:0", BodyLimit: testBodyLimit, MaxConns: 256, ReadTimeout: readTimeout, IdleTimeout: time.Hour,
		Handler: handlerFunc(func(_ context.Context, _ *Request, w *Reply) {
			_ = w.Send(http.StatusOK, contentJSON, "", []byte(`{"served":true}`))
		}),
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, time.Second) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

// assertServed checks that a valid request on a new connection is served.
func assertServed(t testing.TB, s *Server) {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+PathServices+"desk/print", strings.NewReader(`{"catalogue":1}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Idempotency-Key", "k")
	res, err := c.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil || !strings.Contains(string(b), "served") {
		t.Fatalf("a valid request got %d %q %v", res.StatusCode, b, err)
	}
}

// sendRaw sends b, closes the connection for writing and reads the response to its end, for at
// most 5 s, so that the server has processed b when sendRaw returns.
func sendRaw(t testing.TB, s *Server, b []byte) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write(b); err != nil {
		return // The server has closed the connection already.
	}
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// Guards against malformed or hostile input that crashes the server: arbitrary bytes, or a request
// with one invalid part. After each input, the server must still serve a valid request.
func FuzzCaller(f *testing.F) {
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
	for _, seed := range []string{
		"", "\x00\xff\x16\x03\x01", "GET", "GET / HTTP/1.1\r\n\r\n", "GET /readyz HTTP/1.0\r\n\r\n",
		head + "Content-Length: 2\r\n\r\n{}",
		head + "Content-Length: -1\r\n\r\n{}",
		head + "Content-Length: 99999999999999999999\r\n\r\n{}",
		head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x",
		head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n{}",
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		head + "X-Deadline-Ms: -5\r\nX-Request-Id: \x01\r\nContent-Length: 2\r\n\r\n{}",
		head + "Content-Length: 45\r\n\r\n" + `{"model":"m","stream":true,"messages":[{"a":`,
		"GET /v1/answers/a.b.c?from=99999999999999999999 HTTP/1.1\r\n\r\n",
		"PUT /v1/services/../../x%00 HTTP/9.9\r\nIdempotency-Key: " + strings.Repeat("k", 5000) + "\r\n\r\n",
		strings.Repeat("A", 100<<10), "GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 20<<10),
	} {
		f.Add([]byte(seed))
	}
	s := startFuzzServer(f, 2*time.Second)
	f.Fuzz(func(t *testing.T, b []byte) {
		sendRaw(t, s, b)
		assertServed(t, s)
	})
}

// Guards against callers that exhaust the server: by many connections that send one byte at a
// time, or by a body, headers or a request line without end. Their connections must be closed, and
// valid requests must be served in the meantime.
func TestFloodsDoNotBlockOtherCallers(t *testing.T) {
	t.Run("slow senders", func(t *testing.T) {
		s := startFuzzServer(t, 2*time.Second)
		var conns []net.Conn
		for range 100 {
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := c.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")); err != nil {
				t.Fatal(err)
			}
			conns = append(conns, c)
		}
		assertServed(t, s)
		for _, c := range conns {
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			b, err := io.ReadAll(c)
			if err != nil && strings.Contains(err.Error(), "timeout") {
				t.Fatal("a slow sender still holds its connection")
			}
			if !strings.HasPrefix(string(b), "HTTP/1.1 408 ") || !strings.Contains(string(b), result.RequestTooSlow.String()) {
				t.Errorf("told %q", b)
			}
		}
	})
	// The byte limits must end these requests, not the read timeout.
	s := startFuzzServer(t, time.Hour)
	for _, c := range []struct{ name, head, part string }{
		{"endless body", "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		{"endless headers", "GET / HTTP/1.1\r\n", strings.Repeat("a: b\r\n", 1000)},
		{"endless line", "GET /", strings.Repeat("a", 0x1000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if n := flood(t, s, c.head, c.part); n >= floodBytes {
				t.Errorf("the server accepted %d bytes of one request", n)
			}
			assertServed(t, s)
		})
	}
}

// floodBytes is more than the socket buffers of both sides hold together.
const floodBytes = 64 << 20

// flood sends head and then part repeatedly, until the server closes the connection or floodBytes
// have been sent. It returns the number of bytes sent.
func flood(t *testing.T, s *Server, head, part string) int {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	n, err := io.WriteString(c, head)
	for err == nil && n < floodBytes {
		var m int
		m, err = io.WriteString(c, part)
		n += m
	}
	return n
}
