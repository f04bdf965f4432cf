package frontend

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A caller stops reading a stream. The endpoint must be slowed down with it, not be read
// into the entry's memory; the caller is cut off, its log line says that the stream may
// be resumed, and another caller gets its whole stream meanwhile.
func TestCallerThatStopsReadingSlowsItsEndpointDown(t *testing.T) {
	t.Parallel()
	const events = 400
	s := newSystem(t, 1)
	s.endpoints[0].Events, s.endpoints[0].EventBytes, s.endpoints[0].Pause = events, 32<<10, 0
	e := s.start("entry1", s.store.Addr())
	c, err := net.Dial("tcp", e.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(c, "POST /stream/1 HTTP/1.1\r\nHost: h\r\nX-Hyssoprelay-Attempt-Id: slow\r\nX-Hyssoprelay-Deadline-Ms: 7900\r\nX-Api-Key: k1\r\nContent-Length: 0\r\n\r\n")
	s.eventually("the caller is cut off", func() bool { return strings.Contains(e.log.Text(), `"result":"callerStalled"`) })
	if n := s.endpoints[0].SentEvents(); n >= events {
		t.Errorf("the endpoint sent all %d events", n)
	}
	s.eventually("the request's log line tells of it", func() bool {
		for _, line := range strings.Split(e.log.Text(), "\n") {
			if strings.Contains(line, `"request":"slow"`) && strings.Contains(line, "request ended") {
				return strings.Contains(line, `"result":"callerStalled"`) && strings.Contains(line, `"resumable":true`)
			}
		}
		return false
	})
	s.endpoints[0].Events, s.endpoints[0].EventBytes, s.endpoints[0].Pause = 5, 0, time.Millisecond
	s.wantWholeStream(e.request(t.Context(), "/stream/1", "fast", "k1"), 5)
	s.wantStatus(e.request(t.Context(), "/look/1", "look", "k1"), http.StatusOK)
}
