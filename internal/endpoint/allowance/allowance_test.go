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

// newAllowance returns an allowance with limits that pass.
func newAllowance(t interface{ Fatal(...any) }, l Limits) *Allowance {
	a := &Allowance{}
	if err := a.Configure(l); err != nil {
		t.Fatal(err)
	}
	return a
}

// warm completes requests one by one until the full bound holds.
func warm(t *testing.T, a *Allowance) {
	t.Helper()
	for a.State().Cold() {
		complete(t, a, 10*time.Millisecond)
	}
	for range tokenLeast {
		complete(t, a, 10*time.Millisecond)
	}
}

func complete(t *testing.T, a *Allowance, firstToken time.Duration) {
	t.Helper()
	ticket, err := a.Admit(start)
	if err != nil {
		t.Fatal(err)
	}
	a.FirstToken(ticket, firstToken)
	a.Completed(ticket, start)
}

func requireBound(t *testing.T, a *Allowance, bound int, cause Cause) {
	t.Helper()
	if s := a.State(); s.Bound() != bound || s.Cause() != cause {
		t.Fatalf("bound %d after %v, want %d after %v", s.Bound(), s.Cause(), bound, cause)
	}
}

func TestConfigure(t *testing.T) {
	for want, l := range map[error]Limits{
		ErrColdBound: {Cold: 0, Full: 4, RampCompletions: 1},
		ErrFullBound: {Cold: 3, Full: 2, RampCompletions: 1},
		ErrRamp:      {Cold: 1, Full: 2},
	} {
		if err := (&Allowance{}).Configure(l); !errors.Is(err, want) {
			t.Errorf("%+v: got %v, want %v", l, err, want)
		}
	}
}

// An agent has just started and no preset has come: whatever its endpoint
// bears is unknown, so nothing goes to it.
func TestNothingBeforeConfigure(t *testing.T) {
	if _, err := (&Allowance{}).Admit(start); result.CodeOf(err) != result.EndpointCold {
		t.Fatalf("got %v", err)
	}
}

// A warm endpoint turns cold without a word; under the load of the warm time it
// falls over, and callers lose their answers again and again.
func TestColdnessIsNoticed(t *testing.T) {
	limits := Limits{Cold: 2, Full: 8, RampCompletions: 3}
	for _, tc := range []struct {
		cause Cause
		sign  func(a *Allowance)
	}{
		{Announced, func(a *Allowance) { a.Restarted(Announced) }},
		{ConnectionLost, func(a *Allowance) { a.Restarted(ConnectionLost) }},
		{NewIncarnation, func(a *Allowance) { a.Incarnation("1"); a.Incarnation("2") }},
		{SlowFirstTokens, func(a *Allowance) {
			for range slowRow {
				ticket, _ := a.Admit(start)
				a.FirstToken(ticket, time.Second)
			}
		}},
	} {
		t.Run(tc.cause.String(), func(t *testing.T) {
			a := newAllowance(t, limits)
			warm(t, a)
			requireBound(t, a, 8, Unknown)
			tc.sign(a)
			requireBound(t, a, 2, tc.cause)
		})
	}
}

// What is ordinary must not cost a cold start: a long prompt, the first
// incarnation that is named, the same one again, time that passes.
func TestOrdinaryIsNotColdness(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 8, RampCompletions: 3})
	warm(t, a)
	a.Incarnation("1")
	a.Incarnation("")
	a.Incarnation("1")
	for range 10 {
		complete(t, a, time.Second)
		complete(t, a, time.Second)
		complete(t, a, 10*time.Millisecond)
	}
	requireBound(t, a, 8, Unknown)
}

// Prompts become longer for good: that may cost one cold start, not one after
// another.
func TestLastingSlownessCostsOneColdStart(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 1, Full: 4, RampCompletions: 1})
	warm(t, a)
	drops := 0
	for range 200 {
		before := a.State().Bound()
		complete(t, a, time.Second)
		if a.State().Bound() < before {
			drops++
		}
	}
	if drops != 1 {
		t.Fatalf("%d drops, want 1", drops)
	}
}

// An engine says in its load reports that it is cold, and its reports lag: one
// from before it was warm must not cost a cold start, a newer one must.
func TestReportsOfColdness(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 4, RampCompletions: 1})
	warm(t, a)
	a.Reported(true, start.Add(-time.Second))
	a.Reported(false, start.Add(time.Second))
	requireBound(t, a, 4, Unknown)
	a.Reported(true, start.Add(time.Second))
	requireBound(t, a, 2, Announced)
	a.Reported(false, start.Add(2*time.Second))
	requireBound(t, a, 2, Announced)
}

// Answers of the warm time arrive after the endpoint turned cold. They prove
// nothing, and the work still running counts against the cold bound.
func TestOldAnswersProveNothing(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 8, RampCompletions: 1})
	warm(t, a)
	var old []Ticket
	for range 8 {
		ticket, err := a.Admit(start)
		if err != nil {
			t.Fatal(err)
		}
		old = append(old, ticket)
	}
	a.Restarted(ConnectionLost)
	for i, ticket := range old {
		_, err := a.Admit(start)
		if refused, want := err != nil, i < 7; refused != want {
			t.Fatalf("with %d old ones running: refused %v", 8-i, refused)
		}
		a.Completed(ticket, start)
		requireBound(t, a, 2, ConnectionLost)
	}
}

