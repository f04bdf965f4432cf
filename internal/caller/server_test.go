package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const testBodyLimit = 4096

type handlerFunc func(ctx context.Context, r *Request, w *Reply)

func (f handlerFunc) Serve(ctx context.Context, r *Request, w *Reply) { f(ctx, r, w) }
func (f handlerFunc) Ready() error                                    { return nil }

func startServer(t *testing.T, h handlerFunc) *Server {
	t.Helper()
	s := &Server{Addr: "127.0.0.1:0", BodyLimit: testBodyLimit, MaxConns: 64, Handler: h}
	runServer(t, s)
	return s
}

func runServer(t *testing.T, s *Server) {
	t.Helper()
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, time.Second) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func post(t *testing.T, s *Server, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header) && header[i] != ""; i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return res, "broken: " + err.Error()
	}
	return res, string(b)
}

func assertCode(t *testing.T, body string, want result.Code) {
	t.Helper()
	var e errorJSON
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("%q: %v", body, err)
	}
	if got := result.Code(e.Error.Code); got != want {
		t.Errorf("code is %d %s, want %d %s", got, got, want, want)
	}
	if e.Error.Effect != want.Effect().String() {
		t.Errorf("effect is %s", e.Error.Effect)
	}
}

const chatBodyText = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`

func TestParseRequest(t *testing.T) {
	var got *Request
	s := startServer(t, func(_ context.Context, r *Request, w *Reply) {
		got = r
		_ = w.Send(http.StatusOK, "text/plain", "f", r.Body())
	})
	t.Run("chat", func(t *testing.T) {
		_, body := post(t, s, PathChat, chatBodyText, headerRequestID, "r1", headerDeadline, "1500", headerAuthorization, "Bearer k")
		c, ok := got.Kind().(Chat)
		if !ok || !c.Stream() || got.Route() != "m" || got.AccountKey() != "k" || got.Timeout() != 1500*time.Millisecond {
			t.Errorf("parsed request is %+v", got)
		}
		if body != chatBodyText {
			t.Errorf("response body is %q", body)
		}
	})
	t.Run("service", func(t *testing.T) {
		post(t, s, PathServices+"orders/confirm?x=1", "{}", headerIdempotencyKey, "k1")
		if got.Route() != "orders" || got.Path() != "/confirm?x=1" || got.IdempotencyKey() != "k1" {
			t.Errorf("parsed request is %+v", got)
		}
	})
	invalid := []struct {
		name, path, body, header, value string
		want                            result.Code
	}{
		{"unknown path", "/x", "", "", "", result.UnknownRoute},
		{"invalid JSON", PathChat, "{", "", "", result.MalformedRequest},
		{"no model", PathChat, "{}", "", "", result.MalformedRequest},
		{"bad id", PathChat, chatBodyText, headerRequestID, "a b", result.BadHeader},
		{"bad deadline", PathChat, chatBodyText, headerDeadline, "-1", result.BadHeader},
		{"long key", PathServices + "o/", "", headerIdempotencyKey, strings.Repeat("k", 999), result.BadHeader},
		{"large", PathServices + "o/", strings.Repeat("b", testBodyLimit+1), "", "", result.BodyTooLarge},
	}
	for _, tt := range invalid {
		t.Run(tt.name, func(t *testing.T) {
			_, body := post(t, s, tt.path, tt.body, tt.header, tt.value)
			assertCode(t, body, tt.want)
		})
	}
}

// Guards against a truncated stream that looks complete. When the endpoint fails in the middle of
// a stream, the end of the body must be missing. Otherwise the caller's HTTP library would return
// the partial response as a complete one.
func TestPartialResponseIsNotComplete(t *testing.T) {
	s := startServer(t, func(_ context.Context, _ *Request, w *Reply) {
		_ = w.BeginStream(http.StatusOK, "text/event-stream", "f")
		_ = w.WriteChunk([]byte("data: half\n\n"))
		w.Fail(result.New(result.AnswerIncomplete, ""))
	})
	_, body := post(t, s, PathChat, chatBodyText)
	if !strings.HasPrefix(body, "broken: ") {
		t.Errorf("truncated response was read as complete: %q", body)
	}
}

func TestStreamIsWrittenPieceByPiece(t *testing.T) {
	next := make(chan struct{})
	s := startServer(t, func(_ context.Context, _ *Request, w *Reply) {
		_ = w.BeginStream(http.StatusOK, "text/event-stream", "f")
		for i := range 3 {
			_ = w.WriteChunk([]byte(fmt.Sprintf("data: %d\n", i)))
			<-next
		}
		_ = w.EndStream()
	})
	res, err := http.Post("http://"+s.Address()+PathChat, "application/json", strings.NewReader(chatBodyText))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	br := bufio.NewReader(res.Body)
	for i := range 3 {
		line, err := br.ReadString('\n')
		if want := fmt.Sprintf("data: %d\n", i); err != nil || line != want {
			t.Fatalf("got %q, %v", line, err)
		}
		next <- struct{}{}
	}
	if rest, err := io.ReadAll(br); err != nil || len(rest) > 0 {
		t.Errorf("data after the end of the stream: %q, %v", rest, err)
	}
}

// Guards against an undetected disconnect while a request waits for the endpoint: the engine would
// continue to compute tokens that nobody reads.
func TestDisconnectCancelsContext(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	s := startServer(t, func(ctx context.Context, _ *Request, _ *Reply) {
		close(started)
		<-ctx.Done()
		close(ended)
	})
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", PathChat, len(chatBodyText), chatBodyText)
	<-started
	_ = c.Close()
	<-ended
}

// Guards against unbounded buffering: a caller requests a long stream and reads none of it.
// Without the limit on pending bytes, the entry would hold the whole response in memory.
func TestSlowCallerGetsBackpressure(t *testing.T) {
	const total = 256 << 20
	sent := make(chan int, 1)
	stalled := make(chan struct{})
	s := startServer(t, func(ctx context.Context, _ *Request, w *Reply) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			<-stalled
			cancel()
		}()
		w.SetContext(ctx)
		_ = w.BeginStream(http.StatusOK, "text/plain", "f")
		n := 0
		b := bytes.Repeat([]byte("x"), 32<<10)
		for n < total && w.WriteChunk(b) == nil {
			n += len(b)
		}
		sent <- n
	})
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", PathChat, len(chatBodyText), chatBodyText)
	awaitStalledConn(t, s)
	close(stalled)
	if n := <-sent; n >= total {
		t.Errorf("all %d bytes were accepted for a caller that reads nothing", n)
	}
}

// awaitStalledConn returns once the pending bytes of some connection have reached the limit.
func awaitStalledConn(t *testing.T, s *Server) {
	t.Helper()
	for {
		stalled := false
		s.conns.Range(func(_, v any) bool {
			c := v.(*conn)
			c.mu.Lock()
			stalled = stalled || c.pending >= maxPendingBytes
			c.mu.Unlock()
			return true
		})
		if stalled {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := startServer(t, func(_ context.Context, r *Request, w *Reply) {
		_ = w.Send(http.StatusOK, "text/plain", "", r.Body())
	})
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	var requests bytes.Buffer
	for i := range 5 {
		fmt.Fprintf(&requests, "POST %so/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n%d", PathServices, i)
	}
	_, _ = c.Write(requests.Bytes())
	br := bufio.NewReader(c)
	for i := range 5 {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(res.Body)
		if string(b) != fmt.Sprint(i) {
			t.Fatalf("response %d is %q", i, b)
		}
	}
}

// Guards against connections beyond the limit that are closed without a response. Their callers
// must be told of the limit and when to retry.
func TestConnectionsBeyondLimitAreRefused(t *testing.T) {
	s := &Server{Addr: "127.0.0.1:0", BodyLimit: testBodyLimit, MaxConns: 2, Handler: handlerFunc(func(_ context.Context, _ *Request, w *Reply) {
		_ = w.Send(http.StatusOK, "text/plain", "", nil)
	})}
	runServer(t, s)
	for range 2 {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	for s.OpenConns() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, body := post(t, s, PathServices+"o/", "", "Connection", "close")
	assertCode(t, body, result.TooManyConnections)
}

// Guards against a caller's connection that ends without an answer and without a line that tells
// what closed it and how far its request had come.
func TestLostConnectionIsReported(t *testing.T) {
	lost := make(chan Lost, 1)
	s := &Server{Addr: "127.0.0.1:0", BodyLimit: testBodyLimit, MaxConns: 64, OnLost: func(l Lost) { lost <- l }}
	runServer(t, s)
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	const part = "POST /v1/chat/completions HTTP/1.1\r\n"
	if _, err := io.WriteString(c, part); err != nil {
		t.Fatal(err)
	}
	for s.memory.held.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if l := <-lost; l.Received != len(part) || l.Answering || l.Cause == nil {
		t.Errorf("%+v", l)
	}
}

// Guards against an answer that is cut because nbhttp's read deadline for a new connection, which
// it sets after it has begun to read, comes after the request.
func TestDeadlineOfANewConnectionDoesNotCutItsAnswer(t *testing.T) {
	const events = 30
	s := &Server{Addr: "127.0.0.1:0", BodyLimit: testBodyLimit, MaxConns: 64, ReadTimeout: 50 * time.Millisecond}
	s.Handler = handlerFunc(func(_ context.Context, _ *Request, w *Reply) {
		_ = w.netConn.SetReadDeadline(time.Now().Add(s.engine.KeepaliveTime))
		_ = w.BeginStream(http.StatusOK, "text/event-stream", "")
		for range events {
			time.Sleep(readDeadlineGrace / 20)
			_ = w.WriteChunk([]byte("data: x\n\n"))
		}
		_ = w.EndStream()
	})
	runServer(t, s)
	if _, body := post(t, s, PathChat, `{"model":"m","stream":true,"messages":[1]}`); strings.Count(body, "data: ") != events {
		t.Errorf("%d of %d events: %.80s", strings.Count(body, "data: "), events, body)
	}
}

// Guards against callers that hold connections without ever sending a request.
func TestUnusedConnectionIsClosed(t *testing.T) {
	s := &Server{Addr: "127.0.0.1:0", BodyLimit: testBodyLimit, MaxConns: 64, ReadTimeout: 50 * time.Millisecond}
	runServer(t, s)
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.ReadAll(c); err != nil {
		t.Error(err)
	}
}
