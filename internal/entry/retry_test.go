package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// An attempt ends, and the entry decides whether another may follow. A chat is
// tried elsewhere; an order that may have run is only asked for again under its
// claim and only when its agent was lost, else it could ship twice; a refusal
// that no other endpoint can better ends at once.
func TestMayRetry(t *testing.T) {
	cases := []struct {
		name     string
		err      *result.Error
		attempts uint32
		chat     bool
		order    bool
	}{
		{"refused as busy", result.New(result.EndpointBusy, ""), 1, true, true},
		{"refused as leaving", result.New(result.EndpointLeaving, ""), 1, true, true},
		{"out of service", result.New(result.OutOfService, ""), 1, true, true},
		{"answer broke off", result.New(result.AnswerIncomplete, ""), 1, true, false},
		{"outcome unknown", result.New(result.OutcomeUnknown, ""), 1, true, false},
		{"endpoint failed", result.New(result.EndpointFailed, ""), 1, true, false},
		{"agent lost", lost(result.New(result.OutcomeUnknown, "")), 1, true, true},
		{"agent lost too often", lost(result.New(result.OutcomeUnknown, "")), maxClaimAsks + 1, true, false},
		{"platform down", result.New(result.PlatformDown, ""), 1, false, false},
		{"key reused", result.New(result.KeyReused, ""), 1, false, false},
		{"id reused", result.New(result.RequestIDReused, ""), 1, false, false},
		{"no time is left", result.New(result.DeadlineExceeded, ""), 1, false, false},
		{"caller left", result.New(result.Cancelled, ""), 1, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for once, want := range map[bool]bool{false: c.chat, true: c.order} {
				tk := &task{runOnce: once, attempts: c.attempts, relay: &relay{w: &caller.Reply{}}}
				if got := (&Entry{}).mayRetry(context.Background(), tk, c.err); got != want {
					t.Errorf("run once %t: %t, want %t", once, got, want)
				}
			}
		})
	}
	t.Run("no time is left for another", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		tk := &task{attempts: 1, relay: &relay{w: &caller.Reply{}}}
		if (&Entry{}).mayRetry(ctx, tk, result.New(result.EndpointBusy, "")) {
			t.Error("retried after the end")
		}
	})
}

var epoch = time.Unix(1_000_000, 0)

func newScheduler(t *testing.T, percent float64) *scheduler {
	t.Helper()
	s := &scheduler{}
	s.init()
	s.balancer.DataCentre = "a"
	s.admission.MaxWaiting = 100
	s.budget.Percent = percent
	if err := s.admission.Configure([]admission.Limits{{Account: "clinic"}}, epoch); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *scheduler) hear(name string, allowed int, now time.Time) {
	s.report(placement.Report{
		Endpoint: name, Incarnation: 1, DataCentre: "a", Routes: []string{"small"},
		Allowance: allowed, Capacity: allowed, ValidAt: now,
	}, now)
}

func newJob(id string) *job {
	return &job{
		id: id, verdict: make(chan *result.Error, 1),
		query:   placement.Query{Route: "small"},
		request: admission.Request{ID: id, Account: "clinic", Route: "small", Worth: 1, Deadline: epoch.Add(time.Minute)},
	}
}

func verdictOf(t *testing.T, j *job) *result.Error {
	t.Helper()
	select {
	case err := <-j.verdict:
		return err
	default:
		t.Fatalf("%s has no verdict", j.id)
		return nil
	}
}

// An engine breaks each answer under load. If each broken attempt were tried
// again without a bound, the retries would double the load on the endpoints
// that are left, and those would break too.
func TestRetriesAreBounded(t *testing.T) {
	s := newScheduler(t, 20)
	const sent = 400
	retried := 0
	for i := range sent {
		j := newJob(fmt.Sprint("r-", i))
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		// One that has just failed is left alone, so each request finds others.
		s.hear(fmt.Sprint("a-engine-", i), 1000, now)
		s.hear(fmt.Sprint("b-engine-", i), 1000, now)
		s.submit(j, now)
		if err := verdictOf(t, j); err != nil {
			t.Fatal(err)
		}
		s.retry(j, now)
		err := verdictOf(t, j)
		switch codeOf(err) {
		case result.OK:
			retried++
		case result.RetryBudget:
		default:
			t.Fatal(err)
		}
		s.done(j, now)
	}
	if retried == 0 || retried > sent/2 {
		t.Errorf("%d of %d were tried again", retried, sent)
	}
	if len(s.jobs) != 0 || s.admission.Open("clinic") != 0 {
		t.Errorf("%d jobs and %d open are left", len(s.jobs), s.admission.Open("clinic"))
	}
}

