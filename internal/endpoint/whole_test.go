package endpoint_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func plainCall(id string) endpoint.Call {
	return endpoint.Call{RequestID: id, Method: http.MethodPost, Path: "/orders", Body: []byte("x")}
}

// requireNotWhole checks what a caller gets of an answer that was cut.
func requireNotWhole(t *testing.T, err error, a answer) {
	t.Helper()
	if c := result.CodeOf(err); c != result.OutcomeUnknown && c != result.AnswerIncomplete {
		t.Fatalf("got %v (%v), want outcomeUnknown or answerIncomplete", c, err)
	}
	if strings.Contains(strings.Join(a.pieces, ""), "[DONE]") {
		t.Fatal("the end marker was passed on")
	}
}

// A clerk gets half a quote that looks finished. The engine's connection
// breaks at some byte of the answer; the agent takes what it has for the whole
// answer, and the clerk sends it to the buyer.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	for name, text := range map[string]string{"json": jsonAnswer, "chunked": chunkedAnswer, "stream": streamAnswer} {
		t.Run(name, func(t *testing.T) {
			s := &rawServer{answer: func(conn net.Conn, r *http.Request, _ int) bool {
				var cut int
				_, _ = fmt.Sscan(r.Header.Get("X-Request-Id"), &cut)
				send(conn, text[:cut])
				return false
			}}
			c := client(t, s.start(t), func(c *endpoint.Client) { c.Service = true })
			for cut := range len(text) {
				var a answer
				err := c.Do(testContext(t), plainCall(fmt.Sprint(cut)), a.sink)
				requireNotWhole(t, err, a)
			}
			var a answer
			requireCode(t, c.Do(testContext(t), plainCall(fmt.Sprint(len(text))), a.sink), result.OK)
		})
	}
}

// A stream looks finished to the agent because its transfer ended in order,
// but the engine was stopped before it wrote the end marker.
func TestStreamWithoutEndMarkerIsIncomplete(t *testing.T) {
	s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, strings.Replace(streamAnswer, "e\r\ndata: [DONE]\n\n\r\n", "", 1))
		return true
	}}
	c := client(t, s.start(t), nil)
	do(t, c, plainCall("r"), result.AnswerIncomplete)
}

// The same answers arrive whole however the network cuts them: here as single
// bytes.
func TestAnswerByteByByte(t *testing.T) {
	for name, text := range map[string]string{"json": jsonAnswer, "chunked": chunkedAnswer, "stream": streamAnswer} {
		t.Run(name, func(t *testing.T) {
			s := &rawServer{answer: func(conn net.Conn, r *http.Request, _ int) bool {
				text := named(text, r.Header.Get("X-Request-Id"))
				for i := range len(text) {
					send(conn, text[i:i+1])
				}
				return true
			}}
			c := client(t, s.start(t), nil)
			for range 3 {
				a := do(t, c, plainCall("r"), result.OK)
				if name == "stream" && strings.Join(a.pieces, "|") != "data: a\n\n|data: b\n\n|data: [DONE]\n\n" {
					t.Fatalf("pieces %q", a.pieces)
				}
			}
			if s.connCount() != 1 {
				t.Fatalf("%d connections, want 1", s.connCount())
			}
		})
	}
}

// A caller gets somebody else's order confirmation: the endpoint sends an
// answer late, after its connection was given to the next request.
func TestAnswerToAnotherRequestIsRefused(t *testing.T) {
	s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, strings.Replace(jsonAnswer, "\r\n\r\n", "\r\nX-Request-Id: other\r\n\r\n", 1))
		return true
	}}
	c := client(t, s.start(t), nil)
	a := do(t, c, plainCall("mine"), result.OutcomeUnknown)
	if a.head.Status != 0 || len(a.pieces) != 0 {
		t.Fatalf("passed on %+v", a)
	}
}

// An endpoint that breaks the protocol must give an error, never an answer.
func TestMalformedAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"no length":          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nabc",
		"two lengths":        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 1\r\n\r\nabc",
		"negative length":    "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
		"no reason phrase":   "HTTP/1.1 200 \r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"chunk size":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
		"chunk without end":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
		"protocol":           "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"no http":            "SSH-2.0-x\r\n",
		"upgrade":            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"empty with a body":  "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc",
		"data after the end": streamHead + "1d\r\ndata: [DONE]\n\ndata: a\n\ndata: \r\n0\r\n\r\n",
		"inside an event":    streamHead + "15\r\ndata: [DONE]\n\ndata: \r\n0\r\n\r\n",
		"too large":          "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("a", 5000),
		"event too large":    streamHead + "fff\r\n" + strings.Repeat("a", 0xfff) + "\r\nfff\r\n" + strings.Repeat("a", 0xfff) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
				send(conn, text)
				return false
			}}
			c := client(t, s.start(t), func(c *endpoint.Client) { c.MaxAnswerBytes = 4096 })
			var a answer
			requireNotWhole(t, c.Do(testContext(t), plainCall("r"), a.sink), a)
		})
	}
}

// An endpoint that stops in the middle of an answer holds a caller for ever.
func TestSilentEndpoint(t *testing.T) {
	for name, tc := range map[string]struct {
		sent        string
		head, piece time.Duration
		want        result.Code
	}{
		"before the head":   {"", 50 * time.Millisecond, longest, result.OutcomeUnknown},
		"inside the answer": {streamHead, longest, 50 * time.Millisecond, result.AnswerIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
				send(conn, tc.sent)
				<-hold
				return false
			}}
			addr := s.start(t)
			t.Cleanup(func() { close(hold) })
			c := client(t, addr, func(c *endpoint.Client) {
				c.Service = true
				c.HeadTimeout, c.PieceTimeout = tc.head, tc.piece
			})
			do(t, c, chatCall("r", true), tc.want)
		})
	}
}

// A long draft that is not streamed has no head before its last word: the
// bound for heads must not cut it off.
func TestLongWholeAnswer(t *testing.T) {
	s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
		time.Sleep(50 * time.Millisecond)
		send(conn, jsonAnswer)
		return true
	}}
	c := client(t, s.start(t), func(c *endpoint.Client) { c.HeadTimeout = time.Millisecond })
	do(t, c, plainCall("r"), result.OK)
}

// An endpoint that fails says so; the caller has to learn what is known.
func TestFailedStatus(t *testing.T) {
	for status, want := range map[int]result.Code{
		500: result.EndpointFailed, 503: result.OutcomeUnknown, 429: result.OutcomeUnknown, 404: result.OK,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
				send(conn, fmt.Sprintf("HTTP/1.1 %d Status\r\nRetry-After: 2\r\nContent-Length: 4\r\n\r\noops", status))
				return true
			}}
			c := client(t, s.start(t), nil)
			var a answer
			err := c.Do(testContext(t), plainCall("r"), a.sink)
			requireCode(t, err, want)
			if want != result.OK && result.Of(err).RetryAfter() != 2*time.Second {
				t.Fatalf("retry after %v", result.Of(err).RetryAfter())
			}
		})
	}
}
