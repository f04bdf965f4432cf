package claim

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// bench is one agent on a stand-in with a fake clock.
type bench struct {
	*testing.T
	server *kv.Server
	b      *Batcher
	claims *Registry
}

// withBatcher runs f in a bubble with one agent.
func withBatcher(t *testing.T, f func(*bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &kv.Server{}
		d := &kv.Direct{Server: s, Timeout: testTimeout}
		b := newBatcher(d)
		done := make(chan error, 1)
		go func() { done <- b.Run(ctx) }()
		r := &Registry{KV: d, Window: testWindow, Margin: testMargin, Retention: time.Hour, Now: time.Now}
		f(&bench{T: t, server: s, b: b, claims: r})
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // late calls end in the bubble
	})
}

func (t *bench) claim(k Key, attempt, digest string, wait time.Duration) Verdict {
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	return t.b.Claim(ctx, Request{Key: k, BodyDigest: digest, RequestID: attempt, AttemptID: attempt})
}

func (t *bench) granted(k Key, attempt string) Grant {
	t.Helper()
	v := t.claim(k, attempt, "d", time.Minute)
	g, ok := v.(Granted)
	if !ok {
		t.Fatalf("%s: verdict %T, want Granted", attempt, v)
	}
	return g.Grant
}

func (t *bench) conclude(g Grant, s State, a Answer) {
	t.Helper()
	if err := t.b.Conclude(g, s, a); err != nil {
		t.Fatal(err)
	}
}

func (t *bench) flush() {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := t.b.Flush(ctx); err != nil {
		t.Fatal(err)
	}
}

func (t *bench) wantOpen(n int) {
	t.Helper()
	p, err := t.claims.List(t.Context(), "", 100)
	if err != nil || len(p.Claims()) != n || p.Unreadable() != 0 {
		t.Errorf("%d open claims, error %v, want %d", len(p.Claims()), err, n)
	}
}

func wantCode(t *testing.T, err error, want result.Code) {
	t.Helper()
	if got := result.CodeOf(err); got != want {
		t.Errorf("%v: code %v, want %v", err, got, want)
	}
}