// Agents refuse as not run during a change of the preset. The endpoints did no
// work for it, so it must not use up the budget for real failures.
func TestTrueRefusalsCostNoRetryBudget(t *testing.T) {
	s := newScheduler(t, 1)
	j := newJob("r")
	s.hear("a-engine-0", 1, epoch)
	s.submit(j, epoch)
	for i := range 60 {
		if err := verdictOf(t, j); err != nil {
			t.Fatalf("after %d refusals: %v", i, err)
		}
		now := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
		s.refused(j, time.Millisecond, now)
		s.hear("a-engine-0", 1, now.Add(10*time.Millisecond))
	}
	s.done(j, epoch.Add(time.Minute))
}

func codeOf(e *result.Error) result.Code {
	if e == nil {
		return result.OK
	}
	return e.Code()
}

// An agent's VM freezes while requests wait for it. Its reports stop, and the
// requests must end now and be tried elsewhere, not wait for their deadlines.
// Another agent's requests go on.
func TestSilentAgentEndsItsAttempts(t *testing.T) {
	m := &members{byAddr: map[string]*member{}, now: func() time.Time { return epoch }}
	m.ring = &timeline.Ring{Clock: &timeline.Clock{}}
	lostNames := map[string]int{}
	m.lost = func(e string) { lostNames[e]++ }
	for _, a := range []string{"frozen", "well"} {
		m.byAddr[a] = &member{
			addr: a, endpoint: a + "-engine", last: &peerpb.LoadReport{},
			attempts: map[*job]context.CancelCauseFunc{},
		}
	}
	frozen, endFrozen := context.WithCancelCause(context.Background())
	well, endWell := context.WithCancelCause(context.Background())
	defer endWell(nil)
	defer m.wait("frozen", newJob("r"), endFrozen)()
	defer m.wait("well", newJob("s"), endWell)()
	m.drop(m.byAddr["frozen"])
	if context.Cause(frozen) != errAgentSilent {
		t.Errorf("cause %v", context.Cause(frozen))
	}
	if well.Err() != nil {
		t.Error("another agent's request ended too")
	}
	if lostNames["frozen-engine"] != 1 || len(lostNames) != 1 {
		t.Errorf("lost %v", lostNames)
	}
	if n := len(m.reports()); n != 1 {
		t.Errorf("%d reports are left", n)
	}
}

// An endpoint's VM is replaced: its new agent speaks before the old stream
// breaks. Dropping the endpoint then would take a working one out of service.
func TestReplacedAgentKeepsItsEndpoint(t *testing.T) {
	m := &members{byAddr: map[string]*member{}, now: func() time.Time { return epoch }}
	m.ring = &timeline.Ring{Clock: &timeline.Clock{}}
	m.lost = func(e string) { t.Errorf("%s counts as lost", e) }
	old := &member{addr: "old", endpoint: "a-engine-0", attempts: map[*job]context.CancelCauseFunc{}}
	m.byAddr["new"] = &member{addr: "new", endpoint: "a-engine-0", attempts: map[*job]context.CancelCauseFunc{}}
	m.drop(old)
}

// An agent is lost in the middle of a print order; asked for again under its
// claim, the order is refused by the next agent because the platform's service
// is down. The clerk must not be told "not run": the first agent may have
// printed, and a second order under a new key would print once more.
func TestNotRunIsOnlySaidOfAllAttempts(t *testing.T) {
	agentLost := lost(result.New(result.OutcomeUnknown, ""))
	busy := result.New(result.EndpointBusy, "")
	down := result.New(result.PlatformDown, "").WithRetryAfter(time.Second)
	cases := []struct {
		name    string
		earlier []*result.Error
		last    *result.Error
		want    result.Code
	}{
		{"the only attempt is refused", nil, down, result.PlatformDown},
		{"all are refused", []*result.Error{busy, busy}, down, result.PlatformDown},
		{"refused after one was lost", []*result.Error{agentLost}, down, result.OutcomeUnknown},
		{"refused twice after one was lost", []*result.Error{agentLost, busy}, down, result.OutcomeUnknown},
		{"no time is left after one failed", []*result.Error{result.New(result.EndpointFailed, "")}, result.New(result.DeadlinePassed, ""), result.EndpointFailed},
		{"fails after one was lost", []*result.Error{agentLost}, result.New(result.EndpointFailed, ""), result.EndpointFailed},
		{"whole after one was lost", []*result.Error{agentLost}, nil, result.OK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tk := &task{}
			for _, e := range c.earlier {
				tk.note(e)
			}
			got := tk.final(c.last)
			if codeOf(got) != c.want {
				t.Errorf("told %d, want %d", codeOf(got), c.want)
			}
			if got != nil && got.RetryAfter() != c.last.RetryAfter() {
				t.Errorf("come back after %s", got.RetryAfter())
			}
		})
	}
}
