package eventloop

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// Guards against a Stop that waits forever because it was called before the pollers were running:
// a process told to stop during startup would never exit.
func TestStopRightAfterStart(t *testing.T) {
	nbio.MaxOpenFiles = 4096
	logging.SetLevel(logging.LevelNone)
	for _, pollers := range []int{1, 3, 8} {
		t.Run(fmt.Sprint(pollers), func(t *testing.T) {
			for range 200 {
				e := nbhttp.NewEngine(nbhttp.Config{NPoller: pollers, SupportServerOnly: true})
				gate := &Gate{}
				if err := gate.StartHTTP(e); err != nil {
					t.Fatal(err)
				}
				gate.Stop()
			}
		})
	}
}

// heldPoller is an HTTP engine with one poller, which stops at the data of certain connections.
type heldPoller struct {
	t      *testing.T
	engine *nbhttp.Engine
	gate   *Gate
	addr   string
	// opened receives the connections that the engine was given.
	opened chan *nbio.Conn
	// stopped receives a value when the poller has stopped, and resume makes it go on.
	stopped, resume chan struct{}
}

// stopByte is the data at which the poller stops.
const stopByte = '!'

func newHeldPoller(t *testing.T) *heldPoller {
	t.Helper()
	h := &heldPoller{t: t, opened: make(chan *nbio.Conn, 16), stopped: make(chan struct{}), resume: make(chan struct{})}
	gate := &Gate{}
	h.gate = gate
	h.engine = nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{"127.0.0.1:0"}, NPoller: 1, SupportServerOnly: true,
		Listen: func(network, addr string) (net.Listener, error) {
			ln, err := gate.Listen(network, addr)
			if err == nil {
				h.addr = ln.Addr().String()
			}
			return ln, err
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }),
	})
	InstallHooks(h.engine, func(c net.Conn) { h.opened <- c.(*nbio.Conn) }, func(_ *nbio.Conn, n int) bool {
		if n == 1 {
			h.stopped <- struct{}{}
			<-h.resume
		}
		return true
	})
	if err := gate.StartHTTP(h.engine); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gate.Stop)
	return h
}

// dial returns the client end of a new connection.
func (h *heldPoller) dial() net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	return c
}

// open returns both ends of a new connection.
func (h *heldPoller) open() (net.Conn, *nbio.Conn) {
	h.t.Helper()
	client := h.dial()
	return client, <-h.opened
}

// send makes the poller stop at data from client.
func (h *heldPoller) send(client net.Conn) {
	h.t.Helper()
	if _, err := client.Write([]byte{stopByte}); err != nil {
		h.t.Fatal(err)
	}
}

// Guards against an engine that closes a caller's new connection, whose request it may have read,
// because an earlier connection of the same descriptor was hung up.
func TestHangUpDoesNotCloseTheNextConnectionOfItsNumber(t *testing.T) {
	h := newHeldPoller(t)
	first, _ := h.open()
	second, _ := h.open()
	client, server := h.open()
	number := server.Hash()
	h.send(first)
	<-h.stopped
	// The next batch begins with the data of second, and then has the hang-up.
	h.send(second)
	if err := client.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	h.resume <- struct{}{}
	<-h.stopped
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	next := h.dial()
	select {
	case c := <-h.opened:
		if c.Hash() != number {
			t.Fatalf("the next connection has number %d in place of %d", c.Hash(), number)
		}
	case <-time.After(200 * time.Millisecond):
		// The engine does not have the connection yet.
	}
	h.resume <- struct{}{}
	r, err := http.NewRequest(http.MethodGet, "http://"+h.addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Write(next); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(next), r)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != "answer" {
		t.Errorf("%q, %v", body, err)
	}
}

// occupyBelow occupies all free descriptors below a number until the test ends.
func occupyBelow(t *testing.T, number int) {
	t.Helper()
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = f.Close() })
		if int(f.Fd()) > number {
			return
		}
	}
}

