package allowance

import (
	"errors"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Errors of Configure.
var (
	ErrColdBound = errors.New("allowance: the cold bound must be at least 1")
	ErrFullBound = errors.New("allowance: the full bound must not be below the cold bound")
	ErrRamp      = errors.New("allowance: completions per step must be at least 1")
)

// Limits are what operators say that an endpoint bears.
type Limits struct {
	// Cold is how many requests it bears at once in cold start. It is at least
	// 1: without any work the endpoint would never be seen to be warm.
	Cold int
	// Full is how many requests it bears at once when warm.
	Full int
	// RampCompletions is how many whole answers raise the bound by one.
	RampCompletions int
}

func (l Limits) check() error {
	switch {
	case l.Cold < 1:
		return ErrColdBound
	case l.Full < l.Cold:
		return ErrFullBound
	case l.RampCompletions < 1:
		return ErrRamp
	default:
		return nil
	}
}

// Ticket stands for one admitted request. It remembers which cold start the
// request began in, and when it began.
type Ticket struct {
	epoch uint64
	began time.Time
}

// Cause says why an endpoint is taken to be cold.
type Cause int

// The causes of coldness.
const (
	// Unknown is the cause at the start: nothing has been seen.
	Unknown Cause = iota
	// Announced means that the endpoint said so or a restart was ordered.
	Announced
	// ConnectionLost means that it refused or reset connections after it had
	// been up.
	ConnectionLost
	// NewIncarnation means that it names another incarnation than before.
	NewIncarnation
	// SlowFirstTokens means that first tokens became slow all at once.
	SlowFirstTokens
)

// String returns the cause in camel case.
func (c Cause) String() string {
	return [...]string{"unknown", "announced", "connectionLost", "newIncarnation", "slowFirstTokens"}[c]
}

// State is a picture of an Allowance.
type State struct {
	bound   int
	full    int
	running int
	cause   Cause
	median  time.Duration
}

// Bound returns how many requests may run at once now.
func (s State) Bound() int { return s.bound }

// Full returns how many may run at once when warm.
func (s State) Full() int { return s.full }

// Running returns how many run.
func (s State) Running() int { return s.running }

// Cold says that the bound has not grown to the full one yet.
func (s State) Cold() bool { return s.bound < s.full }

// Cause returns why the endpoint was last taken to be cold.
func (s State) Cause() Cause { return s.cause }

// FirstToken returns the median time to the first token, zero when not known.
func (s State) FirstToken() time.Duration { return s.median }

// Allowance is one endpoint's bound and what runs under it. Its zero value
// admits nothing until Configure has been called.
//
// Lock order: mu only.
type Allowance struct {
	mu          sync.Mutex
	limits      Limits
	epoch       uint64
	completions int
	running     int
	inherited   inherited
	cause       Cause
	incarnation string
	// warmSince is when the bound last reached the full one.
	warmSince time.Time
	tokens    firstTokens
	pace      pace
}

// Configure sets the limits. It changes nothing of what has been learnt, so a
// preset switch neither warms nor cools an endpoint.
func (a *Allowance) Configure(l Limits) error {
	if err := l.check(); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = l
	return nil
}

// bound returns how many requests may run at once.
//
// Decision, for the load of many entries that all see an endpoint come back and
// send to it. Harm prevented: a cold endpoint that gets full load falls over,
// and is cold again when it is back. The bound is the cold bound plus one for
// each RampCompletions whole answers: a count of answers proves that caches and
// kernels have warmed, while elapsed time would also pass on an idle endpoint.
// It grows linearly, by one, because each step can at worst add one request
// more than the endpoint bears.
func (a *Allowance) bound() int {
	if a.limits.Full == 0 {
		return 0
	}
	return min(a.limits.Full, a.limits.Cold+a.completions/a.limits.RampCompletions)
}

// Admit takes a place for one request, or returns why there is none:
// EndpointCold while the bound still grows, else EndpointBusy, each with a time
// to come back. The place is held until Completed or Failed.
//
// Decision, for a burst of entries that each hold a lagging picture of the
// endpoint. Harm prevented: their sum exceeds what it bears. Checking and
// taking is one step here, and running work that began before the endpoint
// turned cold counts against the cold bound as well, because it still uses
// the endpoint.
func (a *Allowance) Admit(now time.Time) (Ticket, *result.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	bound := a.bound()
	if a.running+a.inherited.count(now) < bound {
		if a.running == 0 {
			a.pace.busy(now)
		}
		a.running++
		return Ticket{epoch: a.epoch, began: now}, nil
	}
	code := result.EndpointBusy
	if bound < a.limits.Full || bound == 0 {
		code = result.EndpointCold
	}
	after := a.pace.retryAfter(bound, now)
	return Ticket{}, result.Newf(code, "%d of %d running", a.running, bound).WithRetryAfter(after)
}

// Renew checks a ticket once more, immediately before its request is sent.
//
// Decision, for requests that were admitted while the endpoint was warm and
// wait for their claim or their connection when it turns cold. Harm prevented:
// they reach the cold endpoint together, more than it bears. A ticket of the
// present epoch holds; an older one only if all that runs fits under the bound
// of now. A refused ticket still has to be given back by Failed.
func (a *Allowance) Renew(t Ticket, now time.Time) (Ticket, *result.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	bound := a.bound()
	if t.epoch == a.epoch || a.running+a.inherited.count(now) <= bound {
		return Ticket{epoch: a.epoch, began: t.began}, nil
	}
	after := a.pace.retryAfter(bound, now)
	return Ticket{}, result.New(result.EndpointCold, "it turned cold before the request was sent").WithRetryAfter(after)
}

// FirstToken tells how long a streamed request took to its first token. Whole
// answers have no first token: their first bytes come after all of their work.
func (a *Allowance) FirstToken(t Ticket, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.epoch != a.epoch || a.bound() < a.limits.Full {
		return
	}
	if a.tokens.slow(d) {
		a.coldLocked(SlowFirstTokens)
	}
}

// Completed gives the place back after a whole answer.
//
// A request that began before the endpoint turned cold proves nothing about
// its warmth now, so only those of the present epoch let the bound grow.
func (a *Allowance) Completed(t Ticket, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endLocked()
	a.pace.ended(t.began, now)
	if t.epoch == a.epoch && a.bound() < a.limits.Full {
		a.completions++
		if a.bound() == a.limits.Full {
			a.warmSince = now
		}
	}
}

// Failed gives the place back after anything else than a whole answer.
func (a *Allowance) Failed(_ Ticket, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endLocked()
}

func (a *Allowance) endLocked() {
	if a.running > 0 {
		a.running--
	}
}

// Restarted drops the bound to the cold bound.
//
// Decision, for the moment in which a warm endpoint under full load turns cold
// without a word. Harm prevented: the load of the warm time fells it. The drop
// is at once and whole, because a wrong drop costs some places for some dozens
// of answers, and a missed one costs the endpoint.
func (a *Allowance) Restarted(cause Cause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coldLocked(cause)
}

func (a *Allowance) coldLocked(cause Cause) {
	a.epoch++
	a.completions = 0
	a.cause = cause
	a.tokens.reset()
}

// Incarnation tells which incarnation the endpoint has named, in a load report
// or an answer. An empty id says nothing. A change, in either direction, means
// that the endpoint was replaced or restarted: reports lag and may arrive out
// of order, and an older id seen late costs a needless cold start only.
func (a *Allowance) Incarnation(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id == "" || id == a.incarnation {
		return
	}
	if a.incarnation != "" {
		a.inherited.n = 0
		a.coldLocked(NewIncarnation)
	}
	a.incarnation = id
}

// Reported tells what a load report that was made at made says about coldness.
//
// Decision, for an engine that announces its coldness in reports that lag.
// Harm prevented: a warm engine loses its places again and again to old reports
// of its own cold start. So a report counts only when it was made after the
// bound had become the full one; while the bound grows it would add nothing. A
// report of warmth never counts: it may be older than the coldness.
func (a *Allowance) Reported(cold bool, made time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cold && a.bound() == a.limits.Full && made.After(a.warmSince) {
		a.coldLocked(Announced)
	}
}

// State returns the present picture.
func (a *Allowance) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		bound:   a.bound(),
		full:    a.limits.Full,
		running: a.running,
		cause:   a.cause,
		median:  a.tokens.median(),
	}
}
