package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

var start = time.Unix(10000, 0)

func budgetLeft() bool { return true }
func noBudget() bool   { return false }

func TestNextDecision(t *testing.T) {
	runOnce := &routing.Route{RetrySemantics: routing.RunOnce, MaxAttempts: 2}
	idempotent := &routing.Route{RetrySemantics: routing.Idempotent, MaxAttempts: 2}
	stream := &routing.Route{RetrySemantics: routing.Stream, Resumable: true, MaxAttempts: 2}
	notResumable := &routing.Route{RetrySemantics: routing.Stream, MaxAttempts: 2}
	lost := errors.New("connection reset")
	for name, c := range map[string]struct {
		route    *routing.Route
		attempts AttemptCounts
		outcome  Outcome
		left     time.Duration
		budget   func() bool
		want     Decision
	}{
		"run-once request that may have run is not retried": {runOnce, AttemptCounts{Sent: 1, MayHaveRun: true}, Unknown{Cause: lost}, time.Second, budgetLeft, End},
		"run-once request that did not run is retried":      {runOnce, AttemptCounts{Sent: 1}, NotRun{Sent: true, Code: result.EndpointBusy}, time.Second, budgetLeft, Retry},
		"run-once request that failed is not retried":       {runOnce, AttemptCounts{Sent: 1, MayHaveRun: true}, Failed{}, time.Second, budgetLeft, End},
		"idempotent request that may have run is retried":   {idempotent, AttemptCounts{Sent: 1, MayHaveRun: true}, Unknown{Cause: lost}, time.Second, budgetLeft, Retry},
		"attempts are used up":                              {idempotent, AttemptCounts{Sent: 2, MayHaveRun: true}, Unknown{Cause: lost}, time.Second, budgetLeft, End},
		"retry budget is used up":                           {idempotent, AttemptCounts{Sent: 1, MayHaveRun: true}, Unknown{Cause: lost}, time.Second, noBudget, End},
		"no time is left":                                   {idempotent, AttemptCounts{Sent: 1, MayHaveRun: true}, Unknown{Cause: lost}, time.Millisecond, budgetLeft, End},
		"refused connection costs no retry budget":          {runOnce, AttemptCounts{Unsent: 1}, NotRun{Code: result.EndpointDown}, time.Second, noBudget, Retry},
		"refused connections are bounded":                   {runOnce, AttemptCounts{Unsent: 3}, NotRun{Code: result.EndpointDown}, time.Second, budgetLeft, End},
		"interrupted stream continues at another endpoint":  {stream, AttemptCounts{Sent: 1, MayHaveRun: true}, Interrupted{Cause: lost}, time.Second, budgetLeft, Retry},
		"stream that can't be resumed does not continue":    {notResumable, AttemptCounts{Sent: 1, MayHaveRun: true}, Interrupted{Cause: lost}, time.Second, budgetLeft, End},
		"delivered answer ends the request":                 {idempotent, AttemptCounts{Sent: 1}, Delivered{}, time.Second, budgetLeft, End},
		"disconnected caller ends the request":              {idempotent, AttemptCounts{Sent: 1}, Disconnected{Cause: lost}, time.Second, budgetLeft, End},
	} {
		t.Run(name, func(t *testing.T) {
			if got := NextDecision(c.route, c.attempts, c.outcome, c.left, c.budget); got != c.want {
				t.Fatalf("decision %v, want %v", got, c.want)
			}
		})
	}
}

// All engines of a data centre are cold when it comes back, and look idle. Guards against twelve
// entries that send them all requests, at ten times the rate that they can handle, because they
// learn of each other's requests too late.
func TestColdSharesStayWithinTheRate(t *testing.T) {
	const entries, rate, bound = 12, 38.0, 38*1.5 + 5
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		shares := make([]RateShares, entries)
		var sent []time.Time
		for ms := range 5000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if rng.Float64() < 0.4 && shares[rng.IntN(entries)].Take("x", rate/entries, now) {
				sent = append(sent, now)
			}
		}
		if n := maxWithin(sent, time.Second); n > bound {
			t.Fatalf("seed %d: %d requests in a second, %v are allowed", seed, n, bound)
		}
		if len(sent) < 4*30 {
			t.Fatalf("seed %d: only %d requests in 5 s reached an endpoint that accepts %v per second", seed, len(sent), rate)
		}
	}
}

// maxWithin returns the largest number of times within any interval of length span. The times must
// be sorted.
func maxWithin(at []time.Time, span time.Duration) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// An entry VM is suspended while operators revoke a key. Guards against a configuration from before
// the suspension that counts as fresh afterwards.
func TestFreshnessOnlyGrows(t *testing.T) {
	var f Freshness
	if f.Age(start) < time.Hour {
		t.Fatal("fresh before anything is known")
	}
	f.Advance(start)
	f.Advance(start.Add(-time.Second)) // an older confirmation that arrives late
	if got := f.Age(start.Add(3 * time.Second)); got != 3*time.Second {
		t.Fatalf("age %v", got)
	}
}

// A group of engines is down for 6 s. Guards against a caller that is refused in the fourth second,
// comes back at once and has then used up its one retry.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	var o outages
	usual := 250 * time.Millisecond
	for _, c := range []struct{ after, want time.Duration }{
		{0, usual},
		{500 * time.Millisecond, usual},
		{1500 * time.Millisecond, 1500 * time.Millisecond},
		{9 * time.Second, maxOutageRetryAfter},
	} {
		t.Run(fmt.Sprint(c.after), func(t *testing.T) {
			o.recordOutcome("quotes", NotRun{Sent: true}, start)
			if got := o.retryAfter("quotes", usual, start.Add(c.after)); got != c.want {
				t.Fatalf("%v, want %v", got, c.want)
			}
		})
	}
	o.answered("quotes", start)
	if got := o.retryAfter("quotes", usual, start.Add(9*time.Second)); got != usual {
		t.Fatalf("%v after the service answered again", got)
	}
}
