package agent

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxResumes is how often a broken stream is resumed at its engine before the
// answer counts as incomplete: once for a lost connection and once more for
// bad luck; an engine that breaks each time is failing.
const maxResumes = 2

// admit checks what only the agent knows and takes a place at the endpoint.
// Its refusals are true: nothing has left for the endpoint.
func (a *Agent) admit(req *peerpb.RunRequest, now time.Time) (allowance.Ticket, *result.Error) {
	var none allowance.Ticket
	if a.leaving.Load() {
		return none, result.New(result.EndpointLeaving, "").WithRetryAfter(leaveRetry)
	}
	if err := a.view.Load().check(req.GetRoute()); err != nil {
		return none, err
	}
	if req.GetBudgetMicros() <= 0 {
		return none, result.New(result.DeadlinePassed, "")
	}
	return a.allowance.Admit(now)
}

// work runs one attempt to its end. It goes on when the call that began it
// breaks, so that the answer can be fetched through another entry.
func (a *Agent) work(ctx context.Context, at *attempt, t allowance.Ticket) {
	a.tokens.Add(tokensOf(at.req))
	defer a.tokens.Add(-tokensOf(at.req))
	err := a.runOnceOrRepeatable(ctx, at, t)
	now := a.now()
	if err == nil {
		a.allowance.Complete(t, now)
		a.event(timeline.Answered, at.req, "", at.count(), now)
	} else {
		a.failed(at, t, err, now)
	}
	at.finish(endOf(err), now)
	a.changed()
}

// failed gives the place back and notes signs that the endpoint turned cold.
func (a *Agent) failed(at *attempt, t allowance.Ticket, err *result.Error, now time.Time) {
	a.allowance.Fail(t, now)
	a.event(timeline.Failed, at.req, err.Detail(), uint64(err.Code()), now)
	switch err.Code() {
	case result.EndpointDown, result.AnswerIncomplete:
		a.restarted(allowance.ConnectionLost, now)
	}
}

func tokensOf(req *peerpb.RunRequest) int64 {
	return int64(req.GetPromptTokens()) + int64(req.GetOutputTokens())
}

func (a *Agent) runOnceOrRepeatable(ctx context.Context, at *attempt, t allowance.Ticket) *result.Error {
	if at.req.GetRunOnce() {
		return a.runOnce(ctx, at, t)
	}
	return a.dispatch(ctx, at, t)
}

// dispatch sends the request to the endpoint and takes its answer in.
func (a *Agent) dispatch(ctx context.Context, at *attempt, t allowance.Ticket) *result.Error {
	now := a.now()
	t, cold := a.allowance.Revalidate(t, now)
	if cold != nil {
		return cold
	}
	a.event(timeline.Dispatched, at.req, "", uint64(at.req.GetAttempt()), now)
	at.setAccepted(&peerpb.Accepted{Endpoint: a.Settings.EndpointName, Incarnation: a.incarnation})
	call := a.callOf(at.req)
	s := &sink{agent: a, at: at, ticket: t, ctx: ctx, sent: now}
	err := a.client.Do(ctx, call, s.take)
	for range maxResumes {
		if !resumable(at, err) {
			break
		}
		now = a.now()
		at.noteFall(a.falls.note(now))
		// All streams of a restarted engine break at once. Its allowance has to
		// fall before the next request is admitted, not after this one is
		// given up.
		a.restarted(allowance.ConnectionLost, now)
		a.event(timeline.PieceLost, at.req, "resumed", at.count(), now)
		call.ResumeFrom = at.count()
		s.resumed = true
		err = a.client.Do(ctx, call, s.take)
	}
	if fellUnder(err) {
		now = a.now()
		at.noteFall(a.falls.note(now))
		// A falling endpoint drops the requests that it has just taken: their
		// outcome is unknown, and the next one must already find it cold.
		if result.CodeOf(err) == result.OutcomeUnknown {
			a.restarted(allowance.ConnectionLost, now)
		}
	}
	a.recordRest(err, a.now())
	return ranError(ctx, err)
}

// recordRest records that the endpoint turned a request away, with status 429, 502, 503 or
// 504, and for how long it wants no further one.
func (a *Agent) recordRest(err error, now time.Time) {
	e := result.Of(err)
	if e == nil || e.Code() != result.OutcomeUnknown || e.RetryAfter() <= 0 {
		return
	}
	a.allowance.Rest(e.RetryAfter(), now)
	a.Log.WithFields(logrus.Fields{
		"endpoint": a.Settings.EndpointName, "rest": e.RetryAfter().Milliseconds(), "cause": e.Detail(),
	}).Info("endpoint asks for a rest")
}

// resumable reports whether a stream broke off whose rest the engine may have.
func resumable(at *attempt, err error) bool {
	if err == nil || !at.req.GetStream() || at.count() == 0 {
		return false
	}
	return result.CodeOf(err) == result.AnswerIncomplete
}

// ranError turns the client's error into the attempt's.
func ranError(ctx context.Context, err error) *result.Error {
	if err == nil {
		return nil
	}
	if e := result.Of(err); e != nil {
		return e
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, "")
	}
	if ctx.Err() != nil {
		return result.New(result.Cancelled, "")
	}
	return result.New(result.OutcomeUnknown, err.Error())
}

// callOf returns the call to the endpoint. The account is part of the id,
// because request ids are chosen by callers and two may choose the same.
func (a *Agent) callOf(req *peerpb.RunRequest) endpoint.Call {
	return endpoint.Call{
		RequestID:      wireID(req),
		Attempt:        req.GetAttempt(),
		Method:         req.GetMethod(),
		Path:           req.GetPath(),
		ContentType:    req.GetContentType(),
		Body:           req.GetBody(),
		Stream:         req.GetStream(),
		Priority:       int(req.GetPriority()),
		IdempotencyKey: req.GetIdempotencyKey(),
	}
}

func wireID(req *peerpb.RunRequest) string {
	return req.GetRequestId() + "." + strconv.FormatUint(xxhash.Sum64String(req.GetAccount()), 36)
}

// sink takes an answer's parts into an attempt.
type sink struct {
	agent  *Agent
	at     *attempt
	ticket allowance.Ticket
	ctx    context.Context
	sent   time.Time
	begun  bool
	// resumed says that the answer goes on where an earlier call broke off.
	resumed bool
}

func (s *sink) take(e endpoint.Event) error {
	switch e := e.(type) {
	case endpoint.Head:
		return s.head(e)
	case endpoint.Piece:
		s.firstPiece()
		return s.at.add(s.ctx, append([]byte(nil), e.Data...))
	}
	return nil
}

// head takes the start of an answer. An engine that restarted since does not
// know the stream that is resumed and says so with an error of its own, which
// would follow the first pieces as if it were the rest of the answer.
func (s *sink) head(h endpoint.Head) error {
	s.agent.allowance.SetIncarnation(h.Incarnation)
	if s.resumed {
		if h.Status != http.StatusOK {
			return result.Newf(result.AnswerIncomplete, "the stream can't be resumed: status %d", h.Status)
		}
		return nil
	}
	s.at.setHead(&peerpb.Head{Status: int32(h.Status), ContentType: h.ContentType})
	return nil
}

func (s *sink) firstPiece() {
	if s.begun {
		return
	}
	s.begun = true
	now := s.agent.now()
	// The first piece of an answer that is not streamed comes after all of its
	// work: next to first tokens it would look like a cold endpoint.
	if s.at.req.GetStream() {
		s.agent.allowance.ObserveTTFT(s.ticket, now.Sub(s.sent))
	}
	s.agent.event(timeline.FirstPiece, s.at.req, "", 0, now)
}
