package allowance

import (
	"errors"
	"flag"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// newAllowance returns an Allowance with the limits l.
func newAllowance(t interface{ Fatal(...any) }, l Limits) *Allowance {
	a := &Allowance{}
	if err := a.Configure(l); err != nil {
		t.Fatal(err)
	}
	return a
}

// warmUp completes requests one by one until the limit is the full one and the
// median time to first token is in use.
func warmUp(t *testing.T, a *Allowance) {
	t.Helper()
	for a.State().Cold() {
		complete(t, a, 10*time.Millisecond)
	}
	for range ttftMinSamples {
		complete(t, a, 10*time.Millisecond)
	}
}

// complete runs one request with the given time to first token.
func complete(t *testing.T, a *Allowance, ttft time.Duration) {
	t.Helper()
	ticket, err := a.Admit(start)
	if err != nil {
		t.Fatal(err)
	}
	a.ObserveTTFT(ticket, ttft)
	a.Complete(ticket, start)
}

func requireLimit(t *testing.T, a *Allowance, limit int, cause ColdStartCause) {
	t.Helper()
	if s := a.State(); s.Limit() != limit || s.Cause() != cause {
		t.Fatalf("limit %d with cause %v, want %d with cause %v", s.Limit(), s.Cause(), limit, cause)
	}
}

func TestConfigure(t *testing.T) {
	for want, l := range map[error]Limits{
		ErrColdLimit:       {Cold: 0, Full: 4, RampCompletions: 1},
		ErrFullLimit:       {Cold: 3, Full: 2, RampCompletions: 1},
		ErrRampCompletions: {Cold: 1, Full: 2},
	} {
		if err := (&Allowance{}).Configure(l); !errors.Is(err, want) {
			t.Errorf("%+v: got %v, want %v", l, err, want)
		}
	}
}

// An agent has started and has no preset yet. The capacity of its endpoint is
// unknown, so no request may be admitted.
func TestNothingBeforeConfigure(t *testing.T) {
	if _, err := (&Allowance{}).Admit(start); result.CodeOf(err) != result.EndpointCold {
		t.Fatalf("got %v", err)
	}
}

// A warm endpoint turns cold without reporting it and crashes if its load stays
// the same. Each sign of a cold start must reset the limit.
func TestColdStartResetsLimit(t *testing.T) {
	limits := Limits{Cold: 2, Full: 8, RampCompletions: 3}
	for _, tc := range []struct {
		cause   ColdStartCause
		trigger func(a *Allowance)
	}{
		{Announced, func(a *Allowance) { a.ResetToCold(Announced) }},
		{ConnectionLost, func(a *Allowance) { a.ResetToCold(ConnectionLost) }},
		{NewIncarnation, func(a *Allowance) { a.SetIncarnation("1"); a.SetIncarnation("2") }},
		{SlowFirstTokens, func(a *Allowance) {
			for range slowRunLength {
				ticket, _ := a.Admit(start)
				a.ObserveTTFT(ticket, time.Second)
			}
		}},
	} {
		t.Run(tc.cause.String(), func(t *testing.T) {
			a := newAllowance(t, limits)
			warmUp(t, a)
			requireLimit(t, a, 8, Unknown)
			tc.trigger(a)
			requireLimit(t, a, 2, tc.cause)
		})
	}
}

// Ordinary events must not start a cold start: a long prompt, the first
// incarnation, the same incarnation again.
func TestOrdinaryEventsDoNotStartColdStart(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 8, RampCompletions: 3})
	warmUp(t, a)
	a.SetIncarnation("1")
	a.SetIncarnation("")
	a.SetIncarnation("1")
	for range 10 {
		complete(t, a, time.Second)
		complete(t, a, time.Second)
		complete(t, a, 10*time.Millisecond)
	}
	requireLimit(t, a, 8, Unknown)
}

// A lasting change to longer prompts may cause one cold start, not a series of
// them.
func TestLastingSlownessCausesOneColdStart(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 1, Full: 4, RampCompletions: 1})
	warmUp(t, a)
	resets := 0
	for range 200 {
		before := a.State().Limit()
		complete(t, a, time.Second)
		if a.State().Limit() < before {
			resets++
		}
	}
	if resets != 1 {
		t.Fatalf("%d resets, want 1", resets)
	}
}

