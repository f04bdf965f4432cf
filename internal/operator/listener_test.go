package operator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
)

// patience is how long a test waits for what must come. Verdicts don't depend
// on it as long as it comes.
const patience = 30 * time.Second

func newServer(c Configuration) *Server {
	return &Server{
		Addr:          "127.0.0.1:0",
		Token:         &settings.Token{Fixed: token},
		Configuration: c,
		Metrics:       metrics.NewRegistry(),
		Now:           func() time.Time { return start },
		Log:           quiet(),
	}
}

// listen serves the API at a free port and returns its address.
func listen(t *testing.T, s *Server, timeout time.Duration) string {
	t.Helper()
	logging.SetLevel(logging.LevelNone)
	s.l = &listener{handler: s.Handler(), now: s.Now, timeout: timeout}
	if err := s.l.listen(s.Addr); err != nil {
		t.Fatal(err)
	}
	run(t, s.Run)
	return s.Address()
}

func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

// assertServes wants the API to answer an operator.
func assertServes(t *testing.T, addr string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/admin/presets", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	h := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := h.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("status %d", res.StatusCode)
	}
}

// assertClosed wants the server to close the connection without an answer of
// success.
func assertClosed(t *testing.T, c net.Conn) {
	t.Helper()
	b, err := io.ReadAll(c)
	var ne net.Error
	if e, ok := err.(net.Error); ok {
		ne = e
	}
	if ne != nil && ne.Timeout() {
		t.Error("the connection stays open")
	}
	if strings.Contains(string(b), " 200 ") {
		t.Errorf("answer %.80q", b)
	}
}

func TestMalformedInput(t *testing.T) {
	addr := listen(t, newServer(newDocument(t, newService(t))), requestTimeout)
	for name, text := range map[string]string{
		"no HTTP":            "\x16\x03\x01\x02\x00\x01",
		"no version":         "GET /admin/presets\r\n\r\n",
		"bad length":         "PUT /admin/presets/a HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
		"two lengths":        "PUT /admin/presets/a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n123456",
		"bad chunk":          "PUT /admin/presets/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"length far too big": "PUT /admin/presets/a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, addr)
			_, _ = io.WriteString(c, text)
			_ = c.(*net.TCPConn).CloseWrite()
			assertClosed(t, c)
			assertServes(t, addr)
		})
	}
}

// TestHugeInput: somebody without the token sends headers, or a body, without
// end. A small VM would run out of memory and callers' requests with it. The
// connection must be closed after a bounded number of bytes.
func TestHugeInput(t *testing.T) {
	addr := listen(t, newServer(newDocument(t, newService(t))), requestTimeout)
	header := func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("a", 1000)) }
	body := func(int) string { return "3e8\r\n" + strings.Repeat("a", 1000) + "\r\n" }
	for name, part := range map[string]struct {
		head string
		next func(int) string
	}{
		"headers": {"GET /admin/presets HTTP/1.1\r\nHost: a\r\n", header},
		"body":    {"PUT /admin/presets/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", body},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, addr)
			w := bufio.NewWriterSize(c, 64<<10)
			_, err := io.WriteString(w, part.head)
			sent := 0
			for err == nil && sent < 10*maxRequest {
				var n int
				n, err = io.WriteString(w, part.next(sent))
				sent += n
			}
			if err == nil {
				t.Errorf("%d bytes were taken for one request", sent)
			}
			assertServes(t, addr)
		})
	}
}

// TestSlowInput: senders of a byte now and then hold as many connections as
// the listener has. Each must be closed in time, so that operators get in.
func TestSlowInput(t *testing.T) {
	addr := listen(t, newServer(newDocument(t, newService(t))), 200*time.Millisecond)
	var conns []net.Conn
	for range maxConns {
		c := dial(t, addr)
		_, _ = io.WriteString(c, "GET /admin/presets HTTP/1.1\r\nHost: ")
		conns = append(conns, c)
	}
	for _, c := range conns {
		assertClosed(t, c)
	}
	assertServes(t, addr)
}

// manyEvents is a time line that no socket's buffers hold.
type manyEvents struct{}

func (manyEvents) Timeline(context.Context, *peerpb.TimelineRequest) ([]*peerpb.TimelineEvent, []string) {
	events := make([]*peerpb.TimelineEvent, maxEvents+5)
	for i := range events {
		events[i] = &peerpb.TimelineEvent{Hlc: uint64(i), Process: "astana-entry-1", Kind: "placed", Detail: strings.Repeat("a", 500)}
	}
	return events, nil
}

// TestSlowReaderGetsAll: an operator asks for a long time line over a slow
// line. The program says "Connection: close", as many do; the end of the
// answer must not be cut off when the server has queued it.
func TestSlowReaderGetsAll(t *testing.T) {
	s := newServer(newDocument(t, newService(t)))
	s.Timeline = manyEvents{}
	c := dial(t, listen(t, s, requestTimeout))
	_ = c.(*net.TCPConn).SetReadBuffer(256 << 10)
	_, _ = io.WriteString(c, "GET /admin/timeline HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer "+token+"\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || int64(len(body)) != res.ContentLength || len(body) < 8<<20 {
		t.Fatalf("%d of %d bytes, error %v", len(body), res.ContentLength, err)
	}
	var r TimelineReply
	if err := json.Unmarshal(body, &r); err != nil || r.Omitted != 5 || r.Events[0].Stamp != 5 || len(r.Events) != maxEvents {
		t.Errorf("%d events, %d omitted, error %v", len(r.Events), r.Omitted, err)
	}
}

// slow is a configuration whose changes wait.
type slow struct {
	Document
	begun chan struct{}
	end   chan struct{}
}

func (s *slow) Submit(ctx context.Context, o config.Order, now time.Time) (config.Head, error) {
	close(s.begun)
	<-s.end
	return s.Document.Submit(ctx, o, now)
}

// TestStopFinishesOrders: an entry is replaced while an operator's switch is
// on its way to the platform. The operator must get the answer to it, not a
// closed connection.
func TestStopFinishesOrders(t *testing.T) {
	doc := newDocument(t, newService(t))
	withPresets(t, newAPI(t, doc))
	s := &slow{Document: doc, begun: make(chan struct{}), end: make(chan struct{})}
	server := newServer(s)
	if err := server.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	c := dial(t, server.Address())
	const body = `{"changeId":"s"}`
	_, _ = fmt.Fprintf(c, "POST /admin/presets/%s/switch HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		peak, token, len(body), body)
	<-s.begun
	cancel()
	close(s.end)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusOK {
		t.Errorf("status %d", res.StatusCode)
	}
	_ = c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
