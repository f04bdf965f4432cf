package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// stutterer is an endpoint that answers in various ways, often twice, the second time late. Its copies
// are whole and come between answers, or within one that it sends in two parts.
type stutterer struct {
	conns sync.WaitGroup

	mu  sync.Mutex // guards all below
	rng *rand.Rand
	// ran has the attempts that it ran, as the request's ID and the attempt's number, and notRun those of
	// which a caller was told that they did not run.
	ran    map[string]bool
	notRun []string
}

// listen serves until the test ends, and returns the address.
func (s *stutterer) listen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.serve(c) })
		}
	}()
	return ln.Addr().String()
}

// stutteredAnswer is an answer and what becomes of it.
type stutteredAnswer struct {
	first, rest string
	// pause is the time between the two parts, and delay that before the copy.
	pause, delay time.Duration
	copied       bool
	closes       bool
}

// serve answers the requests on one connection.
func (s *stutterer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	var copies sync.WaitGroup
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		a := s.answer(req)
		_, _ = io.WriteString(c, a.first)
		time.Sleep(a.pause)
		_, _ = io.WriteString(c, a.rest)
		if a.copied {
			copies.Go(func() {
				time.Sleep(a.delay)
				_, _ = io.WriteString(c, a.first+a.rest)
			})
		}
		if a.closes {
			copies.Wait()
			return
		}
	}
}

// answer chooses the answer to a request.
func (s *stutterer) answer(req *http.Request) stutteredAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, attempt := req.Header.Get("X-Id"), req.Header.Get("X-Attempt")
	head := fmt.Sprintf("X-Id: %s\r\nX-Attempt: %s\r\n", id, attempt)
	body := "answer to " + id + "/" + attempt
	a := stutteredAnswer{copied: s.rng.IntN(2) == 0, delay: time.Duration(s.rng.IntN(3000)) * time.Microsecond}
	if s.rng.IntN(4) == 0 {
		a.pause = time.Duration(s.rng.IntN(2000)) * time.Microsecond
	}
	n := s.rng.IntN(20)
	if n < 4 {
		if n == 0 {
			head = "" // names no request
		}
		a.first = "HTTP/1.1 503 Full\r\n" + head + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		return a
	}
	s.ran[id+"/"+attempt] = true
	switch {
	case n < 7:
		a.first = fmt.Sprintf("HTTP/1.1 500 Oops\r\n%sContent-Length: %d\r\n\r\n", head, len(body))
		a.rest = body
	case n < 10:
		a.first, a.rest = "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case n < 12:
		a.first, a.rest, a.closes = "HTTP/1.1 200 OK\r\n"+head+"\r\n", body, true
	default:
		a.first, a.rest = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head, len(body)), body
	}
	if n%2 == 0 { // sent at once
		a.first, a.rest, a.pause = a.first+a.rest, "", 0
	}
	return a
}

// noteNotRun records that a caller was told that an attempt did not run.
func (s *stutterer) noteNotRun(id, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notRun = append(s.notRun, id+"/"+attempt)
}

// checkNotRun checks what callers were told, when the endpoint has read all requests.
func (s *stutterer) checkNotRun(t *testing.T) {
	t.Helper()
	s.conns.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, attempt := range s.notRun {
		if s.ran[attempt] {
			t.Errorf("%s ran, and was reported as not run", attempt)
		}
	}
}

// checkAttempt sends an attempt of a request and checks that the answer, if there is one, is its own
// whole answer. It returns the status, or zero.
func (s *stutterer) checkAttempt(t *testing.T, c *Client, addr, id, attempt string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req := request(id)
	req.Header.Set("X-Attempt", attempt)
	r, err := c.Do(ctx, addr, req)
	if err != nil {
		if ctx.Err() != nil {
			t.Errorf("%s/%s: %v", id, attempt, err)
		}
		return 0
	}
	defer r.Close()
	if r.Header.Get("X-Not-Run") != "" {
		s.noteNotRun(id, attempt)
		_ = r.Discard() // for the sake of the connection alone
		return r.Status
	}
	body, err := r.ReadAll(func(int) error { return nil })
	if err != nil {
		return 0
	}
	if want := "answer to " + id + "/" + attempt; string(body) != want || r.Header.Get("X-Attempt") != attempt {
		t.Errorf("%s/%s: status %d, %v, body %q", id, attempt, r.Status, r.Header, body)
	}
	return r.Status
}

// An endpoint answers requests of several callers twice, the second time late, and callers send refused
// requests again with the same ID at once. Guards against handing out anything but the own whole answer
// of an attempt, and against reporting an attempt that ran as not run.
func TestEndpointThatAnswersTwice(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := &stutterer{rng: rand.New(rand.NewPCG(seed, 2)), ran: map[string]bool{}}
			addr, c := s.listen(t), &Client{}
			var callers sync.WaitGroup
			for i := range 6 {
				callers.Go(func() { s.call(t, c, addr, i) })
			}
			callers.Wait()
			c.closeIdle()
			s.checkNotRun(t)
		})
	}
}

// call sends requests one after the other, of which many have to succeed.
func (s *stutterer) call(t *testing.T, c *Client, addr string, caller int) {
	const requests = 300
	successes := 0
	for i := range requests {
		id := fmt.Sprintf("%d-%d", caller, i)
		status := s.checkAttempt(t, c, addr, id, "1")
		if status == http.StatusServiceUnavailable {
			status = s.checkAttempt(t, c, addr, id, "2")
		}
		if status == http.StatusOK {
			successes++
		}
	}
	if successes < requests/3 {
		t.Errorf("caller %d: %d of %d requests succeeded", caller, successes, requests)
	}
}
