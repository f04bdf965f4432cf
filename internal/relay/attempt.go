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
)

// attempt sends the request to one endpoint and forwards its answer.
func (j *job) attempt(ctx context.Context, assigned Assignment) Outcome {
	r := j.relay
	j.answerBegan, j.beforeFirst, j.exchange = false, nil, direct.Exchange{}
	req := j.endpointRequest(assigned)
	resp, err := r.Client.Do(ctx, assigned.Endpoint.Address, req)
	if err != nil {
		return j.lostOutcome(err)
	}
	defer resp.Close()
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
		return NotRun{Sent: true, Code: notRunCode(info, resp.Status), Cause: resp.Discard()}
	}
	if err := j.checkAnswer(resp, info); err != nil {
		return Unknown{Cause: err}
	}
	if j.route.RetrySemantics == routing.Stream && resp.Status == http.StatusOK {
		return j.forwardStream(ctx, assigned, resp)
	}
	return j.forwardBuffered(ctx, assigned, resp)
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

// endpointRequest returns the caller's request as it is sent to the endpoint.
func (j *job) endpointRequest(assigned Assignment) *direct.Request {
	h := caller.EndToEndHeaders(j.raw.Header)
	info := EndpointInfo{Endpoint: assigned.Endpoint.ID, TimeLeft: j.deadline.Sub(j.relay.Now()), Urgency: j.urgency()}
	if j.account != nil {
		info.Account = j.account.Name
	}
	if j.headerSent {
		info.Resume = formatEventID(j.lastEventID)
	}
	j.relay.HeaderCodec.WriteRequest(h, info)
	return &direct.Request{
		Method: j.raw.Method, Target: j.raw.Target, Host: j.raw.Host, Header: h, Body: j.raw.Body,
		Matches:       j.isOwnAnswer,
		AvoidExpiring: !j.route.MayRetry(),
		Exchange:      &j.exchange,
	}
}

// isOwnAnswer reports whether an answer carries this request's ID, or none.
func (j *job) isOwnAnswer(h http.Header) bool {
	id := j.relay.HeaderCodec.ReadAnswer(http.StatusOK, h).ID
	return id == "" || id == j.requestInfo.ID
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

// lostOutcome returns the outcome of an exchange that failed before its answer was complete.
func (j *job) lostOutcome(err error) Outcome {
	switch {
	case direct.IsNotSent(err):
		return NotRun{Code: result.EndpointDown, Cause: err}
	case j.headerSent:
		return j.interruptedOutcome(err)
	case errors.Is(err, context.Canceled):
		return Disconnected{Cause: err}
	default:
		return Unknown{Cause: err}
	}
}

// interruptedOutcome returns the outcome of a stream that failed after a part of it was forwarded.
func (j *job) interruptedOutcome(err error) Outcome {
	if errors.Is(err, context.Canceled) {
		return Disconnected{Cause: err}
	}
	return Interrupted{Cause: err}
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

// forwardBuffered reads the complete answer before it forwards any of it, so that the request can
// still be sent to another endpoint if the answer is cut off.
func (j *job) forwardBuffered(ctx context.Context, assigned Assignment, resp *direct.Response) Outcome {
	body, err := resp.ReadAll(j.reply.Hold)
	if err != nil {
		return j.readErrorOutcome(ctx, err)
	}
	now := j.relay.Now()
	j.partReceived(assigned, resp.Status, now)
	answer := &BufferedAnswer{Status: resp.Status, Header: caller.EndToEndHeaders(resp.Header), Body: body}
	if resp.Status >= http.StatusInternalServerError {
		return Failed{Answer: answer}
	}
	j.firstPartAt = now
	if err := j.reply.SendRaw(answer.Status, answer.Header, body); err != nil {
		return Disconnected{Cause: err}
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
func (j *job) forwardStream(ctx context.Context, assigned Assignment, resp *direct.Response) Outcome {
	events := resp.Events()
	for {
		ev, err := events.Next()
		if err == io.EOF && !j.answerBegan && !resp.Framed() {
			// Only its connection's end marks the end of this answer, and that is also how an endpoint
			// ends that crashes before the first event.
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return j.endStream(resp)
		}
		if err != nil {
			return j.readErrorOutcome(ctx, err)
		}
		if ev.HasID && ev.ID <= j.lastEventID {
			if err := events.CountRepeated(ev); err != nil {
				return j.readErrorOutcome(ctx, err)
			}
			continue
		}
		if ev.Other {
			if err := j.forwardOther(ev); err != nil {
				return Disconnected{Cause: err}
			}
			continue
		}
		if ev.HasID && ev.ID != j.lastEventID+1 {
			return j.readErrorOutcome(ctx, errEventOrder)
		}
		if err := j.forwardEvent(assigned, resp, ev); err != nil {
			return Disconnected{Cause: err}
		}
	}
}

// forwardOther forwards what a stream contains besides events, such as comments. Before the first
// event it is kept until that event arrives, so that another endpoint can still take over.
func (j *job) forwardOther(ev direct.Event) error {
	if j.headerSent {
		return j.reply.WriteChunk(ev.Raw)
	}
	j.beforeFirst = append(j.beforeFirst, ev.Raw...)
	return j.reply.Hold(len(ev.Raw))
}

// partReceived records that the attempt has received a part of its answer, which has the given
// status.
func (j *job) partReceived(assigned Assignment, status int, now time.Time) {
	if !j.answerBegan && status/100 == 2 {
		j.clearParts(now)
	}
	j.answerBegan = true
	j.relay.State.PartReceived(assigned, now)
}

// observePause records the time since the last event for the batch limit of the endpoint's group.
// The first event of an attempt ends no pause: the prompt was read before it.
func (j *job) observePause(assigned Assignment, first bool, now time.Time) {
	if !j.table.HasClasses(j.service.Name) {
		return
	}
	if first {
		j.lastPause = 0
		return
	}
	pause := now.Sub(j.lastPartAt)
	if j.lastPause > 0 {
		j.relay.State.ObservePauses(assigned, j.lastPause, pause, now)
	}
	j.lastPause = pause
}

func (j *job) forwardEvent(assigned Assignment, resp *direct.Response, ev direct.Event) error {
	now := j.relay.Now()
	first := !j.answerBegan
	j.partReceived(assigned, resp.Status, now)
	j.observePause(assigned, first, now)
	if pause := now.Sub(j.lastPartAt); j.headerSent && pause > j.longestPause {
		j.longestPause, j.pauseEndedAt = pause, now
	}
	j.lastPartAt = now
	if !j.headerSent {
		j.firstPartAt = now
		if err := j.beginStream(resp); err != nil {
			return err
		}
	}
	if ev.HasID {
		j.lastEventID = ev.ID
	}
	return j.reply.WriteChunk(ev.Raw)
}

// beginStream sends the header of a stream and what was received before its first event.
func (j *job) beginStream(resp *direct.Response) error {
	j.headerSent = true
	if err := j.reply.BeginRawStream(resp.Status, caller.EndToEndHeaders(resp.Header)); err != nil {
		return err
	}
	if len(j.beforeFirst) == 0 {
		return nil
	}
	return j.reply.WriteChunk(j.beforeFirst)
}

func (j *job) endStream(resp *direct.Response) Outcome {
	if !j.headerSent {
		if err := j.beginStream(resp); err != nil {
			return Disconnected{Cause: err}
		}
	}
	if err := j.reply.EndStream(); err != nil {
		return Disconnected{Cause: err}
	}
	return Delivered{}
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
