package claim_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/claim"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
)

// runInBackground runs f in a goroutine until the test ends, and reports its
// error.
func runInBackground(t *testing.T, f func(context.Context) error) {
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

// Tests a claim over the service's protocol: a claim whose reply is lost is
// settled, and a repeat at another agent gets the stored answer.
func TestClaimOverLoopback(t *testing.T) {
	const timeout = 20 * time.Second
	s := &kv.Server{}
	runInBackground(t, s.Run)
	var agents []*claim.Batcher
	for i := range 2 {
		c := &platform.Client{Addrs: []string{s.Addr()}, Timeout: timeout, Metrics: metrics.NewRegistry()}
		runInBackground(t, c.Run)
		b := &claim.Batcher{
			KV: c, Agent: fmt.Sprint("127.0.0.1:", 7000+i), Endpoint: "press",
			DispatchWindow: timeout, Retention: time.Hour, MaxQueue: 10, MaxBacklog: 10,
			Now: time.Now, Metrics: metrics.NewRegistry(),
		}
		runInBackground(t, b.Run)
		agents = append(agents, b)
	}
	k, err := claim.NewKey("print", "kennel", "order 1")
	if err != nil {
		t.Fatal(err)
	}
	req := claim.Request{Key: k, BodyDigest: "d", RequestID: "r", AttemptID: "a"}
	s.LoseAnswers(1)
	g, ok := agents[0].Claim(t.Context(), req).(claim.Granted)
	if !ok {
		t.Fatal("the claim was not granted")
	}
	if err := agents[0].StoreOutcome(g.Grant, claim.Completed, claim.Answer{Status: 200}); err != nil {
		t.Fatal(err)
	}
	if err := agents[0].Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	req.AttemptID = "b"
	if v, ok := agents[1].Claim(t.Context(), req).(claim.AlreadyRun); !ok || v.Record.AttemptID() != "a" {
		t.Errorf("the repeat got %+v, want AlreadyRun by attempt a", v)
	}
}
