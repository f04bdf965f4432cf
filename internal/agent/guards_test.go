package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/claim"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// bench is an agent whose claims go to a stand-in and whose endpoint is a
// listener that counts connections and answers none.
type bench struct {
	*testing.T
	agent *Agent
	kv    *kv.Server
	// late is how long ago the agent's claims count as sent.
	late atomic.Int64
	// dialled gets a value for each connection to the endpoint.
	dialled chan struct{}
	// reply is what the endpoint writes in answer to a request before it breaks the connection.
	reply atomic.Value
}

func newBench(t *testing.T) *bench {
	t.Helper()
	logging.SetLevel(logging.LevelNone)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{T: t, kv: &kv.Server{}, dialled: make(chan struct{}, 16)}
	closed := make(chan struct{}, 1)
	go func() {
		b.accept(ln)
		closed <- struct{}{}
	}()
	a := &Agent{
		Settings: &settings.Agent{
			Process:         settings.Process{PeerAddress: netip.MustParseAddrPort("127.0.0.1:0")},
			EndpointName:    "a-desk-0",
			EndpointAddress: netip.MustParseAddrPort(ln.Addr().String()),
			Kind:            settings.Plain,
		},
		Log:      log,
		Registry: metrics.NewRegistry(),
	}
	if err := a.Listen(); err != nil {
		t.Fatal(err)
	}
	a.claims = a.newBatcher()
	a.claims.KV = &kv.Direct{Server: b.kv, Timeout: time.Second}
	a.claims.Log = log
	a.claims.Now = func() time.Time { return time.Now().Add(-time.Duration(b.late.Load())) }
	b.agent = a
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 3)
	go func() { done <- a.claims.Run(ctx) }()
	go func() { done <- a.client.Run(ctx) }()
	go func() { done <- a.peers.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		a.stopWork()
		_ = ln.Close()
		<-closed
		for range 3 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	a.apply(viewOf(t, "a-desk-0", false))
	// The library's event loop never ends when it is stopped before its first
	// turn, which this broken call waits for.
	_, _ = a.client.Load(ctx)
	<-b.dialled
	return b
}

// accept breaks each connection once a first byte has come: the endpoint's
// service died after it got the request.
func (b *bench) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		b.dialled <- struct{}{}
		if reply, ok := b.reply.Load().(string); ok {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, reply)
		}
		_ = c.Close()
	}
}

func order(id, key string) *peerpb.RunRequest {
	return &peerpb.RunRequest{
		RequestId: id, Account: "clinic", Route: "desk", Method: "POST", Path: "/print", Body: []byte("{}"),
		RunOnce: true, IdempotencyKey: key, BudgetMicros: (5 * time.Second).Microseconds(),
	}
}

// run gives the agent a request and returns its end.
func (b *bench) run(req *peerpb.RunRequest) *peerpb.End {
	b.Helper()
	at, _, err := b.agent.begin(req, time.Now())
	if err != nil {
		return endOf(err)
	}
	var tr transcript
	if err := tr.read(context.Background(), at, 0, 0); err != nil {
		b.Fatal(err)
	}
	return tr.end
}

// flush waits until the outcomes so far are stored.
func (b *bench) flush() {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := b.agent.claims.Flush(ctx); err != nil {
		b.Fatal(err)
	}
}

func (b *bench) assertEnd(e *peerpb.End, want result.Code) {
	b.Helper()
	if got := result.Code(e.GetCode()); got != want {
		b.Errorf("code %d (%s), want %d", got, e.GetDetail(), want)
	}
}

func (b *bench) assertDispatched(want int) {
	b.Helper()
	if got := len(b.dialled); got != want {
		b.Errorf("the endpoint got %d requests, want %d", got, want)
	}
}

// A print order's claim is made, and the agent's VM is frozen for some seconds
// before it sends the order on. Meanwhile an operator releases the claim and
// the order runs elsewhere. When the agent wakes it must not send it too.
func TestFrozenBetweenClaimAndDispatch(t *testing.T) {
	b := newBench(t)
	b.late.Store(int64(claim.DispatchWindow))
	e := b.run(order("r", "late"))
	b.assertEnd(e, result.EndpointBusy)
	b.assertDispatched(0)
	t.Run("the key is free again", func(_ *testing.T) {
		b.late.Store(0)
		b.flush()
		b.assertEnd(b.run(order("again", "late")), result.OutcomeUnknown)
		b.assertDispatched(1)
	})
}