// Load reports lag: a report of a cold endpoint that was made before the endpoint
// became warm must not start a cold start, a newer one must.
func TestReportsOfColdEndpoint(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 4, RampCompletions: 1})
	warmUp(t, a)
	a.ReportCold(true, start.Add(-time.Second))
	a.ReportCold(false, start.Add(time.Second))
	requireLimit(t, a, 4, Unknown)
	a.ReportCold(true, start.Add(time.Second))
	requireLimit(t, a, 2, Announced)
	a.ReportCold(false, start.Add(2*time.Second))
	requireLimit(t, a, 2, Announced)
}

// Requests that were admitted while the endpoint was warm complete after it turned
// cold. They must not raise the limit, and while they run they count against the
// cold limit.
func TestOldRequestsDoNotRaiseLimit(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 8, RampCompletions: 1})
	warmUp(t, a)
	var tickets []Ticket
	for range 8 {
		ticket, err := a.Admit(start)
		if err != nil {
			t.Fatal(err)
		}
		tickets = append(tickets, ticket)
	}
	a.ResetToCold(ConnectionLost)
	for i, ticket := range tickets {
		_, err := a.Admit(start)
		if refused, want := err != nil, i < 7; refused != want {
			t.Fatalf("with %d requests running from before the cold start: refused is %v", 8-i, refused)
		}
		a.Complete(ticket, start)
		requireLimit(t, a, 2, ConnectionLost)
	}
}

// Admitted requests wait for their claims when the endpoint turns cold. Sent all at
// once they would crash it: only as many as fit under the cold limit may be sent,
// and their completions raise it.
func TestOldTicketsAreRevalidated(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 8, RampCompletions: 1})
	warmUp(t, a)
	var tickets []Ticket
	for range 4 {
		ticket, _ := a.Admit(start)
		tickets = append(tickets, ticket)
	}
	a.ResetToCold(ConnectionLost)
	for n, ticket := range tickets[:2] {
		if _, err := a.Revalidate(ticket, start); result.CodeOf(err) != result.EndpointCold || err.RetryAfter() == 0 {
			t.Fatalf("with %d tickets held: got error %v, want endpointCold with a retry delay", 4-n, err)
		}
		a.Fail(ticket, start)
	}
	for _, ticket := range tickets[2:] {
		revalidated, err := a.Revalidate(ticket, start)
		if err != nil {
			t.Fatal(err)
		}
		a.Complete(revalidated, start)
	}
	requireLimit(t, a, 4, ConnectionLost)
}

// Many entries with outdated load reports send requests to a cold endpoint at the
// same time. The limit must never be exceeded.
func TestEntriesAtOnceNeverExceed(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 6, RampCompletions: 4})
	var (
		mu                sync.Mutex
		running, exceeded int
		wg                sync.WaitGroup
	)
	addRunning := func(delta int) {
		mu.Lock()
		defer mu.Unlock()
		running += delta
		if running > a.State().Limit() {
			exceeded++
		}
	}
	for range 32 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 200 {
				ticket, err := a.Admit(start)
				if err != nil {
					continue
				}
				addRunning(1)
				addRunning(-1)
				a.Complete(ticket, start)
			}
		}()
	}
	wg.Wait()
	if s := a.State(); exceeded != 0 || s.Running() != 0 {
		t.Fatalf("the limit was exceeded %d times; %d requests left running", exceeded, s.Running())
	}
}

// reference is a simple model of Allowance that keeps all events and recomputes the
// state from them. It gives points in time as the number of events until then.
type reference struct {
	limits      Limits
	coldSince   int
	completions []completion
	events      int
	running     int
	lastID      string
	samples     []time.Duration
	slowRun     int
}

// completion is a completed request, with the times of its admission and its
// completion as numbers of events.
type completion struct {
	admittedAt, at int
}

func (ref *reference) limit() int {
	completed := 0
	for _, e := range ref.completions {
		if e.admittedAt >= ref.coldSince && e.at >= ref.coldSince {
			completed++
		}
	}
	// Once the limit has reached the full one, it stays there until the next
	// cold start.
	return min(ref.limits.Full, ref.limits.Cold+completed/ref.limits.RampCompletions)
}

