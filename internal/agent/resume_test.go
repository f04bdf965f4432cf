package agent

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const streamTokens = 12

// withEngine returns an agent beside a stand-in of an engine.
func withEngine(t *testing.T, faults engine.Faults) (*Agent, *engine.Engine) {
	t.Helper()
	logging.SetLevel(logging.LevelNone)
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := engine.New(engine.Settings{ColdBound: 64, TokenMicros: 1000})
	e.SetFaults(faults)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 3)
	srv := &standin.Server{Listen: "127.0.0.1:0", Handler: e}
	go func() { done <- srv.Run(ctx) }()
	a := &Agent{
		Settings: &settings.Agent{
			Process:         settings.Process{PeerAddress: netip.MustParseAddrPort("127.0.0.1:0")},
			EndpointName:    "a-engine-0",
			EndpointAddress: netip.MustParseAddrPort(srv.Addr(ctx)),
			Kind:            settings.Engine,
		},
		Log: log,
	}
	if err := a.Listen(); err != nil {
		t.Fatal(err)
	}
	go func() { done <- a.client.Run(ctx) }()
	go func() { done <- a.peers.Run(ctx) }()
	t.Cleanup(func() {
		a.stopWork()
		cancel()
		for range 3 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	a.apply(viewOf(t, "a-engine-0", false))
	return a, e
}

// stream runs one streamed chat to its end.
func stream(t *testing.T, a *Agent) *transcript {
	t.Helper()
	req := &peerpb.RunRequest{
		RequestId: "r", Account: "clinic", Route: "small", Method: "POST", Path: "/v1/chat/completions",
		ContentType: "application/json", Stream: true, BudgetMicros: time.Minute.Microseconds(),
		Body: []byte(`{"model":"small","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"hi"}]}`),
	}
	at, _, err := a.begin(req, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	var tr transcript
	if err := tr.read(context.Background(), at, 0, 0); err != nil {
		t.Fatal(err)
	}
	return &tr
}

// An engine's connection breaks in the middle of a quote, and the engine has
// the stream still. The clerk gets the quote whole, each piece once; and from
// the break on the agent takes the engine for cold, because a restart looks the
// same until its first answer.
func TestBrokenStreamIsResumed(t *testing.T) {
	a, e := withEngine(t, engine.Faults{DieAfterPieces: 8})
	tr := stream(t, a)
	text := strings.Join(tr.pieces, "")
	if tr.end.GetCode() != int32(result.OK) || strings.Count(text, "data: ") != streamTokens+1 {
		t.Errorf("%v, %d events", tr.end, strings.Count(text, "data: "))
	}
	if n := e.Counters().Ran; len(n) != 1 {
		t.Errorf("ran %v", n)
	}
	if c := a.allowance.State().Cause(); c != allowance.ConnectionLost {
		t.Errorf("cold because of %s", c)
	}
}

// The engine restarts in the middle of a quote and knows nothing of it any
// more. Its refusal to resume must not follow the first pieces as if it were
// the rest of the quote.
func TestRestartedEngineCannotResume(t *testing.T) {
	a, e := withEngine(t, engine.Faults{StallAfterPieces: 5})
	restarted := make(chan struct{}, 1)
	go func() {
		for len(e.Counters().Ran) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // some pieces are on their way
		e.Restart()
		restarted <- struct{}{}
	}()
	tr := stream(t, a)
	<-restarted
	if tr.end.GetCode() == int32(result.OK) {
		t.Error("half a quote counts as whole")
	}
	if text := strings.Join(tr.pieces, ""); strings.Contains(text, "error") {
		t.Errorf("the engine's error is part of the quote: %q", text)
	}
}
