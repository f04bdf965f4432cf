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

// mostAnswer bounds an answer that is kept until it is whole.
const mostAnswer = 8 << 20

// Whole is an answer that has come to its end.
type Whole struct {
	Status int
	Header http.Header
	Body   []byte
}

var (
	errUnsigned = errors.New("relay: a success without the endpoint's signature")
	errEncoded  = errors.New("relay: the body is encoded, which nobody asked for")
	errUnnamed  = errors.New("relay: a success that doesn't name its request")
	errTooLong  = errors.New("relay: the answer is too long")
	errOrder    = errors.New("relay: events are missing or out of order")
)

// attempt sends the request to one endpoint and passes its answer on.
func (j *job) attempt(ctx context.Context, p Place) Outcome {
	r := j.relay
	req := j.request(p)
	a, err := r.Client.Do(ctx, p.Endpoint.Address, req)
	if err != nil {
		return j.lost(err)
	}
	defer a.Close()
	told := r.Dialect.ReadAnswer(a.Status, a.Header)
	if told.Cold > 0 {
		r.Belief.Turned(p.Endpoint.ID, told.Cold, r.Now())
	}
	if told.Wrong {
		r.Belief.Misdirected(p)
	} else {
		j.noteLimit(p, told)
	}
	if told.NotRun {
		_, _ = io.Copy(io.Discard, a)
		return NotRun{Sent: true, Code: refusedCode(told, a.Status)}
	}
	if err := j.check(a, told); err != nil {
		return Unknown{Cause: err}
	}
	if j.route.Repeat == routing.Stream && a.Status == http.StatusOK {
		return j.stream(ctx, p, a)
	}
	return j.whole(ctx, p, a)
}

// noteLimit takes in what an answer says of how many requests the endpoint takes. An answer
// that neither names a limit nor bears the endpoint's signature says nothing.
func (j *job) noteLimit(p Place, told Told) {
	if told.Limit < 0 && !told.Signed {
		return
	}
	now := j.relay.Now()
	if j.relay.Belief.Limited(p, told.Limit, now) {
		j.logLimit(p, told.Limit)
	}
}

// request is the caller's request as the endpoint gets it.
func (j *job) request(p Place) *direct.Request {
	h := caller.EndToEnd(j.raw.Header)
	s := Stamp{Endpoint: p.Endpoint.ID, Left: j.end.Sub(j.relay.Now()), Urgency: j.urgency()}
	if j.account != nil {
		s.Account = j.account.Name
	}
	if j.started {
		s.Resume = formatID(j.last)
	}
	j.relay.Dialect.WriteRequest(h, s)
	return &direct.Request{
		Method: j.raw.Method, Target: j.raw.Target, Host: j.raw.Host, Header: h, Body: j.raw.Body,
		Mine:  j.mine,
		Fresh: !j.route.MayRepeat(),
	}
}

// mine reports whether an answer names this request, or none.
func (j *job) mine(h http.Header) bool {
	id := j.relay.Dialect.ReadAnswer(http.StatusOK, h).ID
	return id == "" || id == j.facts.ID
}

// mostUrgency is the least urgent value that an endpoint takes.
const mostUrgency = 9

func (j *job) urgency() int {
	p := j.route.Priority
	if j.account != nil && j.account.Priority >= 0 {
		p = j.account.Priority
	}
	return min(max(p, 0), mostUrgency)
}

// lost is the outcome of an exchange that brought no head of an answer.
func (j *job) lost(err error) Outcome {
	switch {
	case direct.IsNotSent(err):
		return NotRun{Code: result.EndpointDown, Cause: err}
	case j.started:
		return j.cut(err)
	case errors.Is(err, context.Canceled):
		return Gone{Cause: err}
	default:
		return Unknown{Cause: err}
	}
}

// cut is the outcome of a stream of which the caller has a part.
func (j *job) cut(err error) Outcome {
	if errors.Is(err, context.Canceled) {
		return Gone{Cause: err}
	}
	return Broken{Cause: err}
}

// refusedCode names why an endpoint did not run a request.
func refusedCode(t Told, status int) result.Code {
	switch {
	case t.Wrong:
		return result.NoEndpoint
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return result.EndpointBusy
	default:
		return result.EndpointLeaving
	}
}

// check refuses successes that are not the endpoint's own whole answer to this
// request.
func (j *job) check(a *direct.Answer, t Told) error {
	switch {
	case a.Header.Get("Content-Encoding") != "":
		return errEncoded
	case a.Status/100 != 2:
		return nil
	case !t.Signed:
		return errUnsigned
	case t.ID != j.facts.ID:
		return errUnnamed
	}
	return nil
}

// whole reads an answer to its end before any of it goes to the caller, so that
// one which breaks off can still be asked for elsewhere.
func (j *job) whole(ctx context.Context, p Place, a *direct.Answer) Outcome {
	body, err := io.ReadAll(io.LimitReader(a, mostAnswer+1))
	if err == nil && len(body) > mostAnswer {
		err = errTooLong
	}
	if err != nil {
		return j.lostCtx(ctx, err)
	}
	now := j.relay.Now()
	j.relay.Belief.Heard(p, now)
	answer := &Whole{Status: a.Status, Header: caller.EndToEnd(a.Header), Body: body}
	if a.Status >= http.StatusInternalServerError {
		return Failed{Answer: answer}
	}
	j.firstPart = now
	if err := j.reply.AnswerRaw(answer.Status, answer.Header, body); err != nil {
		return Gone{Cause: err}
	}
	return Delivered{}
}

// lostCtx is lost for an answer that broke while it was read.
func (j *job) lostCtx(ctx context.Context, err error) Outcome {
	if ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return j.lost(err)
}

// stream passes events on as they come. The head goes to the caller with the
// first event, so that an endpoint which fails before it can be replaced.
func (j *job) stream(ctx context.Context, p Place, a *direct.Answer) Outcome {
	events := direct.NewEvents(a)
	for {
		ev, err := events.Next()
		if err == io.EOF {
			return j.endStream(a)
		}
		if err != nil {
			return j.lostCtx(ctx, err)
		}
		if ev.HasID && ev.ID <= j.last {
			continue
		}
		if ev.HasID && ev.ID != j.last+1 {
			return j.lostCtx(ctx, errOrder)
		}
		if err := j.pass(p, a, ev); err != nil {
			return Gone{Cause: err}
		}
	}
}

func (j *job) pass(p Place, a *direct.Answer, ev direct.Event) error {
	now := j.relay.Now()
	j.relay.Belief.Heard(p, now)
	if pause := now.Sub(j.lastPart); j.started && pause > j.longestPause {
		j.longestPause, j.pauseEnded = pause, now
	}
	j.lastPart = now
	if !j.started {
		j.started, j.firstPart = true, now
		if err := j.reply.BeginRaw(a.Status, caller.EndToEnd(a.Header)); err != nil {
			return err
		}
	}
	if ev.HasID {
		j.last = ev.ID
	}
	return j.reply.Piece(ev.Raw)
}

func (j *job) endStream(a *direct.Answer) Outcome {
	if !j.started {
		if err := j.reply.BeginRaw(a.Status, caller.EndToEnd(a.Header)); err != nil {
			return Gone{Cause: err}
		}
		j.started = true
	}
	if err := j.reply.End(); err != nil {
		return Gone{Cause: err}
	}
	return Delivered{}
}

// Sweep closes connections that were unused for long, until ctx ends.
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
