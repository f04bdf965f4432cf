package direct

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// script is what a test server does with one connection.
type script func(t *testing.T, c net.Conn, br *bufio.Reader)

// serve starts a server that runs one script per connection, in order, and returns
// its address.
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
			runtime.KeepAlive(c) // a connection that is collected while its script waits is closed
		}
	}()
	return ln.Addr().String()
}

// readRequest reads one request and discards its body.
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

func responseFor(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{"X-Id": {id}},
		ID: id, ResponseID: func(h http.Header) string { return h.Get("X-Id") },
	}
}

// get sends a request and returns the body of the response.
func get(c *Client, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.Do(ctx, addr, request(id))
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	return string(b), err
}

func wantBody(t *testing.T, c *Client, addr, id, want string) {
	t.Helper()
	if got, err := get(c, addr, id); err != nil || got != want {
		t.Fatalf("got body %q, error %v; want %q", got, err, want)
	}
}

// An endpoint responds to a request twice, and the duplicate is taken for the
// response to the next request on the connection.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	t.Run("duplicate arrives before the next request", func(t *testing.T) {
		addr := serve(t,
			func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				_, _ = io.WriteString(c, responseFor("1", "one")+responseFor("1", "one"))
			},
			func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				_, _ = io.WriteString(c, responseFor("2", "two"))
			})
		c := &Client{}
		wantBody(t, c, addr, "1", "one")
		wantBody(t, c, addr, "2", "two")
	})
	t.Run("duplicate arrives after the next request", func(t *testing.T) {
		addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, responseFor("1", "one"))
			readRequest(t, br)
			_, _ = io.WriteString(c, responseFor("1", "one")+responseFor("2", "two"))
		})
		c := &Client{}
		wantBody(t, c, addr, "1", "one")
		wantBody(t, c, addr, "2", "two")
		if c.Dials() != 1 {
			t.Fatalf("%d connections", c.Dials())
		}
	})
}

// A truncated response without a length is taken for a complete one. Only the way
// in which the connection ends tells them apart: a reset means truncation.
func TestResponseWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	t.Run("closed, response is complete", func(t *testing.T) {
		addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, head+"all of it")
			_ = c.Close()
		})
		wantBody(t, &Client{}, addr, "1", "all of it")
	})
	t.Run("reset, response is truncated", func(t *testing.T) {
		addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, head+"a part")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		if body, err := get(&Client{}, addr, "1"); err == nil {
			t.Fatalf("truncated body %q was accepted", body)
		}
	})
}

func TestBrokenResponses(t *testing.T) {
	for name, text := range map[string]string{
		"cut short":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nshort",
		"not an HTTP message": "\x00\x01 what is this\r\n\r\n",
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
				t.Fatalf("broken response was accepted with body %q", body)
			}
			if IsNotSent(err) {
				t.Fatalf("a request that was sent was reported as not sent: %v", err)
			}
		})
	}
}

// When a reused connection breaks, some HTTP clients resend the request on their
// own, which runs it twice. Here it must fail with an unknown outcome.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	seen := make(chan string, 4)
	addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		seen <- readRequest(t, br).Header.Get("X-Id")
		_, _ = io.WriteString(c, responseFor("1", "one"))
		seen <- readRequest(t, br).Header.Get("X-Id")
		_ = c.Close()
	})
	c := &Client{}
	wantBody(t, c, addr, "1", "one")
	if _, err := get(c, addr, "2"); err == nil || IsNotSent(err) {
		t.Fatalf("%v", err)
	}
	if len(seen) != 2 {
		t.Fatalf("%d requests arrived, want 2", len(seen))
	}
}

// An endpoint closes an idle connection. The next request must not be sent on it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	addr := serve(t,
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, responseFor("1", "one"))
			_ = c.Close()
			close(closed)
		},
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, responseFor("2", "two"))
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

// An endpoint rejects a long request before it has read the body, and reads the
// body later. It must still receive all of the body and nothing else.
func TestEarlyResponseGetsTheRestOfTheBody(t *testing.T) {
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
			t.Errorf("read %d bytes of the request body, error %v", len(b), err)
		}
		got <- len(b)
	})
	req := request("1")
	req.Method, req.Body = http.MethodPost, []byte(body)
	r, err := (&Client{}).Do(context.Background(), addr, req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(r); err != nil || r.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("%d, %v", r.Status, err)
	}
	r.Close()
	if n := <-got; n != len(body) {
		t.Fatalf("%d bytes of %d arrived", n, len(body))
	}
}

// The caller cancels a request. The endpoint must see the connection close, or it
// continues to work on a request without a caller.
func TestCancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	addr := serve(t, func(t *testing.T, _ net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		cancel()
		_, err := br.ReadByte()
		if err == nil {
			t.Error("the server received a byte, want a closed connection")
		}
		close(closed)
	})
	if _, err := (&Client{}).Do(ctx, addr, request("1")); !errors.Is(err, context.Canceled) {
		t.Fatalf("%v", err)
	}
	<-closed
}

func TestEvents(t *testing.T) {
	read := func(text string) (ids []int64, err error) {
		e := NewEventReader(oneByte{strings.NewReader(text)})
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
		if !errors.Is(err, ErrPartialEvent) || fmt.Sprint(ids) != "[1]" {
			t.Fatalf("%v, %v", ids, err)
		}
	})
}

// oneByte returns one byte per read.
type oneByte struct{ r io.Reader }

// Read implements the io.Reader interface.
func (o oneByte) Read(p []byte) (int, error) { return o.r.Read(p[:1]) }
