package claim

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// An operator sees an open claim and nothing printed. Releasing at once would
// let the agent print it afterwards, and the caller's repeat as well.
func TestReleaseWaitsForWindow(t *testing.T) {
	withBatcher(t, func(t *bench) {
		k := testKey(1)
		g := t.granted(k, "a")
		release := func(s State) error { return t.claims.Release(t.Context(), k, s, "op") }
		err := release(NotRun)
		wantCode(t.T, err, result.ClaimRunning)
		time.Sleep(result.Of(err).RetryAfter())
		if g.MayDispatch(time.Now()) {
			t.Error("the claim can be released while its agent may dispatch")
		}
		alive := true
		t.claims.Alive = func(string, uint64) bool { return alive }
		wantCode(t.T, release(NotRun), result.ClaimRunning)
		alive = false
		t.server.LoseAnswers(2)
		wantCode(t.T, release(NotRun), result.OK)
		wantCode(t.T, release(NotRun), result.UnknownClaim)
		wantCode(t.T, release(Completed), result.MalformedOrder)
		t.granted(k, "b")
	})
}

// Between the operator's look and the release the agent stores that it does not
// know the outcome; the release was decided on what is no longer so.
func TestReleaseOfChangedClaimIsConflict(t *testing.T) {
	withBatcher(t, func(t *bench) {
		g := t.granted(testKey(1), "a")
		rec, revision, err := t.claims.read(t.Context(), testKey(1))
		if err != nil {
			t.Fatal(err)
		}
		t.conclude(g, Unsettled, Answer{})
		t.flush()
		err = t.claims.close(t.Context(), conclude{record: rec.with(NotRun, Answer{}, time.Now()), revision: revision})
		wantCode(t.T, err, result.Conflict)
		wantCode(t.T, Err(t.claim(testKey(1), "b", "d", time.Minute)), result.OutcomeUnknown)
		t.conclude(g, Completed, Answer{Status: 200})
		t.flush()
		t.wantOpen(0)
	})
}
