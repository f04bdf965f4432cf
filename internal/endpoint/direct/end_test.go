package direct

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// bodyInProgress, in bytes, is more than the kernel holds for an endpoint that doesn't read.
const bodyInProgress = 16 << 20

// answerEarly starts a server that reads the head of a request, sends text, and ends the connection as end says.
func answerEarly(t *testing.T, text string, end func(c *net.TCPConn)) string {
	return serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			t.Errorf("request: %v", err)
		}
		_, _ = io.WriteString(c, text)
		end(c.(*net.TCPConn))
	})
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// longRequest returns a request that is still being written when its response arrives.
func longRequest() *Request {
	req := request("1")
	req.Method, req.Body = http.MethodPost, make([]byte, bodyInProgress)
	return req
}

// readBehindWriter sends req and reads the whole response with read when the writer of the request has been told
// how the connection ended.
func readBehindWriter(t *testing.T, addr string, read func(r *Response) error) error {
	t.Helper()
	// The time limits only end a test that hangs.
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := (&Client{StallTimeout: 20 * time.Second}).Do(ctx, addr, longRequest())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	<-r.writer.done
	return read(r)
}

func readBody(r *Response) error {
	_, err := r.ReadAll(func(int) error { return nil })
	return err
}

func readEvents(r *Response) error {
	events := r.Events()
	for {
		if _, err := events.Next(); err != nil {
			return ignoreEOF(err)
		}
	}
}

func awaitEvents(r *Response) error {
	events := r.Events()
	for {
		if err := events.Await(); err != nil {
			return ignoreEOF(err)
		}
		if _, err := events.Next(); err != nil {
			return ignoreEOF(err)
		}
	}
}

func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// waysToRead are the ways to read the body of a response.
var waysToRead = map[string]func(r *Response) error{"whole": readBody, "events": readEvents, "awaited events": awaitEvents}

// The write of a request is told that the endpoint has reset the connection, and the read is not. Guards against
// taking that for the end of a body without length.
func TestResetThatTheWriterIsToldIsNoEndOfABody(t *testing.T) {
	for name, read := range waysToRead {
		t.Run(name, func(t *testing.T) {
			addr := answerEarly(t, unframedHead+"id: 1\ndata: a\n\n", reset)
			if err := readBehindWriter(t, addr, read); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%v", err)
			}
		})
	}
	t.Run("discarded", func(t *testing.T) {
		complete := false
		addr := answerEarly(t, unframedHead+"a", reset)
		err := readBehindWriter(t, addr, func(r *Response) error {
			defer func() { complete = r.Complete() }()
			return r.Discard()
		})
		if err != nil || complete {
			t.Errorf("complete %v, %v", complete, err)
		}
	})
}

// The endpoint stops reading the request within its answer, until the kernel gives the connection up. Guards against
// taking that for the end of the body.
func TestTimeoutThatTheWriterIsToldIsNoEndOfABody(t *testing.T) {
	for name, read := range waysToRead {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			defer close(ended)
			addr := answerEarly(t, unframedHead+"id: 1\ndata: a\n\n", func(*net.TCPConn) { <-ended })
			if err := readBehindWriter(t, addr, read); !errors.Is(err, syscall.ETIMEDOUT) {
				t.Errorf("%v", err)
			}
		})
	}
}

// The endpoint resets the connection before it answers, while the request is being written. Guards against reporting
// that it closed the connection in order.
func TestResetBeforeTheHeadIsReported(t *testing.T) {
	for name, req := range map[string]*Request{"while the request is written": longRequest(), "behind the request": request("1")} {
		for at, text := range map[string]string{"before a line": "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "within a line": "HTTP/1.1 200 OK\r\nX-"} {
			t.Run(name+", "+at, func(t *testing.T) {
				addr := answerEarly(t, text, func(c *net.TCPConn) {
					time.Sleep(20 * time.Millisecond) // until the request can't be written any more
					reset(c)
				})
				if _, err := doAll(&Client{}, addr, req); !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("%v", err)
				}
			})
		}
	}
}

// The endpoint ends its side of the connection in order and then rejects the rest of the request, before or after the
// answer is read. Guards against losing an answer that has arrived whole.
func TestBodyThatEndsBeforeTheResetIsWhole(t *testing.T) {
	for name, read := range waysToRead {
		t.Run(name, func(t *testing.T) {
			addr := answerEarly(t, unframedHead+"id: 1\ndata: a\n\n", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				time.Sleep(20 * time.Millisecond)
				reset(c)
			})
			if err := readBehindWriter(t, addr, read); err != nil {
				t.Error(err)
			}
		})
	}
}

// The endpoint answers, ends its side of the connection and reads the request later. Guards against waiting for the
// request to be written before the answer is passed on.
func TestBodyIsWholeWhileTheRequestIsWritten(t *testing.T) {
	read := make(chan struct{})
	got := make(chan int64, 1)
	addr := answerEarly(t, unframedHead+strings.Repeat("a", 100<<10), func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-read
		n, _ := io.Copy(io.Discard, c)
		got <- n
	})
	body, err := doAll(&Client{}, addr, longRequest())
	if err != nil || len(body) != 100<<10 {
		t.Errorf("%d bytes, %v", len(body), err)
	}
	close(read)
	if n := <-got; n == 0 {
		t.Error("nothing of the request arrived behind the answer")
	}
}
