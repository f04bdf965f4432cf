package direct

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// script is what a stand-in does with one connection.
type script func(t *testing.T, c net.Conn, br *bufio.Reader)

// serve runs one script for each connection, in order, and returns the address.
func serve(t *testing.T, scripts ...script) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for _, s := range scripts {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s(t, c, bufio.NewReader(c))
		}
	}()
	return ln.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(t *testing.T, br *bufio.Reader) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(br)
	if err != nil {
		t.Errorf("request: %v", err)
		return nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Errorf("body: %v", err)
	}
	return r
}

func answerFor(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{"X-Id": {id}},
		Mine: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

// get sends a request and reads its answer.
func get(c *Client, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := c.Do(ctx, addr, request(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

func wantBody(t *testing.T, c *Client, addr, id, want string) {
	t.Helper()
	if got, err := get(c, addr, id); err != nil || got != want {
		t.Fatalf("%q, %v, want %q", got, err, want)
	}
}

// A caller gets the answer to somebody else's order: an endpoint answered an
// earlier request twice, and the second answer lay where the next one was due.
func TestSecondAnswerBelongsToNobody(t *testing.T) {
	t.Run("it is there before the next request", func(t *testing.T) {
		addr := serve(t,
			func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				_, _ = io.WriteString(c, answerFor("1", "one")+answerFor("1", "one"))
			},
			func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				_, _ = io.WriteString(c, answerFor("2", "two"))
			})
		c := &Client{}
		wantBody(t, c, addr, "1", "one")
		wantBody(t, c, addr, "2", "two")
	})
	t.Run("it comes after the next request", func(t *testing.T) {
		addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, answerFor("1", "one"))
			readRequest(t, br)
			_, _ = io.WriteString(c, answerFor("1", "one")+answerFor("2", "two"))
		})
		c := &Client{}
		wantBody(t, c, addr, "1", "one")
		wantBody(t, c, addr, "2", "two")
		if c.Dials() != 1 {
			t.Fatalf("%d connections", c.Dials())
		}
	})
}

// A half answer passes for a whole one: it has no length, and its connection was
// reset where a whole one would have been closed.
func TestAnswerWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	t.Run("closed, it is whole", func(t *testing.T) {
		addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, head+"all of it")
			_ = c.Close()
		})
		wantBody(t, &Client{}, addr, "1", "all of it")
	})
	t.Run("reset, it is not", func(t *testing.T) {
		addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, head+"a part")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		if body, err := get(&Client{}, addr, "1"); err == nil {
			t.Fatalf("%q passed for whole", body)
		}
	})
}

func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"cut short":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nshort",
		"not in the protocol": "\x00\x01 what is this\r\n\r\n",
		"cut in a chunk":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nabc",
		"no end chunk":        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			body, err := get(&Client{}, addr, "1")
			if err == nil {
				t.Fatalf("%q passed for whole", body)
			}
			if IsNotSent(err) {
				t.Fatalf("a request that was sent is said not to be: %v", err)
			}
		})
	}
}

// An order is sent a second time by the client library itself because a kept
// connection broke. Nothing here sends twice: the outcome is unknown.
func TestBrokenKeptConnectionIsNotRetried(t *testing.T) {
	seen := make(chan string, 4)
	addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		seen <- readRequest(t, br).Header.Get("X-Id")
		_, _ = io.WriteString(c, answerFor("1", "one"))
		seen <- readRequest(t, br).Header.Get("X-Id")
		_ = c.Close()
	})
	c := &Client{}
	wantBody(t, c, addr, "1", "one")
	if _, err := get(c, addr, "2"); err == nil || IsNotSent(err) {
		t.Fatalf("%v", err)
	}
	if len(seen) != 2 {
		t.Fatalf("%d requests arrived", len(seen))
	}
}

// An endpoint closes a connection that rests. The next request must not meet it.
func TestClosedKeptConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	addr := serve(t,
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, answerFor("1", "one"))
			_ = c.Close()
			close(closed)
		},
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, answerFor("2", "two"))
		})
	c := &Client{}
	wantBody(t, c, addr, "1", "one")
	<-closed
	time.Sleep(10 * time.Millisecond)
	wantBody(t, c, addr, "2", "two")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	if _, err := get(&Client{}, addr, "1"); !IsNotSent(err) {
		t.Fatalf("%v", err)
	}
}

// An endpoint rejects a long body before it has read it, and reads on later. It
// must find the rest of that body there and nothing else.
func TestEarlyAnswerGetsTheRestOfTheBody(t *testing.T) {
	body := strings.Repeat("b", 4<<20)
	got := make(chan int, 1)
	addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			t.Errorf("request: %v", err)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(30 * time.Millisecond)
		b, err := io.ReadAll(r.Body)
		if err != nil || strings.Trim(string(b), "b") != "" {
			t.Errorf("the rest of the body: %d bytes, %v", len(b), err)
		}
		got <- len(b)
	})
	r := request("1")
	r.Method, r.Body = http.MethodPost, []byte(body)
	a, err := (&Client{}).Do(context.Background(), addr, r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(a); err != nil || a.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("%d, %v", a.Status, err)
	}
	a.Close()
	if n := <-got; n != len(body) {
		t.Fatalf("%d bytes of %d arrived", n, len(body))
	}
}

// A caller leaves. The endpoint must see its connection close, or it works on
// for nobody.
func TestCancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	addr := serve(t, func(t *testing.T, _ net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		_, err := br.ReadByte()
		if err == nil {
			t.Error("a byte came")
		}
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := (&Client{}).Do(ctx, addr, request("1")); !errors.Is(err, context.Canceled) {
		t.Fatalf("%v", err)
	}
	<-closed
}

func TestEvents(t *testing.T) {
	read := func(text string) (ids []int64, err error) {
		e := NewEvents(oneByte{strings.NewReader(text)})
		for {
			ev, err := e.Next()
			if err != nil {
				return ids, err
			}
			ids = append(ids, ev.ID)
		}
	}
	t.Run("whole", func(t *testing.T) {
		ids, err := read("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n")
		if err != io.EOF || fmt.Sprint(ids) != "[1 2 3]" {
			t.Fatalf("%v, %v", ids, err)
		}
	})
	t.Run("torn", func(t *testing.T) {
		ids, err := read("id: 1\ndata: a\n\nid: 2\nda")
		if !errors.Is(err, ErrTorn) || fmt.Sprint(ids) != "[1]" {
			t.Fatalf("%v, %v", ids, err)
		}
	})
}

// oneByte gives one byte at a time.
type oneByte struct{ r io.Reader }

// Read implements io.Reader.
func (o oneByte) Read(p []byte) (int, error) { return o.r.Read(p[:1]) }
