package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// BufferedAnswer is a complete buffered answer.
type BufferedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

var (
	errUnsigned          = errors.New("relay: a success without the endpoint's signature")
	errEncoded           = errors.New("relay: the body is encoded, which nobody asked for")
	errRequestIDMismatch = errors.New("relay: a success that doesn't name its request")
	errEventOrder        = errors.New("relay: events are missing or out of order")
	errShorterStream     = errors.New("relay: the stream begins anew and ends before what the caller has")
)

// attempt sends the request to one endpoint and forwards its answer. from is the move with which the
// request was sent already, or nil.
func (j *job) attempt(ctx context.Context, assigned Assignment, from *handover) Outcome {
	j.answerBegan, j.beforeFirst, j.attemptEventID, j.exchange = false, nil, 0, direct.Exchange{}
	head := j.head(ctx, assigned, from)
	defer head.close()
	switch {
	case head.outcome != nil:
		return head.outcome
	case head.hasEvents():
		return j.forwardStream(ctx, assigned, head)
	default:
		return j.forwardWhole(ctx, assigned, head.resp)
	}
}

// answerHead is the head of an endpoint's answer and how the answer may be forwarded. outcome is set if
// no part of it may be. events reads the events, or is nil if none has been read.
type answerHead struct {
	resp    *direct.Response
	events  *direct.EventReader
	use     AnswerUse
	outcome Outcome
}

// hasEvents reports whether the events of the answer may be forwarded.
func (a answerHead) hasEvents() bool { return a.outcome == nil && a.use == ForwardEvents }

// close gives the connection of the answer back, if there is an answer.
func (a answerHead) close() {
	if a.resp != nil {
		a.resp.Close()
	}
}

// discard reads the body of an answer of which no part may be forwarded, for the sake of its connection
// alone, and returns the head with why it could not be read, if it could not.
func (a answerHead) discard() answerHead {
	switch o := a.outcome.(type) {
	case NotRun:
		if o.Sent {
			o.Cause = a.resp.Discard()
		}
		a.outcome = o
	case Unusable:
		o.Cause = a.resp.Discard()
		a.outcome = o
	}
	return a
}

// head returns the head of the answer to the request, which it sends unless the move from has done so.
func (j *job) head(ctx context.Context, assigned Assignment, from *handover) answerHead {
	if from == nil {
		return j.ask(ctx, assigned, j.position, &j.exchange).discard()
	}
	<-from.answered
	j.exchange = from.exchange
	return from.head
}

// ask sends the request to one endpoint and reads the head of its answer. p is what the caller has
// received. It may run beside another attempt of the request.
func (j *job) ask(ctx context.Context, assigned Assignment, p position, x *direct.Exchange) answerHead {
	r := j.relay
	resp, err := r.Client.Do(ctx, assigned.Endpoint.Address, j.endpointRequest(assigned, p, x))
	if err != nil {
		return answerHead{outcome: lostOutcome(p.progress, err)}
	}
	info := r.HeaderCodec.ReadAnswer(resp.Status, resp.Header)
	if info.Cold > 0 {
		r.State.SetCold(assigned.Endpoint.ID, info.Cold, r.Now())
	}
	if info.Misdirected {
		r.State.Misdirected(assigned)
	} else {
		j.recordLimit(assigned, info)
		j.recordAvailability(assigned, info)
	}
	if info.NotRun {
		// The head has said so, whatever the body contains.
		return answerHead{resp: resp, outcome: NotRun{Sent: true, Code: notRunCode(info, resp.Status)}}
	}
	if err := j.checkAnswer(resp, info); err != nil {
		return answerHead{resp: resp, outcome: Unknown{Cause: err}}
	}
	sameType := sameMediaType(resp.Header.Get("Content-Type"), p.contentType)
	use := UseOf(p.progress, j.isStreamed(), resp.Status, sameType)
	if use == ForwardNothing {
		j.recordPart(assigned, resp.Status/100 == 2, r.Now())
		return answerHead{resp: resp, outcome: Unusable{Status: resp.Status}}
	}
	return answerHead{resp: resp, use: use}
}

