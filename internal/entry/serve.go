package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// errAgentSilent ends attempts at an agent that has sent nothing for a while.
var errAgentSilent = eris.New("agent is silent")

// defaultOutputTokens is assumed where a chat names no limit.
const defaultOutputTokens = 256

// task is one request and what has become of it so far.
type task struct {
	*job
	request  *caller.Request
	account  string
	route    preset.Route
	priority int
	// outputTokens is how many tokens the answer is expected to have at most.
	outputTokens int
	// path is the path at the endpoint.
	path     string
	runOnce  bool
	deadline time.Time
	began    time.Time
	attempts uint32
	relay    *relay
	// serial names the present attempt at its agent, zero before it is known.
	serial uint64
	// fingerprint identifies the work that the request asks for, and falls are the numbers of the
	// endpoint's falls under the present attempt.
	fingerprint string
	falls       []uint64
	// mayHaveRun is the last attempt's error that does not mean not run.
	mayHaveRun *result.Error
}

// Ready implements caller.Handler.
func (e *Entry) Ready() error {
	if e.view.Load() == nil {
		return result.New(result.NoPreset, "").WithRetryAfter(absentRetry)
	}
	if e.Endpoints() == 0 {
		return result.New(result.NoEndpoint, "").WithRetryAfter(absentRetry)
	}
	return nil
}

