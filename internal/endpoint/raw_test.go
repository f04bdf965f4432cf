package endpoint_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// rawServer answers each request with bytes of the test's own making.
type rawServer struct {
	// answer writes to conn and says whether to go on with the connection.
	answer func(conn net.Conn, r *http.Request, n int) bool
	// answerAll makes the answer of each connection; it may be nil.
	answerAll func() func(conn net.Conn, r *http.Request, n int) bool
	// body reads a request's body; nil takes it as it comes.
	body func(io.Reader) error

	mu       sync.Mutex
	requests int
	conns    int
	ran      map[string]bool
}

// start listens until the test ends and returns the address.
func (s *rawServer) start(t *testing.T) string {
	return listen(t, func(conn net.Conn, _ int) {
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		s.serve(conn)
	})
}

// listen gives serve each connection with its number from 0, until the test
// ends, and returns the address.
func listen(t *testing.T, serve func(conn net.Conn, n int)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serve(conn, n) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return ln.Addr().String()
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	answer := s.answer
	if s.answerAll != nil {
		answer = s.answerAll()
	}
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if s.readBody(r.Body) != nil {
			return
		}
		if !answer(conn, r, s.arrived(r)) {
			return
		}
	}
}

func (s *rawServer) readBody(r io.Reader) error {
	if s.body != nil {
		return s.body(r)
	}
	_, err := io.Copy(io.Discard, r)
	return err
}

// arrived notes a request and returns its number from 0.
func (s *rawServer) arrived(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ran == nil {
		s.ran = map[string]bool{}
	}
	s.ran[r.Header.Get("X-Request-Id")] = true
	s.requests++
	return s.requests - 1
}

func (s *rawServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

func (s *rawServer) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func send(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text) // The caller may have gone: part of the test.
}

// The answers that tests send whole, cut and changed.
const (
	jsonAnswer    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"ok\":\"yes\"}\n"
	chunkedAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	streamHead    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamAnswer  = streamHead + "9\r\ndata: a\n\n\r\n" + "9\r\ndata: b\n\n\r\n" + "e\r\ndata: [DONE]\n\n\r\n" + "0\r\n\r\n"
)
