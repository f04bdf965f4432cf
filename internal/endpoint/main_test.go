package endpoint_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func TestMain(m *testing.M) {
	// Each event loop keeps a table of this size; tests start many.
	nbio.MaxOpenFiles = 4096
	m.Run()
}

// longest bounds a test that hangs; no verdict depends on it.
const longest = time.Minute

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), longest)
	t.Cleanup(cancel)
	return ctx
}

// running runs f until the test ends.
func running(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// serve serves h and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := &standin.Server{Listen: "127.0.0.1:0", Handler: h}
	running(t, s.Run)
	return s.Addr(testContext(t))
}

// client runs a client to addr after change.
func client(t *testing.T, addr string, change func(*endpoint.Client)) *endpoint.Client {
	t.Helper()
	c := &endpoint.Client{Addr: addr, Metrics: metrics.NewRegistry(), HeadTimeout: longest, PieceTimeout: longest}
	if change != nil {
		change(c)
	}
	running(t, c.Run)
	return c
}

// answer is what a sink has seen.
type answer struct {
	head   endpoint.Head
	pieces []string
}

func (a *answer) sink(e endpoint.Event) error {
	switch e := e.(type) {
	case endpoint.Head:
		a.head = e
	case endpoint.Piece:
		a.pieces = append(a.pieces, string(e.Data))
	}
	return nil
}

func chatCall(id string, stream bool) endpoint.Call {
	body := `{"model":"m","max_tokens":8}`
	if stream {
		body = `{"model":"m","max_tokens":8,"stream":true}`
	}
	return endpoint.Call{
		RequestID: id, Method: http.MethodPost, Path: "/v1/chat/completions",
		ContentType: "application/json", Body: []byte(body), Stream: stream,
	}
}

func requireCode(t *testing.T, err error, want result.Code) {
	t.Helper()
	if got := result.CodeOf(err); got != want {
		t.Fatalf("got %v (%v), want %v", got, err, want)
	}
}

// do makes a call, checks its result and returns what the sink has seen.
func do(t *testing.T, c *endpoint.Client, call endpoint.Call, want result.Code) *answer {
	t.Helper()
	a := &answer{}
	requireCode(t, c.Do(testContext(t), call, a.sink), want)
	return a
}

func requireText(t *testing.T, a *answer, id string, tokens int) {
	t.Helper()
	if got, want := streamText(t, a.pieces), engine.Text(id, tokens); got != want {
		t.Fatalf("text %q, want %q", got, want)
	}
}