// Serve implements caller.Handler.
func (e *Entry) Serve(ctx context.Context, r *caller.Request, w *caller.Reply) {
	now := e.now()
	v := e.view.Load()
	if v == nil {
		w.Fail(result.New(result.NoPreset, "").WithRetryAfter(absentRetry))
		return
	}
	account, ok := v.preset.AccountByKey(r.AccountKey())
	if !ok {
		e.refused(r, result.New(result.BadAccountKey, ""), w, now)
		return
	}
	if f, ok := r.Kind().(caller.Fetch); ok {
		e.fetch(ctx, r, f, account.Name(), w)
		return
	}
	t, err := e.newTask(r, v, account, w, now)
	if err != nil {
		e.refused(r, err, w, now)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	w.SetContext(ctx)
	e.run(ctx, t)
}

func (e *Entry) refused(r *caller.Request, err *result.Error, w *caller.Reply, now time.Time) {
	e.ring.Add(timeline.Refused, r.ID(), "", err.Detail(), uint64(err.Code()), now)
	e.counters.result(err.Code())
	w.Fail(err)
}

// newTask reads what the preset says about the request.
func (e *Entry) newTask(r *caller.Request, v *view, a preset.Account, w *caller.Reply, now time.Time) (*task, *result.Error) {
	route, ok := v.preset.Route(r.Route())
	if !ok {
		return nil, result.Newf(result.UnknownRoute, "%q", r.Route())
	}
	t := &task{request: r, account: a.Name(), route: route, runOnce: runsOnce(r, route), relay: &relay{w: w}}
	if t.runOnce && r.IdempotencyKey() == "" {
		return nil, result.New(result.KeyMissing, "")
	}
	if err := t.fit(); err != nil {
		return nil, err
	}
	if t.relay.stream {
		if err := w.CheckStreamable(); err != nil {
			return nil, err
		}
	}
	worth, err := t.prioritise(v, a)
	if err != nil {
		return nil, err
	}
	t.fingerprint = fingerprintOf(t.account, r)
	if err := e.fatal.check(t.account, t.fingerprint, now); err != nil {
		return nil, err
	}
	timeout := r.Timeout()
	if timeout == 0 {
		timeout = route.DefaultDeadline()
	}
	t.deadline = now.Add(timeout)
	t.job = e.newJob(t, worth)
	return t, nil
}

// fit checks that what is asked for is what the route gives. A chat must not
// reach a plain service that happens to have the model's name.
func (t *task) fit() *result.Error {
	switch k := t.request.Kind().(type) {
	case caller.Chat:
		m, ok := t.route.(preset.Model)
		if !ok {
			return result.Newf(result.UnknownRoute, "%q is no model", t.route.Name())
		}
		if k.OutputTokens() > m.MaxOutputTokens() {
			return result.Newf(result.MalformedRequest, "max_tokens: at most %d are allowed", m.MaxOutputTokens())
		}
		t.outputTokens = k.OutputTokens()
		if t.outputTokens == 0 {
			t.outputTokens = min(defaultOutputTokens, m.MaxOutputTokens())
		}
		t.relay.stream = k.Stream()
		t.path = t.request.Path()
	case caller.ServiceCall:
		s, ok := t.route.(preset.Service)
		if !ok {
			return result.Newf(result.UnknownRoute, "%q is no service", t.route.Name())
		}
		t.path = strings.TrimSuffix(s.Path(), "/") + t.request.Path()
	}
	return nil
}

// prioritise reads the request's priority and returns its worth.
func (t *task) prioritise(v *view, a preset.Account) (float64, *result.Error) {
	name := t.request.Priority()
	if name == "" {
		return a.Worth(), nil
	}
	p, ok := v.preset.Priority(name)
	if !ok {
		return 0, result.Newf(result.BadHeader, "the preset has no priority %q", name)
	}
	t.priority = p.Value()
	return a.Worth() * p.Worth(), nil
}

// newJob returns what the scheduler decides by.
func (e *Entry) newJob(t *task, worth float64) *job {
	query := placement.Query{Route: t.route.Name(), Tokens: t.request.PromptTokens(), RunOnce: t.runOnce}
	if c, ok := t.request.Kind().(caller.Chat); ok {
		query.Tokens += t.outputTokens
		query.Prefix = c.PrefixHash()
	}
	id := t.request.ID() + "#" + strconv.FormatUint(e.sequence.Add(1), 36)
	return &job{
		id:      id,
		query:   query,
		verdict: make(chan *result.Error, 1),
		request: admission.Request{
			ID:              id,
			Account:         t.account,
			Route:           t.route.Name(),
			Worth:           worth,
			Priority:        t.priority,
			Deadline:        t.deadline,
			ExpectedRunTime: e.pace.expected(t.route.Name(), query.Tokens),
			RunOnce:         t.runOnce,
			Tokens:          query.Tokens,
		},
	}
}

// runsOnce reports whether a request may not be repeated. Reading changes
// nothing, whatever the service.
func runsOnce(r *caller.Request, route preset.Route) bool {
	if route.Repeatable() {
		return false
	}
	return r.Method() != http.MethodGet && r.Method() != http.MethodHead
}

// run takes a request from its arrival to its final answer.
func (e *Entry) run(ctx context.Context, t *task) {
	now := e.now()
	e.ring.Add(timeline.Admitted, t.request.ID(), "", t.route.Name(), 0, now)
	e.scheduler.submit(t.job, now)
	err := e.attemptAll(ctx, t)
	now = e.now()
	e.scheduler.done(t.job, now)
	if err == nil {
		e.pace.ended(t.route.Name(), t.query.Tokens, now.Sub(t.began))
		e.counters.result(result.OK)
		e.ring.Add(timeline.Answered, t.request.ID(), t.choice.Endpoint, "", uint64(t.attempts), now)
		return
	}
	e.ring.Add(timeline.Failed, t.request.ID(), t.choice.Endpoint, err.Detail(), uint64(err.Code()), now)
	e.counters.result(err.Code())
	t.relay.w.Fail(err)
}

// attemptAll makes attempts until one gives the whole answer or none may
// follow.
func (e *Entry) attemptAll(ctx context.Context, t *task) *result.Error {
	for {
		if err := e.await(ctx, t); err != nil {
			return t.final(err)
		}
		t.attempts++
		t.began = e.now()
		e.ring.Add(timeline.Placed, t.request.ID(), t.choice.Endpoint, "", uint64(t.attempts), t.began)
		t.falls = nil
		err := e.attempt(ctx, t)
		if err == nil {
			e.fatal.answered(t.fingerprint, e.now())
			return nil
		}
		refused := e.noteFalls(t)
		if refused != nil || !e.mayRetry(ctx, t, err) {
			return t.final(err)
		}
		t.note(err)
		now := e.now()
		e.ring.Add(timeline.Retried, t.request.ID(), t.choice.Endpoint, err.Detail(), uint64(err.Code()), now)
		e.counters.retries.Inc(1)
		t.relay.reset()
		if err.Code().Effect() == result.NotRun {
			e.scheduler.refused(t.job, err.RetryAfter(), now)
		} else {
			e.scheduler.retry(t.job, now)
		}
	}
}

// note remembers an attempt that may have run its request.
func (t *task) note(err *result.Error) {
	if err.Code().Effect() != result.NotRun {
		t.mayHaveRun = err
	}
}

// final returns what the caller is told when the last attempt, or the wait for
// it, ended with err.
//
// Guard: an agent is lost in the middle of a print order, and the next one
// refuses the order truly, because the platform's service is down. "Not run"
// would be true of that attempt and false of the request; the clerk would print
// the catalogue again under another key. What is known of the request is what
// is known of all its attempts, so the earlier one's result stands.
func (t *task) final(err *result.Error) *result.Error {
	if err == nil || t.mayHaveRun == nil || err.Code().Effect() != result.NotRun {
		return err
	}
	earlier := t.mayHaveRun
	detail := "an attempt before the last may have run; the last: " + err.Code().String()
	return result.New(earlier.Code(), detail).WithRetryAfter(err.RetryAfter())
}

// await returns when the request has a place, or with its final answer.
func (e *Entry) await(ctx context.Context, t *task) *result.Error {
	select {
	case err := <-t.verdict:
		return err
	case <-ctx.Done():
	}
	switch {
	case caller.IsStopping(ctx):
		return shuttingDown()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlinePassed, "")
	default:
		return result.New(result.Cancelled, "")
	}
}

