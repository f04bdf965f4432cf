package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxAnswerBytes bounds the size of an answer that is buffered until it is complete.
const maxAnswerBytes = 8 << 20

// Whole is a complete buffered answer.
type Whole struct {
	Status int
	Header http.Header
	Body   []byte
}

var (
	errUnsigned          = errors.New("relay: a success without the endpoint's signature")
	errEncoded           = errors.New("relay: the body is encoded, which nobody asked for")
	errRequestIDMismatch = errors.New("relay: a success that doesn't name its request")
	errAnswerTooLarge    = errors.New("relay: the answer is too long")
	errEventOrder        = errors.New("relay: events are missing or out of order")
)

// attempt sends the request to one endpoint and forwards its answer.
func (j *job) attempt(ctx context.Context, p Place) Outcome {
	r := j.relay
	req := j.endpointRequest(p)
	a, err := r.Client.Do(ctx, p.Endpoint.Address, req)
	if err != nil {
		return j.lostOutcome(err)
	}
	defer a.Close()
	info := r.Dialect.ReadAnswer(a.Status, a.Header)
	if info.Cold > 0 {
		r.Belief.Turned(p.Endpoint.ID, info.Cold, r.Now())
	}
	if info.Wrong {
		r.Belief.Misdirected(p)
	} else {
		j.recordLimit(p, info)
	}
	if info.NotRun {
		_, _ = io.Copy(io.Discard, a)
		return NotRun{Sent: true, Code: notRunCode(info, a.Status)}
	}
	if err := j.checkAnswer(a, info); err != nil {
		return Unknown{Cause: err}
	}
	if j.route.Repeat == routing.Stream && a.Status == http.StatusOK {
		return j.forwardStream(ctx, p, a)
	}
	return j.forwardWhole(ctx, p, a)
}

// recordLimit records the request rate that the endpoint accepts according to its answer. An answer
// that has neither a limit nor the endpoint's signature says nothing about limits.
func (j *job) recordLimit(p Place, info Told) {
	if info.Limit < 0 && !info.Signed {
		return
	}
	now := j.relay.Now()
	if j.relay.Belief.Limited(p, info.Limit, now) {
		j.logLimit(p, info.Limit)
	}
}

// endpointRequest returns the caller's request as it is sent to the endpoint.
func (j *job) endpointRequest(p Place) *direct.Request {
	h := caller.EndToEnd(j.raw.Header)
	s := Stamp{Endpoint: p.Endpoint.ID, Left: j.deadline.Sub(j.relay.Now()), Urgency: j.urgency()}
	if j.account != nil {
		s.Account = j.account.Name
	}
	if j.headSent {
		s.Resume = formatEventID(j.lastEventID)
	}
	j.relay.Dialect.WriteRequest(h, s)
	return &direct.Request{
		Method: j.raw.Method, Target: j.raw.Target, Host: j.raw.Host, Header: h, Body: j.raw.Body,
		Mine:  j.isOwnAnswer,
		Fresh: !j.route.MayRepeat(),
	}
}

// isOwnAnswer reports whether an answer carries this request's ID, or none.
func (j *job) isOwnAnswer(h http.Header) bool {
	id := j.relay.Dialect.ReadAnswer(http.StatusOK, h).ID
	return id == "" || id == j.facts.ID
}

// maxUrgency is the least urgent value that endpoints accept.
const maxUrgency = 9

func (j *job) urgency() int {
	p := j.route.Priority
	if j.account != nil && j.account.Priority >= 0 {
		p = j.account.Priority
	}
	return min(max(p, 0), maxUrgency)
}

// lostOutcome returns the outcome of an exchange that failed before or while the answer arrived.
func (j *job) lostOutcome(err error) Outcome {
	switch {
	case direct.IsNotSent(err):
		return NotRun{Code: result.EndpointDown, Cause: err}
	case j.headSent:
		return j.brokenOutcome(err)
	case errors.Is(err, context.Canceled):
		return Gone{Cause: err}
	default:
		return Unknown{Cause: err}
	}
}