// Orders wait for their claims when their warm desk turns cold. Sent all at
// once they would fell it: only as many go as it bears, and those prove warmth.
func TestOldTicketsAreRenewed(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 8, RampCompletions: 1})
	warm(t, a)
	var held []Ticket
	for range 4 {
		ticket, _ := a.Admit(start)
		held = append(held, ticket)
	}
	a.Restarted(ConnectionLost)
	for n, ticket := range held[:2] {
		if _, err := a.Renew(ticket, start); result.CodeOf(err) != result.EndpointCold || err.RetryAfter() == 0 {
			t.Fatalf("with %d held: %v", 4-n, err)
		}
		a.Failed(ticket, start)
	}
	for _, ticket := range held[2:] {
		renewed, err := a.Renew(ticket, start)
		if err != nil {
			t.Fatal(err)
		}
		a.Completed(renewed, start)
	}
	requireBound(t, a, 4, ConnectionLost)
}

// Many entries with old pictures push at a cold endpoint all at once.
func TestEntriesAtOnceNeverExceed(t *testing.T) {
	a := newAllowance(t, Limits{Cold: 2, Full: 6, RampCompletions: 4})
	var (
		mu            sync.Mutex
		running, over int
		wg            sync.WaitGroup
	)
	enter := func(delta int) {
		mu.Lock()
		defer mu.Unlock()
		running += delta
		if running > a.State().Bound() {
			over++
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
				enter(1)
				enter(-1)
				a.Completed(ticket, start)
			}
		}()
	}
	wg.Wait()
	if s := a.State(); over != 0 || s.Running() != 0 {
		t.Fatalf("%d times over the bound, %d left running", over, s.Running())
	}
}

// naive keeps all that happened and works everything out from it.
type naive struct {
	limits  Limits
	coldAt  int
	ends    []naiveEnd
	events  int
	running int
	lastID  string
	times   []time.Duration
	slowRow int
}

type naiveEnd struct {
	admittedAt, at int
}

func (n *naive) bound() int {
	seen := 0
	for _, e := range n.ends {
		if e.admittedAt >= n.coldAt && e.at >= n.coldAt {
			seen++
		}
	}
	// A bound that has reached the full one stays there until coldness.
	return min(n.limits.Full, n.limits.Cold+seen/n.limits.RampCompletions)
}

func (n *naive) cold() {
	n.events++
	n.coldAt = n.events
	n.times, n.slowRow = nil, 0
}

func (n *naive) firstToken(admittedAt int, d time.Duration) {
	if admittedAt < n.coldAt || n.bound() < n.limits.Full {
		return
	}
	recent := n.times[max(0, len(n.times)-tokenWindow):]
	sorted := slices.Sorted(slices.Values(recent))
	if len(sorted) >= tokenLeast && d > slowFloor && d > slowFactor*sorted[len(sorted)/2] {
		if n.slowRow++; n.slowRow == slowRow {
			n.cold()
		}
		return
	}
	n.slowRow = 0
	n.times = append(n.times, d)
}

type open struct {
	ticket     Ticket
	admittedAt int
}

// The allowance gives the same answers as one that works everything out anew
// from all that happened, whatever the order of events.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Cold:            rapid.IntRange(1, 3).Draw(t, "cold"),
			RampCompletions: rapid.IntRange(1, 3).Draw(t, "ramp"),
		}
		limits.Full = limits.Cold + rapid.IntRange(0, 4).Draw(t, "more")
		a := newAllowance(t, limits)
		n := &naive{limits: limits}
		now := start
		var running []open
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			running = step(t, a, n, running, now)
			s := a.State()
			if s.Bound() != n.bound() || s.Running() != n.running {
				t.Fatalf("bound %d of %d running, naive %d of %d", s.Bound(), s.Running(), n.bound(), n.running)
			}
		}
	})
}

// step makes one drawn event happen to both.
func step(t *rapid.T, a *Allowance, n *naive, running []open, now time.Time) []open {
	n.events++
	kind := rapid.SampledFrom([]string{"admit", "admit", "admit", "complete", "complete", "complete", "token", "fail", "restart", "incarnation"}).Draw(t, "kind")
	switch kind {
	case "admit":
		return admitBoth(t, a, n, running, now)
	case "restart":
		if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
			a.Restarted(ConnectionLost)
			n.cold()
		}
		return running
	case "incarnation":
		id := rapid.SampledFrom([]string{"", "1", "1", "1", "2"}).Draw(t, "id")
		a.Incarnation(id)
		if id != "" && n.lastID != "" && id != n.lastID {
			n.cold()
		}
		if id != "" {
			n.lastID = id
		}
		return running
	}
	if len(running) == 0 {
		return running
	}
	i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
	o := running[i]
	if kind == "token" {
		d := time.Duration(rapid.SampledFrom([]int{5, 6, 7, 8, 500}).Draw(t, "token")) * time.Millisecond
		a.FirstToken(o.ticket, d)
		n.firstToken(o.admittedAt, d)
		return running
	}
	n.running--
	if kind == "fail" {
		a.Failed(o.ticket, now)
	} else {
		a.Completed(o.ticket, now)
		n.ends = append(n.ends, naiveEnd{o.admittedAt, n.events})
	}
	return slices.Delete(running, i, i+1)
}

func admitBoth(t *rapid.T, a *Allowance, n *naive, running []open, now time.Time) []open {
	want := result.OK
	switch {
	case n.running < n.bound():
	case n.bound() < n.limits.Full:
		want = result.EndpointCold
	default:
		want = result.EndpointBusy
	}
	ticket, err := a.Admit(now)
	if err == nil && want == result.OK {
		n.running++
		return append(running, open{ticket, n.events})
	}
	if err == nil || err.Code() != want {
		t.Fatalf("admit: %v, naive %v", err, want)
	}
	if after := err.RetryAfter(); after < retryLeast || after > retryMost {
		t.Fatalf("retry after %v", after)
	}
	return running
}
