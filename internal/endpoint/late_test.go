package endpoint_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// named returns the answer with the ID of the request.
func named(answer, id string) string {
	return strings.Replace(answer, "\r\n\r\n", "\r\nX-Request-Id: "+id+"\r\n\r\n", 1)
}

// ownAnswer is an answer whose body tells which request it is for.
func ownAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// repeater answers each request of a connection, and sends the answer to the one before once more
// when the next one has arrived.
func repeater(answerTo func(r *http.Request) string) *rawServer {
	return &rawServer{answerAll: func() func(net.Conn, *http.Request, int) bool {
		before := ""
		return func(conn net.Conn, r *http.Request, _ int) bool {
			own := answerTo(r)
			send(conn, before+own)
			before = own
			return true
		}
	}}
}

// requireOwn checks that a request got its own answer.
func requireOwn(t *testing.T, c *endpoint.Client, id string) {
	t.Helper()
	a := do(t, c, plainCall(id), result.OK)
	if got := strings.TrimRight(strings.Join(a.pieces, ""), " "); got != "for "+id {
		t.Fatalf("%s got %q", id, got)
	}
}

// Guards against a caller who gets another one's answer from an endpoint that names no requests and
// answers twice, the second time when the next request has arrived.
func TestLateAnswerWithoutIDIsNotTheNextRequests(t *testing.T) {
	s := repeater(func(r *http.Request) string { return ownAnswer(200, "for "+r.Header.Get("X-Request-Id")) })
	c := client(t, s.start(t), nil)
	for n := range 8 {
		requireOwn(t, c, fmt.Sprint("r", n))
	}
}

// Guards against a request that fails, and an order whose outcome is unknown, because the endpoint
// sent the named answer to an earlier one once more.
func TestLateAnswerWithAnotherIDIsSkipped(t *testing.T) {
	for name, answerTo := range map[string]func(id string) string{
		"whole": func(id string) string { return ownAnswer(200, "for "+id) },
		"chunked": func(id string) string {
			return strings.Replace(chunkedAnswer, "3\r\nabc\r\n2\r\nde", fmt.Sprintf("%x\r\nfor %s", len("for "+id), id), 1)
		},
		"long": func(id string) string { return ownAnswer(200, "for "+id+strings.Repeat(" ", 40<<10)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := repeater(func(r *http.Request) string {
				id := r.Header.Get("X-Request-Id")
				return named(answerTo(id), id)
			})
			registry := metrics.NewRegistry()
			c := client(t, s.start(t), func(c *endpoint.Client) { c.Metrics = registry })
			for n := range 8 {
				requireOwn(t, c, fmt.Sprint("r", n))
			}
			if n := s.connCount(); n != 1 {
				t.Errorf("%d connections, want 1", n)
			}
			if n := metrics.GetOrRegisterCounter("endpoint.stray.answers", registry).Count(); n != 7 {
				t.Errorf("%d stray answers counted, want 7", n)
			}
		})
	}
}

// Guards against a second attempt that gets the failure of the first one, whose ID is the same.
func TestLateFailureIsNotTheNextAttempts(t *testing.T) {
	for _, status := range []int{429, 500, 502, 503, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := repeater(func(r *http.Request) string {
				if r.Header.Get("X-Attempt") == "1" {
					return named(ownAnswer(status, "failed"), "r")
				}
				return named(ownAnswer(200, "for r"), "r")
			})
			c := client(t, s.start(t), nil)
			first := plainCall("r")
			first.Attempt = 1
			var a answer
			if err := c.Do(testContext(t), first, a.sink); err == nil {
				t.Fatal("the first attempt did not fail")
			}
			requireOwn(t, c, "r")
		})
	}
}

