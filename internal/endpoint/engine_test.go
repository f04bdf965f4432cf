package endpoint_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// until waits for ok, which the engine brings about in its own time.
func until(ctx context.Context, t *testing.T, what string, ok func() bool) {
	t.Helper()
	for ; !ok(); runtime.Gosched() {
		if ctx.Err() != nil {
			t.Fatalf("never: %s", what)
		}
	}
}

// A draft breaks off in the middle because the engine lost the connection; the
// secretary gets the rest without a word twice or missing.
func TestResumeAfterDeath(t *testing.T) {
	e := engine.New(engine.Settings{})
	e.SetFaults(engine.Faults{DieAfterPieces: 3})
	c := client(t, serve(t, e), nil)
	a := do(t, c, chatCall("r", true), result.AnswerIncomplete)
	e.SetFaults(engine.Faults{})
	resumed := chatCall("r", true)
	resumed.ResumeFrom = uint64(len(a.pieces))
	requireCode(t, c.Do(testContext(t), resumed, a.sink), result.OK)
	requireText(t, a, "r", 8)
	if n := e.Counters().Ran["r"]; n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// A clerk closes her window; the engine goes on computing for nobody and has
// no place for others.
func TestCancelReachesEngine(t *testing.T) {
	for name, leave := range map[string]func(cancel func()) error{
		"caller left": func(cancel func()) error { cancel(); return nil },
		"sink failed": func(func()) error { return net.ErrClosed },
	} {
		t.Run(name, func(t *testing.T) {
			e := engine.New(engine.Settings{})
			e.SetFaults(engine.Faults{StallAfterPieces: 2})
			c := client(t, serve(t, e), nil)
			ctx, cancel := context.WithCancel(testContext(t))
			defer cancel()
			err := c.Do(ctx, chatCall("r", true), func(endpoint.Event) error { return leave(cancel) })
			requireCode(t, err, result.Cancelled)
			until(testContext(t), t, "the engine is free", func() bool {
				n := e.Counters()
				return n.Cancelled["r"] == 1 && n.Running == 0
			})
		})
	}
}

// A leader that was paused wakes up and orders with an old fencing token. An
// engine that checks refuses it, and that is told from any other failure.
func TestOrdersCarryFencingToken(t *testing.T) {
	e := engine.New(engine.Settings{})
	c := client(t, serve(t, e), nil)
	ctx := testContext(t)
	requireCode(t, c.LoadModel(ctx, 7, endpoint.ModelOrder{Model: "m1"}), result.OK)
	requireCode(t, c.ChangeRole(ctx, 6, endpoint.RoleOrder{Role: "prefill"}), result.StaleFencing)
	e.SetFaults(engine.Faults{IgnoreFencing: true})
	requireCode(t, c.ChangeRole(ctx, 6, endpoint.RoleOrder{Role: "decode"}), result.OK)
	got := e.Counters()
	if !slices.Equal(got.Models, []string{"m1"}) || !slices.Equal(got.Roles, []string{"decode"}) {
		t.Fatalf("orders %v %v", got.Models, got.Roles)
	}
}

// Cache events are kept only for a while: whoever asks too late has to be
// told that some are missing.
func TestCacheEventsReportGaps(t *testing.T) {
	e := engine.New(engine.Settings{CacheEventsKept: 2})
	c := client(t, serve(t, e), nil)
	ctx := testContext(t)
	for _, id := range []string{"a", "b", "c"} {
		do(t, c, chatCall(id, false), result.OK)
	}
	for since, gap := range map[uint64]bool{0: true, 1: false, 3: false} {
		es, err := c.CacheEvents(ctx, since)
		requireCode(t, err, result.OK)
		if es.Gap != gap || es.Next != 3 {
			t.Errorf("since %d: %+v, want gap %v", since, es, gap)
		}
	}
}

// Load reports lag: the first one made is still shown while newer ones ripen.
func TestLoadReportLags(t *testing.T) {
	e := engine.New(engine.Settings{LoadLagMillis: 3600_000})
	c := client(t, serve(t, e), nil)
	ctx := testContext(t)
	before, err := c.Load(ctx)
	requireCode(t, err, result.OK)
	e.Restart()
	after, err := c.Load(ctx)
	requireCode(t, err, result.OK)
	if before.Incarnation != "1" || after.Incarnation != "1" {
		t.Fatalf("incarnations %q, %q", before.Incarnation, after.Incarnation)
	}
	a := do(t, c, chatCall("r", false), result.OK)
	if a.head.Incarnation != "2" {
		t.Fatalf("answer names incarnation %q", a.head.Incarnation)
	}
}

// A stream is moved to another engine with its KV cache and goes on there.
func TestKVMoves(t *testing.T) {
	from, to := engine.New(engine.Settings{}), engine.New(engine.Settings{})
	from.SetFaults(engine.Faults{DieAfterPieces: 3, StallAfterPieces: 4})
	c1, c2 := client(t, serve(t, from), nil), client(t, serve(t, to), nil)
	ctx := testContext(t)
	var a answer
	requireCode(t, c1.Do(ctx, chatCall("r", true), a.sink), result.AnswerIncomplete)
	kv, err := c1.ExportKV(ctx, "r")
	requireCode(t, err, result.OK)
	requireCode(t, c2.ImportKV(ctx, "r", kv), result.OK)
	resumed := chatCall("r", true)
	resumed.ResumeFrom = uint64(len(a.pieces))
	requireCode(t, c2.Do(ctx, resumed, a.sink), result.OK)
	requireText(t, &a, "r", 8)
	c1.Cancel("r")
	until(ctx, t, "the first engine is free", func() bool { return from.Counters().Running == 0 })
}

// Above its cold bound a cold engine falls over, which the tests of the agent
// rely on.
func TestColdEngineFallsOver(t *testing.T) {
	e := engine.New(engine.Settings{ColdBound: 1})
	e.SetFaults(engine.Faults{StallAfterPieces: 1})
	c := client(t, serve(t, e), nil)
	first := make(chan struct{}, 16)
	done := make(chan error, 1)
	go func() {
		done <- c.Do(testContext(t), chatCall("one", true), func(endpoint.Event) error {
			first <- struct{}{}
			return nil
		})
	}()
	<-first
	do(t, c, chatCall("two", true), result.OutcomeUnknown)
	requireCode(t, <-done, result.AnswerIncomplete)
	if n := e.Counters(); n.Breaches != 1 || n.Incarnation != 2 {
		t.Fatalf("counters %+v", n)
	}
}

// The control calls of the stand-in work over HTTP, as process tests use them.
func TestControlOverHTTP(t *testing.T) {
	e := engine.New(engine.Settings{})
	addr := serve(t, e)
	post := func(path, body string) {
		t.Helper()
		r, err := http.Post("http://"+addr+path, "application/json", strings.NewReader(body))
		if err != nil || r.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v %v", path, r, err)
		}
		_ = r.Body.Close()
	}
	post("/control/faults", `{"refuse":true}`)
	post("/control/restart", "")
	post("/control/cold", "")
	r, err := http.Get("http://" + addr + "/control/counters")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	var got engine.Counters
	if err := json.NewDecoder(r.Body).Decode(&got); err != nil || got.Incarnation != 2 {
		t.Fatalf("%+v %v", got, err)
	}
	var a answer
	requireCode(t, client(t, addr, nil).Do(testContext(t), chatCall("r", false), a.sink), result.OutcomeUnknown)
}
