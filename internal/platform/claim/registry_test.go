package claim

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Guards against a release that precedes the dispatch: an operator sees an open
// claim whose request was not run and releases it, the agent runs the request
// afterwards, and the caller's repeat runs too.
func TestReleaseWaitsForWindow(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		k := testKey(1)
		g := t.mustClaim(k, "a")
		release := func(s State) error { return t.claims.Release(t.Context(), k, s, "op") }
		err := release(NotRun)
		wantCode(t.T, err, result.ClaimRunning)
		time.Sleep(result.Of(err).RetryAfter())
		if g.MayDispatch(time.Now()) {
			t.Error("the claim can be released while its agent may still dispatch")
		}
		alive := true
		t.claims.Alive = func(string, uint64) bool { return alive }
		wantCode(t.T, release(NotRun), result.ClaimRunning)
		alive = false
		t.server.LoseAnswers(2)
		wantCode(t.T, release(NotRun), result.OK)
		wantCode(t.T, release(NotRun), result.UnknownClaim)
		wantCode(t.T, release(Completed), result.MalformedOrder)
		t.mustClaim(k, "b")
	})
}

// Guards against a release that was decided on an outdated record: between the
// operator's read and the release, the agent stores that the outcome is not
// known.
func TestReleaseOfChangedClaimIsConflict(t *testing.T) {
	withBatcher(t, func(t *batcherTest) {
		g := t.mustClaim(testKey(1), "a")
		rec, revision, err := t.claims.readOpen(t.Context(), testKey(1))
		if err != nil {
			t.Fatal(err)
		}
		t.storeOutcome(g, Unsettled, Answer{})
		t.flush()
		err = t.claims.commitRelease(t.Context(), storeOutcome{record: rec.withState(NotRun, Answer{}, time.Now()), revision: revision})
		wantCode(t.T, err, result.Conflict)
		wantCode(t.T, Err(t.claim(testKey(1), "b", "d", time.Minute)), result.OutcomeUnknown)
		t.storeOutcome(g, Completed, Answer{Status: 200})
		t.flush()
		t.wantOpenClaims(0)
	})
}