// shuttingDown returns the refusal of a process that stops.
func shuttingDown() *result.Error {
	return result.New(result.ShuttingDown, "").WithRetryAfter(absentRetry)
}

// mayRetry reports whether another attempt may follow one that ended with err.
// What was not run may always be tried again. What may have been run may only
// be tried again when it is repeatable and the caller has seen none of it. A
// request that may run only once is asked for again under its claim: whoever
// runs it next finds the claim of the earlier attempt, so that it joins that
// one, or learns that its outcome is not known.
func (e *Entry) mayRetry(ctx context.Context, t *task, err *result.Error) bool {
	if ctx.Err() != nil || t.relay.begun() {
		return false
	}
	switch err.Code() {
	case result.MalformedRequest, result.KeyReused, result.RequestIDReused, result.PlatformDown,
		result.DeadlinePassed, result.DeadlineExceeded, result.Cancelled:
		return false
	case result.EndpointFailed:
		return !t.runOnce
	}
	if err.Code().Effect() == result.NotRun || !t.runOnce {
		return true
	}
	return errors.Is(err, errLostAgent) && t.attempts <= maxClaimAsks
}

// attempt runs the request once at the chosen endpoint.
func (e *Entry) attempt(ctx context.Context, t *task) *result.Error {
	addr, ok := e.directory.agent(t.choice.Endpoint)
	if !ok {
		return result.New(result.EndpointDown, "the agent has left")
	}
	t.serial = 0
	return e.call(ctx, t, addr)
}

// runRequest returns the message for the task's present attempt.
func (e *Entry) runRequest(t *task, now time.Time) *peerpb.RunRequest {
	r := t.request
	m := &peerpb.RunRequest{
		Hlc:            uint64(e.clock.Next(now)),
		RequestId:      r.ID(),
		Attempt:        t.attempts,
		Account:        t.account,
		Route:          t.route.Name(),
		Method:         r.Method(),
		Path:           t.path,
		ContentType:    r.ContentType(),
		Body:           r.Body(),
		Priority:       int32(t.priority),
		BudgetMicros:   t.deadline.Sub(now).Microseconds(),
		RunOnce:        t.runOnce,
		IdempotencyKey: r.IdempotencyKey(),
		PromptTokens:   uint32(r.PromptTokens()),
		Generation:     e.store.Current().Head().Generation(),
	}
	if c, ok := r.Kind().(caller.Chat); ok {
		m.Stream = c.Stream()
		m.OutputTokens = uint32(t.outputTokens)
		m.PrefixHash = c.PrefixHash()
	}
	return m
}
