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

// batcherTest is a test with one agent, a fake key-value service and a fake
// clock.
type batcherTest struct {
	*testing.T
	server *kv.Server
	b      *Batcher
	claims *Registry
}

// withBatcher runs f with one agent in a synctest bubble.
func withBatcher(t *testing.T, f func(*batcherTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &kv.Server{}
		d := &kv.Direct{Server: s, Timeout: testTimeout}
		b := newBatcher(d)
		done := make(chan error, 1)
		go func() { done <- b.Run(ctx) }()
		r := &Registry{KV: d, DispatchWindow: testWindow, ReleaseMargin: testMargin, Retention: time.Hour, Now: time.Now}
		f(&batcherTest{T: t, server: s, b: b, claims: r})
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // lets delayed calls end inside the synctest bubble
	})
}

func (t *batcherTest) claim(k Key, attempt, digest string, wait time.Duration) Result {
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	return t.b.Claim(ctx, Request{Key: k, BodyDigest: digest, RequestID: attempt, AttemptID: attempt})
}

func (t *batcherTest) mustClaim(k Key, attempt string) Grant {
	t.Helper()
	v := t.claim(k, attempt, "d", time.Minute)
	g, ok := v.(Granted)
	if !ok {
		t.Fatalf("%s: result %T, want Granted", attempt, v)
	}
	return g.Grant
}

func (t *batcherTest) storeOutcome(g Grant, s State, a Answer) {
	t.Helper()
	if err := t.b.StoreOutcome(g, s, a); err != nil {
		t.Fatal(err)
	}
}

func (t *batcherTest) flush() {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := t.b.Flush(ctx); err != nil {
		t.Fatal(err)
	}
}

func (t *batcherTest) wantOpenClaims(n int) {
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
	withBatcher(t, func(t *batcherTest) {
		k := testKey(1)
		g := t.mustClaim(k, "a")
		if _, ok := t.claim(k, "b", "d", time.Minute).(Held); !ok {
			t.Error("a second attempt was not answered with Held")
		}
		t.storeOutcome(g, Completed, Answer{Status: 201, ContentType: "text/plain", Body: []byte("printed")})
		t.flush()
		v, ok := t.claim(k, "c", "d", time.Minute).(AlreadyRun)
		if a, complete := v.Record.Answer(); !ok || !complete || a.Status != 201 || string(a.Body) != "printed" {
			t.Errorf("repeat got %v, complete %v", a, complete)
		}
		_, reused := t.claim(k, "d", "other", time.Minute).(KeyReused)
		if !reused {
			t.Error("another body under the same key was not refused")
		}
		t.wantOpenClaims(0)
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		t.storeOutcome(t.mustClaim(testKey(1), "a"), Completed, Answer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)})
		t.flush()
		v, ok := t.claim(testKey(1), "b", "d", time.Minute).(AlreadyRun)
		if _, complete := v.Record.Answer(); !ok || complete {
			t.Error("an answer without its body is reported as complete")
		}
	})
}

// Guards against a claim that is reported as Unknown while the service is down.
// The claim was not made, so the caller must be told that its request was not
// run; it may send the request again when the service is back.
func TestClaimWhileDownIsNotMade(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		t.server.SetDown(true)
		wantCode(t.T, Err(t.claim(testKey(1), "a", "d", time.Minute)), result.PlatformDown)
		t.server.SetDown(false)
		t.mustClaim(testKey(1), "b")
	})
}

// Guards against a lost reply that is reported as not run although the request
// holds a claim, or that leaves the claim open for ever. The replies to the
// claim and its first repeat are lost; the third write finds the attempt's own
// record.
func TestLostAnswerIsSettledByOwnAttempt(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		t.server.LoseAnswers(2)
		g := t.mustClaim(testKey(1), "a")
		if !g.MayDispatch(time.Now()) {
			t.Error("the window is closed before its end")
		}
		t.wantOpenClaims(1)
	})
}

// Guards against a dispatch after a release. The first write of a claim takes
// effect at once, but its replies are lost for longer than the window.
// Meanwhile an operator may release the claim; if the window counted from the
// last write, the agent would still run the request, and the caller's repeat
// would run too.
func TestWindowCountsFromFirstSend(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		t.server.LoseAnswers(1000)
		recovery := time.AfterFunc(testWindow+time.Second, func() { t.server.LoseAnswers(0) })
		defer recovery.Stop()
		g := t.mustClaim(testKey(1), "a")
		if g.MayDispatch(time.Now()) {
			t.Error("an agent may dispatch after the window that began with its first write")
		}
	})
}