// isStreamed reports whether the request asks for a stream. The answer to HEAD has no events.
func (j *job) isStreamed() bool {
	return j.route.RetrySemantics == routing.Stream && j.raw.Method != http.MethodHead
}

// recordLimit records the request rate that the endpoint accepts according to its answer. An answer
// that has neither a limit nor the endpoint's signature says nothing about limits.
func (j *job) recordLimit(assigned Assignment, info AnswerInfo) {
	if info.Limit < 0 && !info.Signed {
		return
	}
	now := j.relay.Now()
	if j.relay.State.RecordLimit(assigned, info.Limit, now) {
		j.logLimit(assigned, info.Limit)
	}
}

// recordAvailability records what an answer says about whether its endpoint accepts further
// requests. It is called before any part of the answer is forwarded.
func (j *job) recordAvailability(assigned Assignment, info AnswerInfo) {
	j.logAvailability(assigned, info)
	now := j.relay.Now()
	if info.Leaving {
		j.relay.State.RecordLeaving(assigned, now)
	}
	j.relay.State.RecordRest(assigned, info.Rest, now)
}

// endpointRequest returns the caller's request as it is sent to the endpoint. p is what the caller has
// received. The exchange is described in x.
func (j *job) endpointRequest(assigned Assignment, p position, x *direct.Exchange) *direct.Request {
	h := caller.EndToEndHeaders(j.raw.Header)
	info := EndpointInfo{Endpoint: assigned.Endpoint.ID, TimeLeft: j.deadline.Sub(j.relay.Now()), Urgency: j.urgency()}
	if j.account != nil {
		info.Account = j.account.Name
	}
	if p.progress == PartSent {
		info.Resume = formatEventID(p.lastEventID)
	}
	j.relay.HeaderCodec.WriteRequest(h, info)
	return &direct.Request{
		Method: j.raw.Method, Target: j.raw.Target, Host: j.raw.Host, Header: h, Body: j.raw.Body,
		ID:            j.requestInfo.ID,
		ResponseID:    j.relay.answerID,
		AvoidExpiring: !j.route.MayRetry(),
		Exchange:      x,
	}
}

// answerID returns the ID of the request that an answer names, or "" if it names none.
func (r *Relay) answerID(h http.Header) string {
	return r.HeaderCodec.ReadAnswer(http.StatusOK, h).ID
}

// class returns the request's class by the configuration with which it arrived.
func (j *job) class() routing.Class {
	return j.table.Class(j.service.Name, j.route, j.account)
}

// urgency returns the urgency for the endpoint. For a service with classes it is the class, so that
// endpoints and the queue order requests alike.
func (j *job) urgency() int {
	if j.table.HasClasses(j.service.Name) {
		return int(j.class())
	}
	return min(routing.PriorityInForce(j.route, j.account), int(routing.MaxClass))
}

// lostOutcome returns the outcome of an exchange that failed before its answer was complete. p is what
// the caller has received.
func lostOutcome(p Progress, err error) Outcome {
	switch {
	case direct.IsNotSent(err):
		return NotRun{Code: result.EndpointDown, Cause: err}
	case errors.Is(err, context.Canceled):
		return Disconnected{Cause: err}
	case p == PartSent:
		return Interrupted{Cause: err}
	default:
		return Unknown{Cause: err}
	}
}

// notRunCode returns the result code for a request that an endpoint did not run.
func notRunCode(info AnswerInfo, status int) result.Code {
	switch {
	case info.Misdirected:
		return result.NoEndpoint
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return result.EndpointBusy
	default:
		return result.EndpointLeaving
	}
}

// checkAnswer rejects encoded bodies, and successes that are unsigned or answer another request.
func (j *job) checkAnswer(resp *direct.Response, info AnswerInfo) error {
	switch {
	case resp.Header.Get("Content-Encoding") != "":
		return errEncoded
	case resp.Status/100 != 2:
		return nil
	case !info.Signed:
		return errUnsigned
	case info.ID != j.requestInfo.ID:
		return errRequestIDMismatch
	}
	return nil
}

// CloseIdleConns closes the idle connections that have expired, once a second until ctx ends.
func (r *Relay) CloseIdleConns(ctx context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			r.Client.CloseExpired(now)
		}
	}
}