// An order's claim is made so late that the clerk has been told already that
// there is no time left. Sending it on then would print what counts as not run;
// the key must be free again.
func TestClaimAfterTheDeadline(t *testing.T) {
	b := newBench(t)
	req := order("r", "k")
	key, err := claim.NewKey(req.GetRoute(), req.GetAccount(), req.GetIdempotencyKey())
	if err != nil {
		t.Fatal(err)
	}
	claimRequest := claim.Request{Key: key, BodyDigest: claimDigest(req), RequestID: "r", AttemptID: "r-1"}
	v, ok := b.agent.claims.Claim(context.Background(), claimRequest).(claim.Granted)
	if !ok {
		t.Fatal("no claim")
	}
	at := newAttempt(req, func() {}, time.Now().Add(-time.Hour))
	e := b.agent.runClaimed(context.Background(), at, allowance.Ticket{}, v.Grant)
	if codeOf(e) != result.DeadlinePassed {
		t.Errorf("code %d", codeOf(e))
	}
	b.assertDispatched(0)
	b.flush()
	b.assertEnd(b.run(order("s", "k")), result.OutcomeUnknown)
	b.assertDispatched(1)
}

// The service dies in the middle of an order, so that nobody knows whether it
// printed. The clerk's next tries must not print it again: they are told that
// the outcome is unknown until an operator settles the claim.
func TestUnsettledOrderIsNotRunAgain(t *testing.T) {
	b := newBench(t)
	b.assertEnd(b.run(order("r", "k")), result.OutcomeUnknown)
	b.flush()
	b.assertEnd(b.run(order("s", "k")), result.OutcomeUnknown)
	b.assertEnd(b.run(order("t", "k")), result.OutcomeUnknown)
	b.assertDispatched(1)
}

// The same key comes with another body: a clerk's program numbers its orders
// anew each morning. Running it would be a second order; answering it with the
// first one's answer would lose it in silence.
func TestKeyWithAnotherBody(t *testing.T) {
	b := newBench(t)
	b.run(order("r", "k"))
	other := order("s", "k")
	other.Body = []byte(`{"pallets":2}`)
	b.assertEnd(b.run(other), result.KeyReused)
	b.assertDispatched(1)
}

// The platform's service is down. An order that left unclaimed could run here
// and elsewhere, so it is refused as not run, and nothing leaves.
func TestNoClaimNoDispatch(t *testing.T) {
	b := newBench(t)
	b.kv.SetDown(true)
	e := b.run(order("r", "k"))
	if result.Code(e.GetCode()).Effect() != result.NotRun {
		t.Errorf("code %d", e.GetCode())
	}
	b.assertDispatched(0)
}

// What the agent refuses it refuses truly: nothing leaves for the endpoint,
// whatever an entry believes.
func TestAgentRefusesTruly(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Agent, *peerpb.RunRequest)
		want   result.Code
	}{
		{"it leaves", func(a *Agent, _ *peerpb.RunRequest) { a.leaving.Store(true) }, result.EndpointLeaving},
		{"it is out", func(a *Agent, _ *peerpb.RunRequest) { a.apply(viewOf(t, "a-desk-0", true)) }, result.OutOfService},
		{"no preset", func(a *Agent, _ *peerpb.RunRequest) { a.view.Store(nil) }, result.NoPreset},
		{"no time is left", func(_ *Agent, r *peerpb.RunRequest) { r.BudgetMicros = 0 }, result.DeadlinePassed},
		{"it is full", func(a *Agent, _ *peerpb.RunRequest) {
			for range 2 {
				if _, err := a.allowance.Admit(time.Now()); err != nil {
					t.Fatal(err)
				}
			}
		}, result.EndpointCold},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			r := order("r", "k")
			c.change(b.agent, r)
			b.assertEnd(b.run(r), c.want)
			if c.want.Effect() != result.NotRun {
				t.Errorf("%s does not mean not run", c.want)
			}
			b.assertDispatched(0)
		})
	}
}

