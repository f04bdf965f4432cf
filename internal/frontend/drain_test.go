package frontend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// longAnswer is the size of an answer, in bytes, that no kernel buffers hold.
	longAnswer = 3 << 20
	// slowReadInterval is the time between two reads of a slow caller.
	slowReadInterval = 100 * time.Millisecond
	// callerReadBuffer is the size, in bytes, of the receive buffer of a slow caller's connection.
	callerReadBuffer = 64 << 10
)

// slowCaller is a caller whose answer is complete at the entry, and which has read none of it.
type slowCaller struct {
	conn net.Conn
}

// newSlowCaller sends an order and returns once the entry has its long answer.
func (s *system) newSlowCaller(e *entry) slowCaller {
	s.t.Helper()
	c, err := net.Dial("tcp", e.CallerAddress())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	if err := c.(*net.TCPConn).SetReadBuffer(callerReadBuffer); err != nil {
		s.t.Fatal(err)
	}
	_, err = fmt.Fprint(c, "POST /order/1 HTTP/1.1\r\nHost: h\r\nX-Hyssoprelay-Attempt-Id: o1\r\n"+
		"X-Hyssoprelay-Deadline-Ms: 2000\r\nX-Api-Key: k1\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		s.t.Fatal(err)
	}
	s.eventually("the answer has been handed over", func() bool { return strings.Contains(e.log.Text(), "request ended") })
	return slowCaller{conn: c}
}

// read reads the answer in pieces of the given size, in bytes, and returns how much of it came.
func (c slowCaller) read(piece int64) (int64, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for err == nil {
		time.Sleep(slowReadInterval)
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, piece)
		total += n
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return total, err
}

// An entry is stopped while a caller reads a long answer steadily, for longer than the entry accepts
// requests after SIGTERM. Guards against a drain that drops what the event loop still holds.
func TestDrainDeliversAnswersToSlowCallers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	s.endpoints[0].AnswerBytes = longAnswer
	e := s.start("entry1", s.store.Addr())
	c := s.newSlowCaller(e)
	stopped := make(chan struct{})
	go func() {
		e.stop()
		close(stopped)
	}()
	if n, err := c.read(64 << 10); err != nil || n != longAnswer {
		t.Errorf("%d of %d bytes, %v", n, longAnswer, err)
	}
	<-stopped
	if e.log.Has("answers cut off") {
		t.Error("the log tells of an answer that was cut off")
	}
}

// A caller is still reading when the time that the platform allows is used up. Guards against an
// answer that is cut off without a log line.
func TestAnswerCutAtTheEndOfTheDrainIsLogged(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	s.endpoints[0].AnswerBytes = longAnswer
	e := s.start("entry1", s.store.Addr())
	c := s.newSlowCaller(e)
	go e.stop()
	if n, err := c.read(16 << 10); err == nil || n == longAnswer {
		t.Errorf("%d of %d bytes, %v", n, longAnswer, err)
	}
	e.stop()
	if !e.log.Has("answers cut off") {
		t.Error("the log does not tell of the answer")
	}
}
