package endpoint_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/service"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// A clerk is told that an order was not run, sends it again, and two pallets
// ship. The service closes a kept connection just as the next order is written
// to it: the order was read and run, only its answer is lost.
func TestClosedWhileWritingIsNotARefusal(t *testing.T) {
	s := &rawServer{answer: func(conn net.Conn, r *http.Request, n int) bool {
		if n == 0 {
			send(conn, named(jsonAnswer, r.Header.Get("X-Request-Id")))
			return true
		}
		return false
	}}
	c := client(t, s.start(t), func(c *endpoint.Client) { c.Service = true })
	a := do(t, c, plainCall("first"), result.OK)
	err := c.Do(testContext(t), plainCall("second"), a.sink)
	requireCode(t, err, result.OutcomeUnknown)
	if endpoint.ConnectionLost(err) {
		t.Error("an idle connection that closes is taken for a fallen endpoint")
	}
	if !s.hasRun("second") || s.connCount() != 1 {
		t.Fatalf("ran %v on %d connections: the case was not met", s.hasRun("second"), s.connCount())
	}
}

// Guards against a time that was misread: half a second as none, and a very large one as negative.
func TestRetryAfterOfARefusal(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.5": 500 * time.Millisecond, "99999999999": 24 * time.Hour,
		"": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "soon": 0,
	} {
		s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
			send(conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: "+text+"\r\nContent-Length: 0\r\n\r\n")
			return true
		}}
		c := client(t, s.start(t), nil)
		var a answer
		err := c.Do(testContext(t), plainCall("r"), a.sink)
		if got := result.Of(err).RetryAfter(); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// An endpoint that is not there has run nothing, and the caller may go
// elsewhere at once.
func TestNobodyListensIsARefusal(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	c := client(t, addr, nil)
	var a answer
	err = c.Do(testContext(t), plainCall("r"), a.sink)
	requireCode(t, err, result.EndpointDown)
	if !endpoint.ConnectionLost(err) {
		t.Error("no sign of a fallen endpoint")
	}
}

// An engine falls over and drops the requests that it has just taken, before
// any head: that is the moment to stop sending to it.
func TestFallenEndpointIsSeen(t *testing.T) {
	s := &rawServer{answer: func(net.Conn, *http.Request, int) bool { return false }}
	c := client(t, s.start(t), nil)
	var a answer
	err := c.Do(testContext(t), plainCall("r"), a.sink)
	requireCode(t, err, result.OutcomeUnknown)
	if !endpoint.ConnectionLost(err) {
		t.Error("no sign of a fallen endpoint")
	}
}

// A header or path with a line break in it must not become a request of its
// own.
func TestLineBreaksDontLeave(t *testing.T) {
	s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, jsonAnswer)
		return true
	}}
	c := client(t, s.start(t), nil)
	for name, change := range map[string]func(*endpoint.Call){
		"path":   func(c *endpoint.Call) { c.Path = "/a b\r\nX: y" },
		"method": func(c *endpoint.Call) { c.Method = "GET / HTTP/1.1\r\n\r\nGET" },
		"key":    func(c *endpoint.Call) { c.IdempotencyKey = "k\r\nX: y" },
	} {
		t.Run(name, func(t *testing.T) {
			call := plainCall(name)
			change(&call)
			do(t, c, call, result.MalformedRequest)
			if s.hasRun(name) {
				t.Fatal("ran, but was told that it was not")
			}
		})
	}
}

// history is what callers were told, by request id.
type history struct {
	mu   sync.Mutex
	told map[string]result.Code
}

func (h *history) note(id string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[id] = result.CodeOf(err)
}

// requireTrue compares what callers were told with what ran.
func (h *history) requireTrue(t *testing.T, ran map[string]int) {
	t.Helper()
	for id, code := range h.told {
		switch {
		case code.Effect() == result.NotRun && ran[id] > 0:
			t.Errorf("%s: told %v, ran %d times", id, code, ran[id])
		case code.Effect() == result.Ran && ran[id] == 0:
			t.Errorf("%s: told %v, never ran", id, code)
		case ran[id] > 1:
			t.Errorf("%s: ran %d times", id, ran[id])
		}
	}
}

// Print orders go to a print desk that loses connections before and after the
// press has started, fails after it, refuses, and is cut off from its agent.
// Each secretary who is told "not run" must be able to send again safely.
func TestRefusalsAreTrue(t *testing.T) {
	desk := &service.Service{}
	desk.SetFaults(service.Faults{FailAfterEffect: 40, DropAfterEffect: 60, DropBeforeEffect: 20, Unavailable: 30})
	relay := &cutter{target: serve(t, desk)}
	c := client(t, relay.start(t), func(c *endpoint.Client) { c.Service = true; c.MaxConns = 4 })
	h := &history{told: map[string]result.Code{}}
	var wg sync.WaitGroup
	for caller := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 50 {
				id := fmt.Sprintf("%d-%d", caller, n)
				ctx, cancel := context.WithCancel(testContext(t))
				if n%7 == 6 {
					cancel()
				}
				var a answer
				h.note(id, c.Do(ctx, plainCall(id), a.sink))
				cancel()
			}
		}()
	}
	wg.Wait()
	counters := desk.Counters()
	h.requireTrue(t, counters.Ran)
	seen := map[result.Effect]int{}
	for _, code := range h.told {
		seen[code.Effect()]++
	}
	if seen[result.Ran] == 0 || seen[result.Unknown] == 0 {
		t.Fatalf("the faults were not met: %v", seen)
	}
}

// cutter stands between a client and its endpoint and cuts each fifth
// connection as its first answer begins, and refuses each eleventh.
type cutter struct {
	target string
}

func (k *cutter) start(t *testing.T) string {
	return listen(t, func(conn net.Conn, n int) {
		if n%11 != 10 {
			k.relay(conn, n%5 == 4)
		}
		_ = conn.Close()
	})
}

func (k *cutter) relay(conn net.Conn, cut bool) {
	out, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(out, conn) // Ends with either side.
		_ = out.Close()
	}()
	if cut {
		_, _ = io.CopyN(conn, out, int64(len("HTTP/1.1 2")))
	} else {
		_, _ = io.Copy(conn, out)
	}
	_ = conn.Close()
	<-done
}

// The key of a request reaches the service as it was given.
func TestKeyReachesService(t *testing.T) {
	desk := &service.Service{}
	c := client(t, serve(t, desk), func(c *endpoint.Client) { c.Service = true })
	call := plainCall("r")
	call.IdempotencyKey = "order-1"
	a := do(t, c, call, result.OK)
	if n := desk.Counters().Runs["order-1"]; n != 1 || !strings.Contains(a.pieces[0], `"key":"order-1"`) {
		t.Fatalf("%d runs, answer %q", n, a.pieces)
	}
}