func (ref *reference) startCold() {
	ref.events++
	ref.coldSince = ref.events
	ref.samples, ref.slowRun = nil, 0
}

func (ref *reference) observeTTFT(admittedAt int, d time.Duration) {
	if admittedAt < ref.coldSince || ref.limit() < ref.limits.Full {
		return
	}
	recent := ref.samples[max(0, len(ref.samples)-ttftWindow):]
	sorted := slices.Sorted(slices.Values(recent))
	if len(sorted) >= ttftMinSamples && d > slowFloor && d > slowFactor*sorted[len(sorted)/2] {
		if ref.slowRun++; ref.slowRun == slowRunLength {
			ref.startCold()
		}
		return
	}
	ref.slowRun = 0
	ref.samples = append(ref.samples, d)
}

type admittedRequest struct {
	ticket     Ticket
	admittedAt int
}

// For any order of events, Allowance and the reference model give the same results.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Cold:            rapid.IntRange(1, 3).Draw(t, "cold"),
			RampCompletions: rapid.IntRange(1, 3).Draw(t, "ramp"),
		}
		limits.Full = limits.Cold + rapid.IntRange(0, 4).Draw(t, "more")
		a := newAllowance(t, limits)
		ref := &reference{limits: limits}
		now := start
		var running []admittedRequest
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			running = applyEvent(t, a, ref, running, now)
			s := a.State()
			if s.Limit() != ref.limit() || s.Running() != ref.running {
				t.Fatalf("limit %d with %d running, reference %d with %d", s.Limit(), s.Running(), ref.limit(), ref.running)
			}
		}
	})
}

// applyEvent applies one random event to both the allowance and the reference.
func applyEvent(t *rapid.T, a *Allowance, ref *reference, running []admittedRequest, now time.Time) []admittedRequest {
	ref.events++
	kind := rapid.SampledFrom([]string{"admit", "admit", "admit", "complete", "complete", "complete", "token", "fail", "restart", "incarnation"}).Draw(t, "kind")
	switch kind {
	case "admit":
		return admitBoth(t, a, ref, running, now)
	case "restart":
		if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
			a.ResetToCold(ConnectionLost)
			ref.startCold()
		}
		return running
	case "incarnation":
		id := rapid.SampledFrom([]string{"", "1", "1", "1", "2"}).Draw(t, "id")
		a.SetIncarnation(id)
		if id != "" && ref.lastID != "" && id != ref.lastID {
			ref.startCold()
		}
		if id != "" {
			ref.lastID = id
		}
		return running
	}
	if len(running) == 0 {
		return running
	}
	i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
	req := running[i]
	if kind == "token" {
		d := time.Duration(rapid.SampledFrom([]int{5, 6, 7, 8, 500}).Draw(t, "token")) * time.Millisecond
		a.ObserveTTFT(req.ticket, d)
		ref.observeTTFT(req.admittedAt, d)
		return running
	}
	ref.running--
	if kind == "fail" {
		a.Fail(req.ticket, now)
	} else {
		a.Complete(req.ticket, now)
		ref.completions = append(ref.completions, completion{req.admittedAt, ref.events})
	}
	return slices.Delete(running, i, i+1)
}

// admitBoth admits a request to both and compares the results.
func admitBoth(t *rapid.T, a *Allowance, ref *reference, running []admittedRequest, now time.Time) []admittedRequest {
	want := result.OK
	switch {
	case ref.running < ref.limit():
	case ref.limit() < ref.limits.Full:
		want = result.EndpointCold
	default:
		want = result.EndpointBusy
	}
	ticket, err := a.Admit(now)
	if err == nil && want == result.OK {
		ref.running++
		return append(running, admittedRequest{ticket, ref.events})
	}
	if err == nil || err.Code() != want {
		t.Fatalf("admit: got %v, reference %v", err, want)
	}
	if delay := err.RetryAfter(); delay < minRetryAfter || delay > maxRetryAfter {
		t.Fatalf("retry delay %v is out of bounds", delay)
	}
	return running
}
