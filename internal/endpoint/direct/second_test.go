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

const unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"

// doAll sends a request and returns the whole body of the response.
func doAll(c *Client, addr string, req *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.Do(ctx, addr, req)
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := r.ReadAll(func(int) error { return nil })
	return string(b), err
}

// answerOneByOne starts a server that sends text one byte at a time and closes the connection.
func answerOneByOne(t *testing.T, text string) string {
	return serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		for i := range len(text) {
			_, _ = c.Write([]byte{text[i]})
		}
		_ = c.Close()
	})
}

// doEvents sends a request and returns the blocks of the response's stream.
func doEvents(c *Client, addr string, req *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.Do(ctx, addr, req)
	if err != nil {
		return "", err
	}
	defer r.Close()
	var all strings.Builder
	events := r.Events()
	for {
		ev, err := events.Next()
		if err == io.EOF {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
		all.Write(ev.Raw)
	}
}

// An endpoint answers twice, and only the close of the connection ends its answers. Guards against
// taking the second answer for a part of the first one's body.
func TestSecondResponseIsNoPartOfTheBody(t *testing.T) {
	const event, second = "id: 1\ndata: a\n\n", "HTTP/1.1 200 OK\r\nServer: x\r\nX-Id: 1\r\n\r\n"
	for name, c := range map[string]struct{ text, events string }{
		"after a text":                 {unframedHead + "all of it" + second + "all of it", ""},
		"after an empty body":          {unframedHead + second, ""},
		"after a quoted status line":   {unframedHead + "HTTP/1.1 200 OK\r\nServer: HTTP/1.1 200 OK\r\n\r\n" + second, ""},
		"cut off after its ID":         {unframedHead + "all of it" + strings.TrimSuffix(second, "\r\n"), ""},
		"after an event":               {unframedHead + event + second + event, event},
		"after a blank line":           {unframedHead + event + "\n" + second + event, event},
		"within an event":              {unframedHead + event + "id: 2\ndata: b" + second + event, event},
		"of an event, without any ID":  {unframedHead + event + "HTTP/1.1 500 Oops\r\nServer: x\r\n\r\n", event},
		"of an event, without headers": {unframedHead + event + "HTTP/1.0 500\n\n", event},
	} {
		t.Run(name, func(t *testing.T) {
			for sent, addr := range map[string]string{"at once": answer(t, c.text), "byte by byte": answerOneByOne(t, c.text)} {
				if c.events == "" {
					if body, err := doAll(&Client{}, addr, request("1")); !errors.Is(err, ErrSecondResponse) {
						t.Errorf("%s: body %q, %v", sent, body, err)
					}
					continue
				}
				if events, err := doEvents(&Client{}, addr, request("1")); !errors.Is(err, ErrSecondResponse) || events != c.events {
					t.Errorf("%s: events %q, %v", sent, events, err)
				}
			}
		})
	}
}

// A late answer to an earlier request arrives between the head of an answer and its body, whose length
// is known. Guards against passing it on as the body, also if the length ends within its head.
func TestLateResponseIsNoPartOfABodyWithLength(t *testing.T) {
	late := responseFor("1", "one")
	for _, length := range []int{3, 14, 16, 20, len(late) - 3, len(late) + 4} {
		t.Run(fmt.Sprint(length, " bytes"), func(t *testing.T) {
			own := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: %d\r\n\r\n", length)
			addr := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				_, _ = io.WriteString(c, responseFor("1", "one"))
				readRequest(t, br)
				_, _ = io.WriteString(c, own+late+strings.Repeat("x", length))
			})
			c := &Client{}
			wantBody(t, c, addr, "1", "one")
			if body, err := doAll(c, addr, request("2")); !errors.Is(err, ErrSecondResponse) {
				t.Errorf("body %q, %v", body, err)
			}
		})
	}
}

// A second answer follows a body whose end is known. Guards against rejecting the first one for it.
func TestResponseBehindABodyIsNoPartOfIt(t *testing.T) {
	for name, text := range map[string]string{
		"with a length": responseFor("1", "HTTP/1.1 200"),
		"in chunks":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nHTTP/1.1 200\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if body, err := doAll(&Client{}, answer(t, text+text), request("1")); err != nil || body != "HTTP/1.1 200" {
				t.Errorf("body %q, %v", body, err)
			}
		})
	}
}

// A body quotes a response. Guards against taking it for a second one.
func TestQuotedResponsesAreAPartOfTheBody(t *testing.T) {
	for name, body := range map[string]string{
		"a status line":          "HTTP/1.1 200 OK\r\n",
		"a head without ID":      "x HTTP/1.1 200 OK\r\nServer: x\r\n\r\n",
		"a head of another ID":   "HTTP/1.1 200 OK\r\nX-Id: 77\r\n\r\n",
		"a request":              "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n",
		"a version":              "HTTP/1.1 is HTTP/1.\r\nX-Id: 1\r\n\r\n",
		"an ID after its head":   "HTTP/1.1 200 OK\r\n\r\nX-Id: 1\r\n",
		"an ID after other text": "HTTP/1.1 200 OK\r\nother text\r\nX-Id: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			got, err := doAll(&Client{}, answer(t, unframedHead+body), request("1"))
			if err != nil || got != body {
				t.Errorf("body %q, %v", got, err)
			}
		})
	}
	for name, stream := range map[string]string{
		"data":          "id: 1\ndata: HTTP/1.1 200 OK\ndata: X-Id: 1\ndata:\n\n",
		"carriage":      "id: 1\r\ndata:HTTP/1.1 200 OK\r\ndata:X-Id: 1\r\n\r\n",
		"a comment":     ": HTTP/1.1 200 OK\n\nid: 1\ndata: x\n\n",
		"a quoted head": "id: 1\ndata: HTTP/1.1 200 OK\nServer: x\n\n",
	} {
		t.Run("event, "+name, func(t *testing.T) {
			got, err := doEvents(&Client{}, answer(t, unframedHead+stream), request("1"))
			if err != nil || got != stream {
				t.Errorf("events %q, %v", got, err)
			}
		})
	}
}

// A body consists of status lines. Guards against reading it again from each of them.
func TestManyStatusLinesAreReadOnce(t *testing.T) {
	read := 0
	req := request("1")
	req.ResponseID = func(h http.Header) string {
		read++
		return h.Get("X-Id")
	}
	body := strings.Repeat("HTTP/1.1 200 OK\r\n", 2000) + strings.Repeat("a: HTTP/1.1 200 OK\r\n", 2000)
	if got, err := doAll(&Client{}, answer(t, unframedHead+body), req); err != nil || got != body {
		t.Errorf("%d bytes of %d, %v", len(got), len(body), err)
	}
	if read > 2001 {
		t.Errorf("%d headers were read", read)
	}
}

// Guards against forgetting a request to which a late response may still arrive.
func TestConnectionRemembersTheLastRequests(t *testing.T) {
	cn := &conn{}
	for i := range 3 * recentRequests {
		cn.begin(fmt.Sprint(i))
		if !cn.carried(fmt.Sprint(i)) || !cn.carried(fmt.Sprint(max(0, i-recentRequests+1))) || cn.carried("other") {
			t.Fatalf("request %d", i)
		}
		cn.requests++
	}
	if !cn.carried("") {
		t.Error("a request without an ID can't be told from others")
	}
}
