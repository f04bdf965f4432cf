package direct

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// answer starts a server that sends text on each connection and closes it.
func answer(t *testing.T, text string) string {
	return serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	})
}

// Guards against limits that valid responses meet.
func TestValidResponsesAreWithinLimits(t *testing.T) {
	const end = "X-Id: 1\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{
		"a long line":             "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 30<<10) + "\r\n" + end,
		"many lines":              "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Many: x\r\n", maxHeadLines-5) + end,
		"informational responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInformational) + "HTTP/1.1 200 OK\r\n" + end,
		"lines in the body": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n" +
			strings.Repeat("\n", 0x4000) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := get(&Client{}, answer(t, text), "1"); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against an answer of known length that is read up to the limit before it is given up.
func TestAnswerOfExcessiveLengthIsNotRead(t *testing.T) {
	c := &Client{}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := c.Do(ctx, answer(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9000000\r\n\r\nx"), request("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	_, err = r.ReadAll(func(int) error { return nil })
	if e := AsLimitError(err); e == nil || e.Limit != LimitAnswer {
		t.Errorf("%v", err)
	}
}

// One endpoint uses up what it may. Guards against ending the responses of others for it, and against
// memory that is not released.
func TestMemoryIsLimitedByEndpoint(t *testing.T) {
	m := &Memory{Limit: 1000}
	for i, c := range []struct {
		addr string
		n    int64
		ok   bool
	}{{"a", 400, true}, {"a", 200, false}, {"b", 450, true}, {"c", 200, false}, {"a", 100, true}} {
		if m.tryAdd(c.addr, c.n) != c.ok {
			t.Errorf("step %d: got %v", i, !c.ok)
		}
	}
	m.release("a", 500)
	m.release("b", 450)
	if m.Held() != 0 || !m.tryAdd("a", 2000) {
		t.Errorf("%d bytes are held, or a single response is not allowed what nobody else needs", m.Held())
	}
}

// Keep-alive comments between events are no fault. Guards against counting them over a whole stream.
func TestCommentsAreCountedBetweenEvents(t *testing.T) {
	comments := strings.Repeat(": x\n\n", maxOtherBytes/5)
	e := NewEventReader(strings.NewReader(comments + "id: 1\n\n" + comments + comments))
	for range 2*(maxOtherBytes/5) + 1 {
		if _, err := e.Next(); err != nil {
			t.Fatal(err)
		}
	}
	_, err := e.Next()
	if _, err2 := e.Next(); AsLimitError(err) == nil && AsLimitError(err2) == nil {
		t.Errorf("%v, %v", err, err2)
	}
}
