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

func yes() bool { return true }
func no() bool  { return false }

func TestNextStep(t *testing.T) {
	once := &routing.Route{Repeat: routing.RunOnce, MaxAttempts: 2}
	safe := &routing.Route{Repeat: routing.Idempotent, MaxAttempts: 2}
	stream := &routing.Route{Repeat: routing.Stream, Resumable: true, MaxAttempts: 2}
	fixed := &routing.Route{Repeat: routing.Stream, MaxAttempts: 2}
	lost := errors.New("connection reset")
	for name, c := range map[string]struct {
		route  *routing.Route
		tries  Tries
		how    Outcome
		left   time.Duration
		budget func() bool
		want   Step
	}{
		"an order that may have run is never sent again": {once, Tries{Sent: 1, MayHaveRun: true}, Unknown{Cause: lost}, time.Second, yes, End},
		"an order that truly did not run is":             {once, Tries{Sent: 1}, NotRun{Sent: true, Code: result.EndpointBusy}, time.Second, yes, Again},
		"an order that failed is not":                    {once, Tries{Sent: 1, MayHaveRun: true}, Failed{}, time.Second, yes, End},
		"a look-up that may have run is":                 {safe, Tries{Sent: 1, MayHaveRun: true}, Unknown{Cause: lost}, time.Second, yes, Again},
		"but not beyond its attempts":                    {safe, Tries{Sent: 2, MayHaveRun: true}, Unknown{Cause: lost}, time.Second, yes, End},
		"nor beyond the fleet's budget":                  {safe, Tries{Sent: 1, MayHaveRun: true}, Unknown{Cause: lost}, time.Second, no, End},
		"nor when no time is left":                       {safe, Tries{Sent: 1, MayHaveRun: true}, Unknown{Cause: lost}, time.Millisecond, yes, End},
		"a connection that is refused costs no budget":   {once, Tries{Unsent: 1}, NotRun{Code: result.EndpointDown}, time.Second, no, Again},
		"but only a few are tried":                       {once, Tries{Unsent: 3}, NotRun{Code: result.EndpointDown}, time.Second, yes, End},
		"a torn stream goes on elsewhere":                {stream, Tries{Sent: 1, MayHaveRun: true}, Broken{Cause: lost}, time.Second, yes, Again},
		"one that can't be resumed does not":             {fixed, Tries{Sent: 1, MayHaveRun: true}, Broken{Cause: lost}, time.Second, yes, End},
		"nothing follows an answer":                      {safe, Tries{Sent: 1}, Delivered{}, time.Second, yes, End},
		"nor a caller who left":                          {safe, Tries{Sent: 1}, Gone{Cause: lost}, time.Second, yes, End},
	} {
		t.Run(name, func(t *testing.T) {
			if got := NextStep(c.route, c.tries, c.how, c.left, c.budget); got != c.want {
				t.Fatalf("step %v, want %v", got, c.want)
			}
		})
	}
}

// A data centre returns and all its engines are cold. They look empty, so twelve
// entries send them whatever comes, at ten times the rate that they bear, and
// learn of each other's requests too late.
func TestColdSharesStayWithinTheRate(t *testing.T) {
	const entries, rate, bound = 12, 38.0, 38*1.5 + 5
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		shares := make([]Shares, entries)
		var sent []time.Time
		for ms := range 5000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if rng.Float64() < 0.4 && shares[rng.IntN(entries)].Take("x", rate, entries, now) {
				sent = append(sent, now)
			}
		}
		if n := mostWithin(sent, time.Second); n > bound {
			t.Fatalf("seed %d: %d requests in a second, %v are allowed", seed, n, bound)
		}
		if len(sent) < 4*30 {
			t.Fatalf("seed %d: only %d requests in 5 s reached an endpoint that bears %v a second", seed, len(sent), rate)
		}
	}
}

// mostWithin returns the most of some moments, in their order, that lie within a span.
func mostWithin(at []time.Time, span time.Duration) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// An entry VM is suspended while operators take a key away; when it wakes up it
// must not take what it knew for fresh.
func TestFreshnessOnlyGrows(t *testing.T) {
	var f Freshness
	if f.Age(start) < time.Hour {
		t.Fatal("fresh before anything is known")
	}
	f.Learn(start)
	f.Learn(start.Add(-time.Second)) // an older proof that came late
	if got := f.Age(start.Add(3 * time.Second)); got != 3*time.Second {
		t.Fatalf("age %v", got)
	}
}

// An engine that was slow has twelve free places again. Nine entries with
// requests waiting hear of it in the same moment.
func TestQuotasAddUpToTheFreePlaces(t *testing.T) {
	for n := 2; n <= 40; n++ {
		for free := range 30 {
			for turn := range n {
				now := start.Add(time.Duration(turn) * turnTime)
				sum := 0
				for i := range n {
					sum += quota(free, i, n, now)
				}
				if sum != free {
					t.Fatalf("%d entries take %d of %d places", n, sum, free)
				}
			}
		}
	}
	t.Run("each entry has its turn", func(t *testing.T) {
		const n = 7
		for i := range n {
			had := 0
			for turn := range n {
				had += quota(1, i, n, start.Add(time.Duration(turn)*turnTime))
			}
			if had != 1 {
				t.Fatalf("entry %d had %d of %d turns", i, had, n)
			}
		}
	})
}

// A group of engines is down for 6 s. A caller who is refused in its fourth
// second and comes back at once has used up its one retry.
func TestComeBackGrowsWithTheOutage(t *testing.T) {
	var o outages
	usual := 250 * time.Millisecond
	for _, c := range []struct{ after, want time.Duration }{
		{0, usual},
		{500 * time.Millisecond, usual},
		{1500 * time.Millisecond, 1500 * time.Millisecond},
		{9 * time.Second, mostComeBack},
	} {
		t.Run(fmt.Sprint(c.after), func(t *testing.T) {
			o.ended("quotes", NotRun{Sent: true}, start)
			if got := o.comeBack("quotes", usual, start.Add(c.after)); got != c.want {
				t.Fatalf("%v, want %v", got, c.want)
			}
		})
	}
	o.served("quotes", start)
	if got := o.comeBack("quotes", usual, start.Add(9*time.Second)); got != usual {
		t.Fatalf("%v after the service answered again", got)
	}
}
