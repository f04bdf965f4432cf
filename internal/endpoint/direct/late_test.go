package direct

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// closeIdle closes all idle connections.
func (c *Client) closeIdle() { c.CloseExpired(time.Now().Add(time.Hour)) }

// A request is sent again with the same ID after a refusal, whose copy arrives late. Guards against
// taking the copy for the answer to the second attempt, which ran.
func TestRepeatedRequestAvoidsTheConnectionOfTheFirst(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"
	addr := serve(t,
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, refusal)
			go func() {
				_, _ = http.ReadRequest(br)
				_, _ = io.WriteString(c, refusal)
			}()
		},
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, responseFor("1", "one"))
		})
	c := &Client{}
	wantBody(t, c, addr, "1", "")
	wantBody(t, c, addr, "1", "one")
	c.closeIdle()
}

// An answer names no request. Guards against taking a late answer to an earlier request for the own
// one, and against rejecting an answer that can be no other.
func TestResponseThatNamesNoRequest(t *testing.T) {
	const unnamed = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	t.Run("on a connection that carried another request", func(t *testing.T) {
		var strays []Stray
		addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, responseFor("1", "one"))
			readRequest(t, br)
			_, _ = io.WriteString(c, unnamed)
			_, _ = br.ReadByte() // until the client closes the connection
		})
		c := &Client{OnStray: func(s Stray) { strays = append(strays, s) }}
		wantBody(t, c, addr, "1", "one")
		if body, err := doAll(c, addr, request("2")); !errors.Is(err, ErrMismatchedResponse) {
			t.Errorf("body %q, %v", body, err)
		}
		if len(strays) != 1 || strays[0].Status != http.StatusServiceUnavailable {
			t.Errorf("reported: %+v", strays)
		}
	})
	t.Run("on a new connection", func(t *testing.T) {
		addr := answer(t, unnamed)
		if body, err := doAll(&Client{}, addr, request("2")); err != nil {
			t.Errorf("body %q, %v", body, err)
		}
	})
	t.Run("to a request without an ID", func(t *testing.T) {
		addr := serve(t,
			func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				_, _ = io.WriteString(c, responseFor("1", "one"))
				_, _ = br.ReadByte() // until the test ends
			},
			func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				_, _ = io.WriteString(c, unnamed)
			})
		c := &Client{}
		wantBody(t, c, addr, "1", "one")
		done := make(chan error, 1)
		go func() {
			_, err := doAll(c, addr, request(""))
			done <- err
		}()
		c.awaitDials(t, 2)
		c.closeIdle()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// awaitDials waits until the client has opened n connections.
func (c *Client) awaitDials(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); c.Dials() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections", c.Dials())
		}
	}
}

// A late answer to a HEAD request names a length but has no body. Guards against taking the beginning
// of the next answer for its body.
func TestLateResponseToHeadRequest(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 48\r\n\r\n"
	own := responseFor("2", responseFor("2", "inner"))
	addr := serve(t,
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, head)
			go func() {
				if _, err := http.ReadRequest(br); err == nil {
					_, _ = io.WriteString(c, head+own)
				}
			}()
		},
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, own)
		})
	c := &Client{}
	req := request("1")
	req.Method = http.MethodHead
	if _, err := doAll(c, addr, req); err != nil {
		t.Fatal(err)
	}
	if body, err := doAll(c, addr, request("2")); err == nil && body != responseFor("2", "inner") {
		t.Errorf("body %q", body)
	}
	c.closeIdle()
}

// A late answer to an earlier request arrives after a HEAD request, which is read as one without a body.
// Guards against taking its body for the next answer.
func TestLateResponseBeforeHeadRequest(t *testing.T) {
	inner := responseFor("2", "")
	addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		_, _ = io.WriteString(c, responseFor("1", inner))
		readRequest(t, br)
		_, _ = io.WriteString(c, responseFor("1", inner))
		_, _ = br.ReadByte() // until the client closes the connection
	})
	c := &Client{}
	wantBody(t, c, addr, "1", inner)
	req := request("2")
	req.Method = http.MethodHead
	if _, err := doAll(c, addr, req); !errors.Is(err, ErrMismatchedResponse) {
		t.Errorf("%v", err)
	}
}

// A refusal names no request, and its copy arrives within the answer to the next request. Guards against
// passing the copy on as a part of that answer.
func TestConnectionOfAnUnnamedResponseIsNotReused(t *testing.T) {
	const unnamed = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	addr := serve(t,
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, unnamed)
			go func() {
				if _, err := http.ReadRequest(br); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\ntwo"+unnamed)
				}
				_ = c.Close()
			}()
		},
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, responseFor("2", "two"))
		})
	c := &Client{}
	if _, err := doAll(c, addr, request("1")); err != nil {
		t.Fatal(err)
	}
	if body, err := doAll(c, addr, request("2")); err != nil || body != "two" {
		t.Errorf("body %q, %v", body, err)
	}
	c.closeIdle()
}

// Late answers to an earlier request arrive before and within an answer, in each form that answers have.
// Guards against passing on any of their bytes.
func TestLateResponsesOfAllForms(t *testing.T) {
	const head, own = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n"
	const end = "0\r\n\r\n"
	late := responseFor("1", "one")
	long := responseFor("1", strings.Repeat("x", maxDiscardedBytes+1))
	for name, c := range map[string]struct {
		text string
		// arrives means that the own answer is received, not an error.
		arrives bool
	}{
		"as many as are skipped":    {strings.Repeat(late, maxStaleResponses) + own + end, true},
		"more than are skipped":     {strings.Repeat(late, maxStaleResponses+1) + own + end, false},
		"in chunks":                 {head + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n" + own + end, true},
		"without length":            {head + "\r\none" + own + end, false},
		"with status 204":           {"HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n" + own + end, true},
		"with status 304":           {"HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\n\r\n" + own + end, true},
		"after an informational":    {"HTTP/1.1 102 Processing\r\n\r\n" + late + own + end, true},
		"before an informational":   {late + "HTTP/1.1 102 Processing\r\n\r\n" + own + end, true},
		"longer than is discarded":  {long + own + end, false},
		"between the chunks":        {own + late + end, false},
		"within a chunk":            {strings.TrimSuffix(own, "o\r\n") + late + "o\r\n" + end, false},
		"with more than its length": {late + "x" + own + end, false},
		"with less than its length": {strings.TrimSuffix(late, "ne") + own + end, false},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(t *testing.T, conn net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				_, _ = io.WriteString(conn, responseFor("1", "one"))
				readRequest(t, br)
				_, _ = io.WriteString(conn, c.text)
				_ = conn.Close()
			})
			client := &Client{}
			wantBody(t, client, addr, "1", "one")
			body, err := doAll(client, addr, request("2"))
			if err == nil && body != "two" || (err == nil) != c.arrives {
				t.Errorf("body %q, %v", body, err)
			}
		})
	}
}
