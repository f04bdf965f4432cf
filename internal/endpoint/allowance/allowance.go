package allowance

import (
	"errors"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Errors returned by Configure.
var (
	ErrColdLimit       = errors.New("allowance: cold-start concurrency must be at least 1")
	ErrFullLimit       = errors.New("allowance: full concurrency must not be below cold-start concurrency")
	ErrRampCompletions = errors.New("allowance: completions per ramp step must be at least 1")
)

// Limits are the configured concurrency limits of an endpoint.
type Limits struct {
	// Cold is the limit at the beginning of a cold start. It is at least 1:
	// without completed requests the limit would never grow.
	Cold int
	// Full is the limit of a warm endpoint.
	Full int
	// RampCompletions is the number of completed requests that raise the limit
	// by one.
	RampCompletions int
}

func (l Limits) validate() error {
	switch {
	case l.Cold < 1:
		return ErrColdLimit
	case l.Full < l.Cold:
		return ErrFullLimit
	case l.RampCompletions < 1:
		return ErrRampCompletions
	default:
		return nil
	}
}

// Ticket represents an admitted request. It records the time of admission and
// the number of the cold start (the epoch) in which the request was admitted.
type Ticket struct {
	epoch      uint64
	admittedAt time.Time
}

// ColdStartCause is the reason for which an endpoint is considered cold.
type ColdStartCause int

// Causes of a cold start.
const (
	// Unknown is the initial cause: nothing is known about the endpoint yet.
	Unknown ColdStartCause = iota
	// Announced means that the endpoint reported that it is cold, or that a
	// restart was ordered.
	Announced
	// ConnectionLost means that the endpoint refused or reset connections after
	// it had accepted some.
	ConnectionLost
	// NewIncarnation means that the endpoint reported another incarnation than
	// before.
	NewIncarnation
	// SlowFirstTokens means that the time to first token rose suddenly.
	SlowFirstTokens
)

// String returns the name of the cause in camel case.
func (c ColdStartCause) String() string {
	return [...]string{"unknown", "announced", "connectionLost", "newIncarnation", "slowFirstTokens"}[c]
}

// State is a snapshot of an Allowance.
type State struct {
	limit   int
	full    int
	running int
	cause   ColdStartCause
	median  time.Duration
}

// Limit returns the current concurrency limit.
func (s State) Limit() int { return s.limit }

// Full returns the concurrency limit of the warm endpoint.
func (s State) Full() int { return s.full }

// Running returns the number of admitted requests that have not ended.
func (s State) Running() int { return s.running }

// Cold reports whether the limit is still below the full one.
func (s State) Cold() bool { return s.limit < s.full }

// Cause returns the cause of the latest cold start.
func (s State) Cause() ColdStartCause { return s.cause }

// MedianTTFT returns the median time to first token, or zero if it is unknown.
func (s State) MedianTTFT() time.Duration { return s.median }

// Allowance is the concurrency limiter of one endpoint. Its zero value admits
// nothing until Configure has been called. While it holds mu it takes no other
// lock.
type Allowance struct {
	mu          sync.Mutex
	limits      Limits
	epoch       uint64
	completions int
	running     int
	inherited   inherited
	cause       ColdStartCause
	incarnation string
	// warmSince is when the limit last reached limits.Full.
	warmSince time.Time
	ttft      ttftDetector
	retries   retryScheduler
	// restUntil is until when the endpoint wants no requests.
	restUntil time.Time
}

// Configure sets the limits. It returns ErrColdLimit, ErrFullLimit or
// ErrRampCompletions if they are invalid. It keeps the count of completed requests,
// so a preset switch doesn't reset the limit to the cold one. If it raises
// limits.Full, further completed requests raise the limit to it.
func (a *Allowance) Configure(l Limits) error {
	if err := l.validate(); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = l
	return nil
}

// limit returns the current concurrency limit: limits.Cold, plus one for each
// limits.RampCompletions requests completed in the present epoch, up to
// limits.Full. a.mu must be held.
//
// When an endpoint comes back, all entries see it and send requests to it; with
// full load a cold endpoint crashes and is cold again after its restart. Completed
// requests show that caches and kernels have warmed up, whereas elapsed time also
// passes on an idle endpoint. The limit grows by one at a time, so that a step
// exceeds the endpoint's capacity by at most one request.
func (a *Allowance) limit() int {
	if a.limits.Full == 0 {
		return 0
	}
	return min(a.limits.Full, a.limits.Cold+a.completions/a.limits.RampCompletions)
}

// Admit reserves a slot for a request. While the endpoint rests or without a free
// slot it returns an error with a retry delay: EndpointCold before Configure has been
// called and while the limit is below the full one, else EndpointBusy. The slot is
// held until Complete or Fail is called with the ticket.
//
// Entries that act on outdated load reports can together send more than the
// endpoint can run, so the check and the reservation are one atomic step.
// Requests that started before a cold start count against the cold limit as well,
// because they still use the endpoint.
func (a *Allowance) Admit(now time.Time) (Ticket, *result.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.restErrorLocked(now); e != nil {
		return Ticket{}, e
	}
	limit := a.limit()
	if a.running+a.inherited.count(now) < limit {
		if a.running == 0 {
			a.retries.becameBusy(now)
		}
		a.running++
		return Ticket{epoch: a.epoch, admittedAt: now}, nil
	}
	code := result.EndpointBusy
	if limit < a.limits.Full || limit == 0 {
		code = result.EndpointCold
	}
	delay := a.retries.retryAfter(limit, now)
	return Ticket{}, result.Newf(code, "%d of %d running", a.running, limit).WithRetryAfter(delay)
}

// Revalidate checks a ticket again immediately before its request is sent.
//
// Requests that were admitted to a warm endpoint may still wait for a claim or a
// connection when it restarts; sent together they would exceed what the cold
// endpoint can run. A ticket of the present epoch stays valid. An older ticket is
// revalidated only if all running requests fit under the current limit, otherwise
// Revalidate returns EndpointCold. While the endpoint rests, it returns EndpointBusy. A
// rejected ticket must still be released by Fail.
func (a *Allowance) Revalidate(t Ticket, now time.Time) (Ticket, *result.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.restErrorLocked(now); e != nil {
		return Ticket{}, e
	}
	limit := a.limit()
	if t.epoch == a.epoch || a.running+a.inherited.count(now) <= limit {
		return Ticket{epoch: a.epoch, admittedAt: t.admittedAt}, nil
	}
	delay := a.retries.retryAfter(limit, now)
	return Ticket{}, result.New(result.EndpointCold, "it turned cold before the request was sent").WithRetryAfter(delay)
}

// Rest records that the endpoint wants no requests for the duration d from now on. A
// shorter rest does not end a longer one; a new incarnation does.
//
// An overloaded endpoint that refuses requests has free slots, so requests would
// go on reaching it.
func (a *Allowance) Rest(d time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := now.Add(d); until.After(a.restUntil) {
		a.restUntil = until
	}
}

// restErrorLocked returns the error for a request while the endpoint rests, or nil.
func (a *Allowance) restErrorLocked(now time.Time) *result.Error {
	left := a.restUntil.Sub(now)
	if left <= 0 {
		return nil
	}
	return result.New(result.EndpointBusy, "the endpoint asked for a rest").WithRetryAfter(left)
}

// ObserveTTFT records the time to first token of a streamed request, and starts a
// cold start if the times have risen suddenly. It must not be called for responses
// that aren't streamed: their first byte arrives after all of the work.
func (a *Allowance) ObserveTTFT(t Ticket, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.epoch != a.epoch || a.limit() < a.limits.Full {
		return
	}
	if a.ttft.slow(d) {
		a.resetToColdLocked(SlowFirstTokens)
	}
}

// Complete releases the slot of a request whose response is complete.
//
// A request that was admitted before the present cold start doesn't show that the
// endpoint is warm, so only requests of the present epoch raise the limit.
func (a *Allowance) Complete(t Ticket, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseLocked()
	a.retries.completed(t.admittedAt, now)
	if t.epoch == a.epoch && a.limit() < a.limits.Full {
		a.completions++
		if a.limit() == a.limits.Full {
			a.warmSince = now
		}
	}
}

// Fail releases the slot of a request that ended without a complete response.
func (a *Allowance) Fail(_ Ticket, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseLocked()
}

func (a *Allowance) releaseLocked() {
	if a.running > 0 {
		a.running--
	}
}

// ResetToCold resets the limit to the cold one.
//
// A warm endpoint that turns cold under full load crashes if the load continues.
// The reset is therefore immediate and complete: a wrong one costs capacity until
// some dozens of requests have completed, a missing one costs the endpoint.
func (a *Allowance) ResetToCold(cause ColdStartCause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetToColdLocked(cause)
}

func (a *Allowance) resetToColdLocked(cause ColdStartCause) {
	a.epoch++
	a.completions = 0
	a.cause = cause
	a.ttft.reset()
}

// SetIncarnation records the incarnation that the endpoint named in a load report
// or a response header. An empty id is ignored. Any change means that the endpoint
// was replaced or restarted and starts a cold start. As reports lag and may arrive
// out of order, this includes a change back to an older id, which costs at most an
// unnecessary cold start.
func (a *Allowance) SetIncarnation(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id == "" || id == a.incarnation {
		return
	}
	if a.incarnation != "" {
		a.inherited.n = 0
		a.restUntil = time.Time{}
		a.resetToColdLocked(NewIncarnation)
	}
	a.incarnation = id
}

// ReportCold records whether the endpoint was cold according to a load report that
// was made at the given time.
//
// Reports lag, and reports from an engine's cold start must not reset its limit
// after it has warmed up. So a report of a cold endpoint counts only if it was made
// after the limit reached the full one; while the limit grows it adds no
// information. A report of a warm endpoint never counts, as it may be older than
// the cold start.
func (a *Allowance) ReportCold(cold bool, made time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cold && a.limit() == a.limits.Full && made.After(a.warmSince) {
		a.resetToColdLocked(Announced)
	}
}

// State returns a snapshot of the allowance.
func (a *Allowance) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		limit:   a.limit(),
		full:    a.limits.Full,
		running: a.running,
		cause:   a.cause,
		median:  a.ttft.median(),
	}
}
