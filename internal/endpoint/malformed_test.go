package endpoint_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// doInParts calls an endpoint that sends text, once in one part and once byte by byte, and has check look at each result.
func doInParts(t *testing.T, text string, check func(err error, a answer)) {
	t.Helper()
	for _, part := range []int{len(text), 1} {
		s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
			for i := 0; i < len(text); i += part {
				send(conn, text[i:min(i+part, len(text))])
			}
			return false
		}}
		var a answer
		err := client(t, s.start(t), nil).Do(testContext(t), plainCall("r"), a.sink)
		check(err, a)
	}
}

// requireRefused checks that a call gets no answer from an endpoint that sends text.
func requireRefused(t *testing.T, text string) {
	t.Helper()
	doInParts(t, text, func(err error, a answer) { requireNotWhole(t, err, a) })
}

// An endpoint sends a status that no answer can have, and a sound answer behind it. Guards against passing on either.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "999", "0200", "x200", "2000", " 200", "20"} {
		for name, head := range map[string]string{
			"without a body": "HTTP/1.1 " + status + " X\r\nX-Request-Id: r\r\n\r\n",
			"with a length":  "HTTP/1.1 " + status + " X\r\nX-Request-Id: r\r\nContent-Length: 2\r\n\r\nok",
			"informational":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 " + status + " X\r\n\r\n",
		} {
			t.Run(status+" "+name, func(t *testing.T) { requireRefused(t, head+named(jsonAnswer, "r")) })
		}
	}
}

// An endpoint sends a field whose name is no token. Guards against a body that is cut by a length which no field
// states, and against believing the rest of such a head.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"a blank in a name":        "X A: b",
		"a blank behind a length":  "Content-Length x: 3",
		"a blank before the colon": "X-A : b",
		"a tab before the colon":   "X-A\t: b",
		"a control byte":           "X\x01A: b",
		"a blank before the name":  " X-A: b",
		"a byte beyond ASCII":      "X\xffA: b",
		"no name":                  ": b",
		"no colon":                 "X-A",
		"a blank behind the ID":    "X-Request-Id x: r",
	} {
		t.Run(name, func(t *testing.T) {
			for _, text := range []string{jsonAnswer, chunkedAnswer, streamAnswer} {
				sound := named(text, "r")
				requireRefused(t, strings.Replace(sound, "\r\n", "\r\n"+line+"\r\n", 1))
				requireRefused(t, "HTTP/1.1 103 Early Hints\r\nX-B: b\r\n"+line+"\r\n\r\n"+sound)
			}
		})
	}
	t.Run("the length itself", func(t *testing.T) {
		requireRefused(t, named(strings.Replace(jsonAnswer, "Content-Length: 13", "Content-Length x: 3", 1), "r"))
		requireRefused(t, named(strings.Replace(jsonAnswer, "Content-Length:", "Content-Length :", 1), "r"))
		requireRefused(t, named(strings.Replace(chunkedAnswer, "Transfer-Encoding:", "Transfer-Encoding :", 1), "r"))
	})
	t.Run("behind a late answer", func(t *testing.T) {
		requireRefusedBehind(t, named(ownAnswer(http.StatusOK, "late: body\r\nX A: b\r\n"), "first"))
		requireRefusedBehind(t, named(chunkedAnswer, "first"))
	})
}

// requireRefusedBehind checks that a call on a connection that has carried another one gets no answer if a malformed one
// follows a late answer to the first call.
func requireRefusedBehind(t *testing.T, late string) {
	t.Helper()
	s := &rawServer{answer: func(conn net.Conn, _ *http.Request, n int) bool {
		if n == 0 {
			send(conn, named(jsonAnswer, "first"))
			return true
		}
		send(conn, late+strings.Replace(named(jsonAnswer, "r"), "\r\n", "\r\nX A: b\r\n", 1))
		return false
	}}
	c := client(t, s.start(t), func(c *endpoint.Client) { c.Service = true }) // an engine is sent a cancel on a connection of its own
	var a answer
	if err := c.Do(testContext(t), plainCall("first"), a.sink); err != nil {
		t.Fatal(err)
	}
	a = answer{}
	requireNotWhole(t, c.Do(testContext(t), plainCall("r"), a.sink), a)
	if s.connCount() != 1 {
		t.Fatalf("%d connections: the case was not met", s.connCount())
	}
}