// A warm endpoint's service dies under load. Its first broken answer must bring
// the bound down to the cold one, before an entry hears of it: the endpoint
// that comes back would fall over under the load that it bore before.
func TestBrokenAnswerBringsTheBoundDown(t *testing.T) {
	b := newBench(t)
	a := b.agent
	now := time.Now()
	for range 40 {
		tk, err := a.allowance.Admit(now)
		if err != nil {
			t.Fatal(err)
		}
		a.allowance.Complete(tk, now)
	}
	if a.allowance.State().Cold() {
		t.Fatal("not warm")
	}
	at := anAttempt(request("r"))
	a.failed(at, allowance.Ticket{}, result.New(result.AnswerIncomplete, ""), now)
	if s := a.allowance.State(); s.Limit() != 2 {
		t.Errorf("bound %d", s.Limit())
	}
}

// A caller leaves. Its chat is stopped, so that the engine does not work for
// nobody; an order goes on, because a half-run order's outcome is unknown, and
// so does an attempt that a later call of the same request has begun.
func TestCancel(t *testing.T) {
	cases := []struct {
		name    string
		runOnce bool
		attempt uint32
		account string
		want    bool
	}{
		{"a chat", false, 1, "clinic", true},
		{"an order", true, 1, "clinic", false},
		{"a later attempt", false, 2, "clinic", false},
		{"another account's", false, 1, "school", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			req := request("r")
			req.RunOnce, req.Attempt = c.runOnce, c.attempt
			cancelled := false
			_, _, _ = b.agent.attempts.join(req, func() *attempt {
				return newAttempt(req, func() { cancelled = true }, epoch)
			})
			s := &server{Agent: b.agent}
			_, err := s.Cancel(context.Background(), &peerpb.CancelRequest{RequestId: "r", Attempt: 1, Account: c.account})
			if err != nil {
				t.Fatal(err)
			}
			if cancelled != c.want {
				t.Errorf("cancelled %t", cancelled)
			}
		})
	}
}

// A clerk sends a basket again whose order was answered before. The call follows
// the repeat while the stored answer is put in; it must get all of it, and the
// desk must not get a second order.
func TestRepeatGetsTheStoredAnswerWhole(t *testing.T) {
	b := newBench(t)
	req := order("r", "k")
	key, err := claim.NewKey(req.GetRoute(), req.GetAccount(), req.GetIdempotencyKey())
	if err != nil {
		t.Fatal(err)
	}
	v := b.agent.claims.Claim(context.Background(), claim.Request{Key: key, BodyDigest: claimDigest(req), RequestID: "r", AttemptID: "r-1"})
	b.agent.storeOutcome(v.(claim.Granted).Grant, claim.Completed, claim.Answer{Status: 200, Body: []byte("pallet 7")})
	b.flush()
	for i := range 8 {
		at, _, rerr := b.agent.begin(order(fmt.Sprint("s-", i), "k"), time.Now())
		if rerr != nil {
			t.Fatal(rerr)
		}
		var tr transcript
		if err := tr.read(context.Background(), at, 0, 0); err != nil {
			t.Fatal(err)
		}
		assertTranscript(t, "repeat", &tr, []string{"pallet 7"})
	}
	b.assertDispatched(0)
}

// The endpoint turns a look-up away with status 503 and asks for half a minute of rest. Guards
// against an agent that sends it the next request at once.
func TestEndpointThatAsksForARestIsSentNothing(t *testing.T) {
	b := newBench(t)
	b.reply.Store("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	lookUp := func(id string) *peerpb.End {
		req := order(id, "")
		req.RunOnce, req.Method = false, "GET"
		return b.run(req)
	}
	b.assertEnd(lookUp("first"), result.OutcomeUnknown)
	<-b.dialled
	end := lookUp("second")
	b.assertEnd(end, result.EndpointBusy)
	if wait := time.Duration(end.GetRetryAfterMicros()) * time.Microsecond; wait < 20*time.Second {
		t.Errorf("the caller is asked back after %v", wait)
	}
	b.assertEnd(b.run(order("third", "k")), result.EndpointBusy)
	if n := len(b.dialled); n != 0 {
		t.Errorf("%d further requests reached the endpoint", n)
	}
}