// Guards against a client that closes its new connection to an endpoint, because the endpoint
// closed an earlier one of the same descriptor: an order that runs once would have no known outcome.
func TestHangUpDoesNotCloseTheDialedConnectionOfItsNumber(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	stopped, resume := make(chan struct{}), make(chan struct{}, 1)
	data, closed := make(chan string, 1), make(chan *nbio.Conn, 16)
	gate := &Gate{}
	e := nbio.NewEngine(nbio.Config{NPoller: 1, EpollMod: nbio.EPOLLET, EPOLLONESHOT: nbio.EPOLLONESHOT})
	InstallReadHook(e, func(c *nbio.Conn) {
		buf := make([]byte, 64)
		n, err := c.Read(buf)
		switch {
		case n == 1:
			stopped <- struct{}{}
			<-resume
		case err == nil && n > 0:
			data <- string(buf[:n])
		}
		c.ResetPollerEvent()
	})
	e.OnClose(func(c *nbio.Conn, _ error) { closed <- c })
	if err := gate.StartEngine(e); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gate.Stop)
	// dial returns the endpoint's end and the client's end of a new connection.
	dial := func() (server, client net.Conn) {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err = ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		return server, client
	}
	add := func(c *nbio.Conn) error {
		if err := gate.Await(t.Context(), c); err != nil {
			return err
		}
		_, err := e.AddConn(c)
		return err
	}
	open := func() (net.Conn, *nbio.Conn) {
		server, conn := dial()
		client, err := nbio.NBConn(conn)
		if err != nil {
			t.Fatal(err)
		}
		if err := add(client); err != nil {
			t.Fatal(err)
		}
		return server, client
	}
	send := func(to net.Conn, text string) {
		if _, err := io.WriteString(to, text); err != nil {
			t.Fatal(err)
		}
	}
	first, _ := open()
	second, _ := open()
	lost, lostClient := open()
	occupyBelow(t, lostClient.Hash())
	next, unconverted := dial()
	send(first, string(stopByte))
	<-stopped
	send(second, string(stopByte))
	if err := lost.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	resume <- struct{}{}
	<-stopped
	if err := lostClient.Close(); err != nil {
		t.Fatal(err)
	}
	nextClient, err := nbio.NBConn(unconverted)
	if err != nil {
		t.Fatal(err)
	}
	if nextClient.Hash() != lostClient.Hash() {
		t.Fatalf("the next connection has number %d in place of %d", nextClient.Hash(), lostClient.Hash())
	}
	added := make(chan error, 1)
	go func() { added <- add(nextClient) }()
	select {
	case err = <-added:
		added <- err
	case <-time.After(200 * time.Millisecond):
		// The engine does not have the connection yet.
	}
	resume <- struct{}{}
	if err := <-added; err != nil {
		t.Fatal(err)
	}
	// The poller has come past the hang-up when it stops again.
	send(first, string(stopByte))
	<-stopped
	resume <- struct{}{}
	send(next, "answer")
	for {
		select {
		case c := <-closed:
			if c == nextClient {
				t.Fatal("the next connection was closed")
			}
		case text := <-data:
			if text != "answer" {
				t.Errorf("%q", text)
			}
			return
		case <-time.After(10 * time.Second):
			t.Fatal("no answer")
		}
	}
}

// The time until an engine may be given a connection, by the number of connections that wait at
// once.
func BenchmarkAwait(b *testing.B) {
	nbio.MaxOpenFiles = 4096
	logging.SetLevel(logging.LevelNone)
	for _, atOnce := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(atOnce), func(b *testing.B) {
			gate := &Gate{}
			e := nbhttp.NewEngine(nbhttp.Config{NPoller: 1, SupportServerOnly: true})
			if err := gate.StartHTTP(e); err != nil {
				b.Fatal(err)
			}
			defer gate.Stop()
			c := &nbio.Conn{}
			done := make(chan error, atOnce)
			for b.Loop() {
				for range atOnce {
					go func() { done <- gate.Await(b.Context(), c) }()
				}
				for range atOnce {
					if err := <-done; err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// The platform leads most new connections to one process, whose poller is busy. Guards against
// requests that lie unread until their callers have given up.
func TestConnectionsThatWaitTooLongAreClosedUnread(t *testing.T) {
	h := newHeldPoller(t)
	first, _ := h.open()
	h.send(first)
	<-h.stopped
	waiting := h.dial()
	if _, err := io.WriteString(waiting, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := waiting.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	_, err := waiting.Read(make([]byte, 1))
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the connection was not closed while the poller was busy: %v", err)
	}
	h.resume <- struct{}{}
	client, _ := h.open()
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a connection after that: %v, %v", resp, err)
	}
}