// Guards against an order that counts as carried out, or as refused, by the late second answer to
// the order or report before it.
func TestLateAnswerIsNotTheNextOrders(t *testing.T) {
	for name, named := range map[string]func(answer, id string) string{
		"named": named, "not named": func(answer, _ string) string { return answer },
	} {
		t.Run(name, func(t *testing.T) {
			s := repeater(func(r *http.Request) string {
				id := r.Header.Get("X-Request-Id")
				switch r.URL.Path {
				case "/v1/orders/loadModel":
					return named(ownAnswer(200, ""), id)
				case "/v1/orders/changeRole":
					return named(ownAnswer(412, ""), id)
				default:
					return named(ownAnswer(200, `{"incarnation":"7"}`), id)
				}
			})
			c := client(t, s.start(t), nil)
			for range 3 {
				requireCode(t, c.LoadModel(testContext(t), 1, endpoint.ModelOrder{Model: "m"}), result.OK)
				requireCode(t, c.ChangeRole(testContext(t), 1, endpoint.RoleOrder{Role: "r"}), result.StaleFencing)
				if l, err := c.Load(testContext(t)); err != nil || l.Incarnation != "7" {
					t.Fatalf("%+v, %v", l, err)
				}
			}
		})
	}
}

// Guards against a stray answer without an ID on a connection whose other answers had one.
func TestAnswerWithoutIDOnAUsedConnectionIsNoAnswer(t *testing.T) {
	for status, code := range map[int]result.Code{
		200: result.OutcomeUnknown, 404: result.OutcomeUnknown, 500: result.OutcomeUnknown, 503: result.OutcomeUnknown,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := &rawServer{answer: func(conn net.Conn, r *http.Request, n int) bool {
				if n == 1 {
					send(conn, ownAnswer(status, "for another"))
				}
				id := r.Header.Get("X-Request-Id")
				send(conn, named(ownAnswer(200, "for "+id), id))
				return true
			}}
			c := client(t, s.start(t), nil)
			requireOwn(t, c, "r0")
			if a := do(t, c, plainCall("r1"), code); len(a.pieces) > 0 {
				t.Fatalf("passed on %q", a.pieces)
			}
			requireOwn(t, c, "r2")
		})
	}
}

// Guards against the loss of each answer without an ID from an endpoint that names requests in some
// of its answers only.
func TestEndpointThatNamesSomeRequestsIsServed(t *testing.T) {
	s := &rawServer{answer: func(conn net.Conn, r *http.Request, n int) bool {
		id := r.Header.Get("X-Request-Id")
		if n%2 == 1 {
			send(conn, ownAnswer(404, "for "+id))
		} else {
			send(conn, named(ownAnswer(200, "for "+id), id))
		}
		return true
	}}
	c := client(t, s.start(t), nil)
	requireOwn(t, c, "r0")
	do(t, c, plainCall("r1"), result.OutcomeUnknown)
	for n := 2; n < 10; n++ {
		requireOwn(t, c, fmt.Sprint("r", n))
	}
}

// Guards against an agent that takes a restarted engine for warm: the engine names no requests, so that
// no connection is kept for another call, and its restart shows in nothing else.
func TestRestartOfAnEndpointThatNamesNoRequestsIsSeen(t *testing.T) {
	lost := make(chan time.Duration, 1)
	restart := make(chan struct{})
	s := &rawServer{answer: func(conn net.Conn, _ *http.Request, n int) bool {
		send(conn, jsonAnswer)
		if n == 1 {
			<-restart
			return false
		}
		return true
	}}
	c := client(t, s.start(t), func(c *endpoint.Client) { c.Lost = func(idle time.Duration) { lost <- idle } })
	do(t, c, plainCall("r0"), result.OK)
	do(t, c, plainCall("r1"), result.OK)
	close(restart)
	select {
	case <-lost:
	case <-testContext(t).Done():
		t.Fatal("the restart was not seen")
	}
}

// Guards against one connection more than the endpoint was set to take, where it names no requests.
func TestConnectionsToAnEndpointThatNamesNoRequestsAreBounded(t *testing.T) {
	closed := make(chan struct{})
	addr := listen(t, func(conn net.Conn, n int) {
		defer func() { _ = conn.Close() }()
		br := bufio.NewReader(conn)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		if n > 0 {
			<-closed
		}
		send(conn, jsonAnswer)
		_, _ = io.Copy(io.Discard, br) // Ends when the client closes the connection.
		if n == 0 {
			close(closed)
		}
	})
	c := client(t, addr, func(c *endpoint.Client) { c.MaxConns = 1 })
	do(t, c, plainCall("r0"), result.OK)
	do(t, c, plainCall("r1"), result.OK)
}