// Guards against an abandoned claim that takes effect later. The caller leaves
// while the write is delayed by ten seconds. If the write took effect, nobody
// would run the request and each repeat would be refused as held until an
// operator releases the claim.
func TestAbandonedClaimHasNoLaterEffect(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		t.server.SetSlow(10 * time.Second)
		if _, ok := t.claim(testKey(1), "a", "d", 100*time.Millisecond).(Unknown); !ok {
			t.Error("a claim in flight was not answered as unknown")
		}
		t.server.SetSlow(0)
		t.flush()
		time.Sleep(20 * time.Second)
		t.wantOpenClaims(0)
		t.mustClaim(testKey(1), "b")
	})
}

// Guards against the loss of an outcome in an outage: the service goes down for
// a minute after the request was run. A repeat after the outage must get the
// answer.
func TestOutcomeSurvivesOutage(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		// Obtains the lease of the bucket, so that the outage affects only the
		// transaction.
		t.storeOutcome(t.mustClaim(testKey(2), "lease"), Completed, Answer{})
		t.flush()
		g := t.mustClaim(testKey(1), "a")
		t.server.SetDown(true)
		t.storeOutcome(g, Completed, Answer{Status: 200})
		time.Sleep(time.Minute)
		t.server.SetDown(false)
		t.flush()
		if _, ok := t.claim(testKey(1), "b", "d", time.Minute).(AlreadyRun); !ok {
			t.Error("the outcome was lost in the outage")
		}
	})
}

// Guards against the loss of an outcome when the service is restored from a
// copy that is older than the claim. The agent that ran the request still has
// the outcome and must store it.
func TestOutcomeSurvivesRestore(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		old := t.server.Copy()
		g := t.mustClaim(testKey(1), "a")
		t.server.Restore(old)
		t.storeOutcome(g, Completed, Answer{Status: 200})
		t.flush()
		if _, ok := t.claim(testKey(1), "b", "d", time.Minute).(AlreadyRun); !ok {
			t.Error("the outcome was lost with the claim")
		}
	})
}

// Guards against closed records that expire early. A lease that has to be kept
// alive expires when its holder is paused; without the closed record a repeated
// request would run again.
func TestClosedRecordOutlivesPausedHolder(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		t.storeOutcome(t.mustClaim(testKey(1), "a"), Completed, Answer{Status: 200})
		t.flush()
		t.server.LapseLeases(time.Hour)
		if _, ok := t.claim(testKey(1), "b", "d", time.Minute).(AlreadyRun); !ok {
			t.Error("the closed record expired with the lease of a paused holder")
		}
		time.Sleep(28 * time.Hour)
		t.mustClaim(testKey(1), "c")
	})
}

// Guards against the loss of an outcome when the lease of the bucket no longer
// exists: the service rejects the transaction, and the outcome must be stored
// with a new lease.
func TestMissingLeaseIsReplaced(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		t.storeOutcome(t.mustClaim(testKey(1), "a"), Completed, Answer{Status: 200})
		t.flush()
		g := t.mustClaim(testKey(2), "b")
		t.server.LapseLeases(100 * time.Hour)
		t.storeOutcome(g, Completed, Answer{Status: 200})
		t.flush()
		if _, ok := t.claim(testKey(2), "c", "d", time.Minute).(AlreadyRun); !ok {
			t.Error("the outcome was not stored")
		}
	})
}

func TestBoundsOfQueueAndBacklog(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		g := t.mustClaim(testKey(1), "a")
		t.b.MaxBacklog, t.b.MaxQueue = 1, 1
		t.server.SetDown(true)
		t.storeOutcome(g, Completed, Answer{})
		if err := t.b.StoreOutcome(g, Completed, Answer{}); err != ErrBacklogFull {
			t.Errorf("error %v, want ErrBacklogFull", err)
		}
		t.server.SetDown(false)
		t.flush()
		t.server.SetSlow(testTimeout / 2)
		results := make(chan Result, 10)
		for i := range 10 {
			go func() { results <- t.claim(testKey(10+i), fmt.Sprint(i), "d", time.Minute) }()
		}
		refused := 0
		for range 10 {
			if v, ok := (<-results).(NotClaimed); ok {
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
	withBatcher(t, func(t *batcherTest) {
		t.server.SetSlow(3 * time.Millisecond)
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				a := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), MaxAnswerBytes)}
				t.storeOutcome(t.mustClaim(testKey(i), fmt.Sprint(i)), Completed, a)
			})
		}
		wg.Wait()
		t.flush()
		t.wantOpenClaims(0)
		if n := t.server.Counts().Writes(); n > 60 {
			t.Errorf("%d writes for 1000 claims and outcomes", n)
		}
	})
}

func TestWindowIsOpenUntilItsEnd(t *testing.T) {
	sent := time.Now()
	g := Grant{firstSentAt: sent, dispatchWindow: testWindow}
	if !g.MayDispatch(sent.Add(testWindow-1)) || g.MayDispatch(sent.Add(testWindow)) {
		t.Error("the window is not open exactly until its end")
	}
}
