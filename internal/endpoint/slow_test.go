package endpoint_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// mostAhead is how far an endpoint may get ahead of a sink: what the client
// holds and what both kernels do. The server of the test asks for a small
// send buffer so that this is mostly the client's.
const mostAhead = 1 << 20

// A secretary's network stalls while a long draft streams to her. The agent
// goes on reading from the engine, its memory grows by the draft of each
// stalled caller, and in the end the agent dies with the work of all others.
func TestSlowSinkHoldsEndpointBack(t *testing.T) {
	var sent atomic.Int64
	blocked := make(chan struct{})
	release := make(chan struct{})
	s := &rawServer{answer: func(conn net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("X-Request-Id") == "other" {
			send(conn, jsonAnswer)
			return true
		}
		return flood(conn, &sent, blocked)
	}}
	c := client(t, s.start(t), func(c *endpoint.Client) { c.Service = true })
	done := make(chan error, 1)
	first := make(chan struct{}, 1)
	go func() {
		done <- c.Do(testContext(t), chatCall("slow", true), func(endpoint.Event) error {
			first <- struct{}{}
			<-release
			return io.ErrClosedPipe
		})
	}()
	<-first
	<-blocked
	t.Logf("the endpoint got %d bytes ahead", sent.Load())
	if n := sent.Load(); n > mostAhead {
		t.Errorf("the endpoint got %d bytes ahead, allowed are %d", n, mostAhead)
	}
	do(t, c, plainCall("other"), result.OK)
	close(release)
	requireCode(t, <-done, result.Cancelled)
}

// flood sends pieces until the connection takes no more for a while, which it
// reports on blocked; it gives up at many times mostAhead.
func flood(conn net.Conn, sent *atomic.Int64, blocked chan<- struct{}) bool {
	defer close(blocked)
	if err := conn.(*net.TCPConn).SetWriteBuffer(64 << 10); err != nil {
		return false
	}
	send(conn, streamHead)
	piece := []byte("407\r\ndata: " + strings.Repeat("a", 0x3ff) + "\n\n\r\n")
	for sent.Load() < 32*mostAhead {
		_ = conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := conn.Write(piece)
		sent.Add(int64(n))
		if err != nil {
			return false
		}
	}
	return false
}

// A clerk's long quote lacks its end. The engine writes all of it and closes
// the connection, as it may; the agent is told of the close while a part still
// waits in the socket behind a sink that is slow.
func TestAnswerBeforeCloseIsWhole(t *testing.T) {
	const pieces = 2000
	var text bytes.Buffer
	text.WriteString(strings.Replace(streamHead, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	for range pieces {
		text.WriteString("107\r\ndata: " + strings.Repeat("b", 0xff) + "\n\n\r\n")
	}
	text.WriteString("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
	s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, text.String())
		return false
	}}
	c := client(t, s.start(t), nil)
	got := 0
	err := c.Do(testContext(t), chatCall("r", true), func(e endpoint.Event) error {
		if _, ok := e.(endpoint.Piece); ok {
			got++
		}
		time.Sleep(50 * time.Microsecond)
		return nil
	})
	requireCode(t, err, result.OK)
	if got != pieces+1 {
		t.Fatalf("%d pieces, want %d", got, pieces+1)
	}
}

// A proof sheet of some megabytes never reaches the print desk: the socket
// takes a part, and the rest waits for an event that nobody asked for.
func TestLargeRequestArrives(t *testing.T) {
	want := 24 << 20
	var got atomic.Int64
	s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, jsonAnswer)
		return true
	}}
	s.body = func(r io.Reader) error {
		for range 6 {
			time.Sleep(20 * time.Millisecond) // Both kernels' buffers fill.
			n, err := io.CopyN(io.Discard, r, int64(want/6))
			got.Add(n)
			if err != nil {
				return err
			}
		}
		return nil
	}
	c := client(t, s.start(t), func(c *endpoint.Client) { c.Service = true })
	call := plainCall("r")
	call.Body = make([]byte, want)
	do(t, c, call, result.OK)
	if got.Load() != int64(want) {
		t.Fatalf("%d bytes arrived, want %d", got.Load(), want)
	}
}

// A burst of callers must not open more connections than the endpoint was set
// to take.
func TestConnectionsAreBounded(t *testing.T) {
	const most, callers = 3, 20
	s := &rawServer{answer: func(conn net.Conn, r *http.Request, _ int) bool {
		send(conn, named(jsonAnswer, r.Header.Get("X-Request-Id")))
		return true
	}}
	c := client(t, s.start(t), func(c *endpoint.Client) { c.MaxConns = most })
	done := make(chan error, callers)
	for range callers {
		go func() {
			var a answer
			done <- c.Do(testContext(t), plainCall("r"), a.sink)
		}()
	}
	for range callers {
		requireCode(t, <-done, result.OK)
	}
	if n := s.connCount(); n > most {
		t.Fatalf("%d connections, want %d at most", n, most)
	}
}