// An endpoint sends a field value that no field can have. Guards against passing it on in the type of the answer.
func TestInvalidFieldValueIsNoAnswer(t *testing.T) {
	for _, c := range []string{"\x00", "\x01", "\x0b", "\x1b", "\x7f", "\n"} {
		for _, name := range []string{"Content-Type", "X-A"} {
			t.Run(fmt.Sprintf("%s %q", name, c), func(t *testing.T) {
				sound := named("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "r")
				requireRefused(t, strings.Replace(sound, "\r\n", "\r\n"+name+": text"+c+"/plain\r\n", 1))
			})
		}
	}
}

// An endpoint sends malformed heads. Guards against lines that don't say what it sent, or say too much of it.
func TestMalformedHeadIsLogged(t *testing.T) {
	long := strings.Repeat("x", 1<<10)
	for name, text := range map[string]string{
		"a status": "HTTP/1.1 000 Oops\r\n",
		"a name":   "HTTP/1.1 200 OK\r\nX A: b\r\n",
		"a value":  "HTTP/1.1 200 OK\r\nX-A: b\x00\r\n",
		"no head":  "\x00\xff" + long + "\r\n",
		"a word":   "HTTP/1.1 200 OK\r\n" + long + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
				send(conn, text)
				return false
			}}
			log, hook := logtest.NewNullLogger()
			do(t, client(t, s.start(t), func(c *endpoint.Client) { c.Log = log }), plainCall("r"), result.OutcomeUnknown)
			line := hook.LastEntry()
			if line == nil || line.Message != "answer from endpoint has a malformed head" {
				t.Fatalf("%v", line)
			}
			first, err := strconv.Unquote(fmt.Sprint(line.Data["firstBytes"]))
			if err != nil || first == "" || len(first) > 64 || !strings.HasPrefix(text, first) || line.Data["cause"] == "" {
				t.Errorf("%v, %v", line.Data, err)
			}
		})
	}
}

// Unusual fields are valid. Guards against refusing them.
func TestUnusualFieldsAreAnAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"all characters of a token": "X!#$%&'*+-.^_`|~09azAZ: b",
		"an empty value":            "X-A:",
		"blanks around a value":     "X-A:  b ",
		"a tab in a value":          "X-A: b\tc",
		"bytes beyond ASCII":        "X-A: \u00e4\xff",
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(named(jsonAnswer, "r"), "\r\n", "\r\n"+line+"\r\n", 1)
			doInParts(t, text, func(err error, _ answer) {
				if err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// An endpoint answers with chunks over HTTP/1.0, which has none. Guards against passing on the sizes of the chunks as a
// part of the body.
func TestChunksOverHTTP10AreRead(t *testing.T) {
	s := &rawServer{answer: func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, strings.Replace(named(chunkedAnswer, "r"), "HTTP/1.1", "HTTP/1.0", 1))
		return false
	}}
	a := do(t, client(t, s.start(t), nil), plainCall("r"), result.OK)
	if got := strings.Join(a.pieces, ""); got != "abcde" {
		t.Errorf("body %q", got)
	}
}

// An endpoint answers a long request without length while it is being written, and ends the connection. Guards against
// taking a part for the whole answer.
func TestAnswerWithoutLengthDuringAnUploadIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"text":   "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart",
		"stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n",
	} {
		for _, reset := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				s := &rawServer{
					body: func(io.Reader) error { return nil },
					answer: func(conn net.Conn, _ *http.Request, _ int) bool {
						send(conn, named(text, "r"))
						time.Sleep(5 * time.Millisecond)
						if tcp, ok := conn.(*net.TCPConn); ok && reset {
							_ = tcp.SetLinger(0)
						}
						return false
					},
				}
				c := client(t, s.start(t), func(c *endpoint.Client) { c.MaxAnswerBytes = 8 << 20 })
				call := plainCall("r")
				call.Body = make([]byte, 4<<20)
				var a answer
				requireNotWhole(t, c.Do(testContext(t), call, a.sink), a)
				if len(a.pieces) > 0 {
					t.Errorf("pieces %q", a.pieces)
				}
			})
		}
	}
}