// brokenOutcome returns the outcome of a stream that failed after a part of it was forwarded.
func (j *job) brokenOutcome(err error) Outcome {
	if errors.Is(err, context.Canceled) {
		return Gone{Cause: err}
	}
	return Broken{Cause: err}
}

// notRunCode returns the result code for a request that an endpoint did not run.
func notRunCode(t Told, status int) result.Code {
	switch {
	case t.Wrong:
		return result.NoEndpoint
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return result.EndpointBusy
	default:
		return result.EndpointLeaving
	}
}

// checkAnswer rejects encoded bodies, and successes that are unsigned or answer another request.
func (j *job) checkAnswer(a *direct.Answer, t Told) error {
	switch {
	case a.Header.Get("Content-Encoding") != "":
		return errEncoded
	case a.Status/100 != 2:
		return nil
	case !t.Signed:
		return errUnsigned
	case t.ID != j.facts.ID:
		return errRequestIDMismatch
	}
	return nil
}

// forwardWhole reads the complete answer before it forwards any of it, so that the request can
// still be sent to another endpoint if the answer is cut off.
func (j *job) forwardWhole(ctx context.Context, p Place, a *direct.Answer) Outcome {
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	if err != nil {
		return j.readErrorOutcome(ctx, err)
	}
	now := j.relay.Now()
	j.relay.Belief.Heard(p, now)
	answer := &Whole{Status: a.Status, Header: caller.EndToEnd(a.Header), Body: body}
	if a.Status >= http.StatusInternalServerError {
		return Failed{Answer: answer}
	}
	j.firstPartAt = now
	if err := j.reply.AnswerRaw(answer.Status, answer.Header, body); err != nil {
		return Gone{Cause: err}
	}
	return Delivered{}
}

// readErrorOutcome returns the outcome of an answer that failed while it was read.
func (j *job) readErrorOutcome(ctx context.Context, err error) Outcome {
	if ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return j.lostOutcome(err)
}

// forwardStream forwards events as they arrive. The header is sent to the caller with the first
// event, so that another endpoint can take over if this one fails before that.
func (j *job) forwardStream(ctx context.Context, p Place, a *direct.Answer) Outcome {
	events := direct.NewEvents(a)
	for {
		ev, err := events.Next()
		if err == io.EOF {
			return j.endStream(a)
		}
		if err != nil {
			return j.readErrorOutcome(ctx, err)
		}
		if ev.HasID && ev.ID <= j.lastEventID {
			continue
		}
		if ev.HasID && ev.ID != j.lastEventID+1 {
			return j.readErrorOutcome(ctx, errEventOrder)
		}
		if err := j.forwardEvent(p, a, ev); err != nil {
			return Gone{Cause: err}
		}
	}
}

func (j *job) forwardEvent(p Place, a *direct.Answer, ev direct.Event) error {
	now := j.relay.Now()
	j.relay.Belief.Heard(p, now)
	if pause := now.Sub(j.lastPartAt); j.headSent && pause > j.longestPause {
		j.longestPause, j.pauseEndedAt = pause, now
	}
	j.lastPartAt = now
	if !j.headSent {
		j.headSent, j.firstPartAt = true, now
		if err := j.reply.BeginRaw(a.Status, caller.EndToEnd(a.Header)); err != nil {
			return err
		}
	}
	if ev.HasID {
		j.lastEventID = ev.ID
	}
	return j.reply.Piece(ev.Raw)
}

func (j *job) endStream(a *direct.Answer) Outcome {
	if !j.headSent {
		if err := j.reply.BeginRaw(a.Status, caller.EndToEnd(a.Header)); err != nil {
			return Gone{Cause: err}
		}
		j.headSent = true
	}
	if err := j.reply.End(); err != nil {
		return Gone{Cause: err}
	}
	return Delivered{}
}

// Sweep closes idle connections once a second until ctx ends.
func (r *Relay) Sweep(ctx context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			r.Client.Sweep(now)
		}
	}
}