func TestRepeatGetsStoredAnswer(t *testing.T) {
	withBatcher(t, func(t *bench) {
		k := testKey(1)
		g := t.granted(k, "a")
		if _, ok := t.claim(k, "b", "d", time.Minute).(HeldBy); !ok {
			t.Error("a second attempt is not told of the first")
		}
		t.conclude(g, Completed, Answer{Status: 201, ContentType: "text/plain", Body: []byte("printed")})
		t.flush()
		v, ok := t.claim(k, "c", "d", time.Minute).(Done)
		if a, whole := v.Record.Answer(); !ok || !whole || a.Status != 201 || string(a.Body) != "printed" {
			t.Errorf("repeat got %v, whole %v", a, whole)
		}
		_, reused := t.claim(k, "d", "other", time.Minute).(KeyReused)
		if !reused {
			t.Error("another body under the same key was not refused")
		}
		t.wantOpen(0)
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	withBatcher(t, func(t *bench) {
		t.conclude(t.granted(testKey(1), "a"), Completed, Answer{Status: 200, Body: make([]byte, MaxAnswer+1)})
		t.flush()
		v, ok := t.claim(testKey(1), "b", "d", time.Minute).(Done)
		if _, whole := v.Record.Answer(); !ok || whole {
			t.Error("an answer that was cut is given as whole")
		}
	})
}

// The service is down. The caller of a print order must hear that it was not
// run, which is true, and may send it again when the service is back.
func TestDownIsTrulyNotMade(t *testing.T) {
	withBatcher(t, func(t *bench) {
		t.server.SetDown(true)
		wantCode(t.T, Err(t.claim(testKey(1), "a", "d", time.Minute)), result.PlatformDown)
		t.server.SetDown(false)
		t.granted(testKey(1), "b")
	})
}

// The answers to the claim and its repeats are lost. A caller would hear "not
// run" of an order that holds a claim, or the order would stay open for ever.
// The third write finds the attempt's own record.
func TestLostAnswerIsSettledByOwnAttempt(t *testing.T) {
	withBatcher(t, func(t *bench) {
		t.server.LoseAnswers(2)
		g := t.granted(testKey(1), "a")
		if !g.MayDispatch(time.Now()) {
			t.Error("the window is closed although little time has passed")
		}
		t.wantOpen(1)
	})
}

// The first write of a claim takes effect at once, its answers are lost for
// longer than the window. An operator who saw the claim then has released it;
// counting the window from the last write would let the agent print it too.
func TestWindowCountsFromFirstSend(t *testing.T) {
	withBatcher(t, func(t *bench) {
		t.server.LoseAnswers(1000)
		lost := time.AfterFunc(testWindow+time.Second, func() { t.server.LoseAnswers(0) })
		defer lost.Stop()
		g := t.granted(testKey(1), "a")
		if g.MayDispatch(time.Now()) {
			t.Error("an agent may dispatch after the window from its first write")
		}
	})
}

// A caller leaves while its claim's write is on its way, delayed by ten seconds.
// When it lands after all, nobody is there to run the order, and every repeat
// would be refused as held until an operator steps in.
func TestAbandonedClaimCannotLandLater(t *testing.T) {
	withBatcher(t, func(t *bench) {
		t.server.SetSlow(10 * time.Second)
		if _, ok := t.claim(testKey(1), "a", "d", 100*time.Millisecond).(Unknown); !ok {
			t.Error("a claim on its way was not answered as unknown")
		}
		t.server.SetSlow(0)
		t.flush()
		time.Sleep(20 * time.Second)
		t.wantOpen(0)
		t.granted(testKey(1), "b")
	})
}

// The order is printed and then the service goes down for a minute, so the
// outcome can't be stored. A repeat after the outage must get the answer.
func TestOutcomeSurvivesOutage(t *testing.T) {
	withBatcher(t, func(t *bench) {
		t.conclude(t.granted(testKey(2), "lease"), Completed, Answer{})
		t.flush()
		g := t.granted(testKey(1), "a")
		t.server.SetDown(true)
		t.conclude(g, Completed, Answer{Status: 200})
		time.Sleep(time.Minute)
		t.server.SetDown(false)
		t.flush()
		if _, ok := t.claim(testKey(1), "b", "d", time.Minute).(Done); !ok {
			t.Error("the outcome was lost in the outage")
		}
	})
}

// The service is restored from a copy that is older than the claim. The agent
// that ran the order still knows the outcome and stores it.
func TestOutcomeSurvivesRestore(t *testing.T) {
	withBatcher(t, func(t *bench) {
		old := t.server.Copy()
		g := t.granted(testKey(1), "a")
		t.server.Restore(old)
		t.conclude(g, Completed, Answer{Status: 200})
		t.flush()
		if _, ok := t.claim(testKey(1), "b", "d", time.Minute).(Done); !ok {
			t.Error("the outcome was lost with the claim")
		}
	})
}

// Leases lapse early when their holder is paused. A closed record that went
// with one would let a repeated order be printed again.
func TestClosedRecordsOutliveLapses(t *testing.T) {
	withBatcher(t, func(t *bench) {
		t.conclude(t.granted(testKey(1), "a"), Completed, Answer{Status: 200})
		t.flush()
		t.server.LapseLeases(time.Hour)
		if _, ok := t.claim(testKey(1), "b", "d", time.Minute).(Done); !ok {
			t.Error("the closed record went with a lapsed lease")
		}
		time.Sleep(28 * time.Hour)
		t.granted(testKey(1), "c")
	})
}

// The bucket's lease is gone although the agent believes in it: the service
// refuses the transaction, and the outcome must be stored with a new lease.
func TestMissingLeaseIsReplaced(t *testing.T) {
	withBatcher(t, func(t *bench) {
		t.conclude(t.granted(testKey(1), "a"), Completed, Answer{Status: 200})
		t.flush()
		g := t.granted(testKey(2), "b")
		t.server.LapseLeases(100 * time.Hour)
		t.conclude(g, Completed, Answer{Status: 200})
		t.flush()
		if _, ok := t.claim(testKey(2), "c", "d", time.Minute).(Done); !ok {
			t.Error("the outcome was not stored")
		}
	})
}

func TestBoundsOfQueueAndBacklog(t *testing.T) {
	withBatcher(t, func(t *bench) {
		g := t.granted(testKey(1), "a")
		t.b.MaxBacklog, t.b.MaxQueue = 1, 1
		t.server.SetDown(true)
		t.conclude(g, Completed, Answer{})
		if err := t.b.Conclude(g, Completed, Answer{}); err != ErrBacklog {
			t.Errorf("error %v, want ErrBacklog", err)
		}
		t.server.SetDown(false)
		t.flush()
		t.server.SetSlow(testTimeout / 2)
		verdicts := make(chan Verdict, 10)
		for i := range 10 {
			go func() { verdicts <- t.claim(testKey(10+i), fmt.Sprint(i), "d", time.Minute) }()
		}
		refused := 0
		for range 10 {
			if v, ok := (<-verdicts).(NotMade); ok {
				wantCode(t.T, v.Err, result.PlatformDown)
				refused++
			}
		}
		if refused != 9 {
			t.Errorf("%d claims refused, want all but the one that may wait", refused)
		}
	})
}

func TestManyClaimsShareTransactions(t *testing.T) {
	withBatcher(t, func(t *bench) {
		t.server.SetSlow(3 * time.Millisecond)
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				a := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), MaxAnswer)}
				t.conclude(t.granted(testKey(i), fmt.Sprint(i)), Completed, a)
			})
		}
		wg.Wait()
		t.flush()
		t.wantOpen(0)
		if n := t.server.Counts().Writes(); n > 60 {
			t.Errorf("%d writes for 1000 claims and outcomes", n)
		}
	})
}

func TestWindowIsOpenUntilItsEnd(t *testing.T) {
	sent := time.Now()
	g := Grant{sentAt: sent, window: testWindow}
	if !g.MayDispatch(sent.Add(testWindow-1)) || g.MayDispatch(sent.Add(testWindow)) {
		t.Error("the window is not open exactly until its end")
	}
}
