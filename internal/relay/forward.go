package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
)

// forwardWhole reads the complete answer before it forwards any of it, so that the request can still
// be sent to another endpoint if the answer is cut off.
func (j *job) forwardWhole(ctx context.Context, assigned Assignment, resp *direct.Response) Outcome {
	body, err := resp.ReadAll(j.reply.Hold)
	if err != nil {
		return readErrorOutcome(ctx, j.progress, err)
	}
	now := j.relay.Now()
	j.partReceived(assigned, resp.Status, now)
	answer := &BufferedAnswer{Status: resp.Status, Header: caller.EndToEndHeaders(resp.Header), Body: body}
	if resp.Status >= http.StatusInternalServerError {
		return Failed{Answer: answer}
	}
	if !j.mayEnd() {
		return Disconnected{Cause: errMoved}
	}
	j.firstPartAt = now
	if err := j.reply.SendRaw(answer.Status, answer.Header, body); err != nil {
		return Disconnected{Cause: err}
	}
	j.progress = WholeSent
	return Delivered{}
}

// readErrorOutcome returns the outcome of an answer that failed while it was read. p is what the caller
// has received.
func readErrorOutcome(ctx context.Context, p Progress, err error) Outcome {
	if ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return lostOutcome(p, err)
}

// forwardStream forwards events as they arrive. The header is sent to the caller with the first
// event, so that another endpoint can take over if this one fails before that.
func (j *job) forwardStream(ctx context.Context, assigned Assignment, head answerHead) Outcome {
	resp, events := head.resp, head.events
	if events == nil {
		events = resp.Events()
	}
	for {
		ev, err := events.Next()
		if err == io.EOF {
			err = j.checkEnd(resp)
			if err == nil && !j.mayEnd() {
				err = errMoved
			}
			if err == nil {
				return j.endStream(resp)
			}
		}
		if err != nil {
			return readErrorOutcome(ctx, j.progress, err)
		}
		if ev.HasID {
			j.attemptEventID = ev.ID
		}
		if ev.HasID && ev.ID <= j.lastEventID {
			if err := events.CountRepeated(ev); err != nil {
				return readErrorOutcome(ctx, j.progress, err)
			}
			j.beforeFirst = nil // it belongs to events that the caller has
			j.relay.State.heard(assigned, j.relay.Now())
			continue
		}
		if ev.Other {
			j.relay.State.heard(assigned, j.relay.Now())
			if err := j.forwardOther(ctx, ev); err != nil {
				return Disconnected{Cause: err}
			}
			continue
		}
		if ev.HasID && !j.isNext(ev.ID) {
			return readErrorOutcome(ctx, j.progress, errEventOrder)
		}
		if err := j.forwardEvent(ctx, assigned, resp, ev); err != nil {
			return Disconnected{Cause: err}
		}
	}
}

// isNext reports whether an event with the number id may follow what the caller has. A stream that isn't
// resumable is forwarded as the endpoint sends it, whether it goes on where the caller asked or begins anew.
func (j *job) isNext(id int64) bool {
	return id == j.lastEventID+1 || j.progress == NothingSent && j.resumed > 0 && id == j.resumed+1
}

// checkEnd returns an error if the end of an attempt's answer may not be the end of the stream.
func (j *job) checkEnd(resp *direct.Response) error {
	switch {
	case !j.answerBegan && !resp.Framed():
		// Only its connection's end marks the end of this answer, and that is also how an endpoint
		// ends that crashes before the first event.
		return io.ErrUnexpectedEOF
	case j.attemptEventID > 0 && j.attemptEventID < j.lastEventID:
		return errShorterStream
	default:
		return nil
	}
}

// forwardOther forwards what a stream contains besides events, such as comments. Before the attempt's
// first event it is kept until that event arrives, so that another endpoint can still take over, and so
// that nothing of an attempt that has no event for the caller gets into a stream that has begun.
func (j *job) forwardOther(ctx context.Context, ev direct.Event) error {
	if j.answerBegan {
		if !j.awaitHandover(ctx) {
			return errMoved
		}
		return j.reply.WriteChunk(ev.Raw)
	}
	j.beforeFirst = append(j.beforeFirst, ev.Raw...)
	return j.reply.Hold(len(ev.Raw))
}

// partReceived records that the attempt has received a part of its answer, which has the given
// status.
func (j *job) partReceived(assigned Assignment, status int, now time.Time) {
	j.recordPart(assigned, !j.answerBegan && status/100 == 2, now)
	j.answerBegan = true
}

// recordPart records a part of an answer. sound means that a sound answer begins with it. It may run beside
// another attempt of the request.
func (j *job) recordPart(assigned Assignment, sound bool, now time.Time) {
	if sound {
		j.clearParts(now)
	}
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

func (j *job) forwardEvent(ctx context.Context, assigned Assignment, resp *direct.Response, ev direct.Event) error {
	if !j.mayForward(ctx, resp.Header.Get("Content-Type"), ev) {
		return errMoved // the next endpoint sends the event
	}
	now := j.relay.Now()
	first := !j.answerBegan
	j.partReceived(assigned, resp.Status, now)
	j.observePause(assigned, first, now)
	if pause := now.Sub(j.lastPartAt); j.progress == PartSent && pause > j.longestPause {
		j.longestPause, j.pauseEndedAt = pause, now
	}
	j.lastPartAt = now
	if j.progress == NothingSent {
		j.firstPartAt = now
		if err := j.beginStream(resp); err != nil {
			return err
		}
	}
	if first {
		if err := j.reply.WriteChunk(j.beforeFirst); err != nil {
			return err
		}
	}
	if ev.HasID {
		j.lastEventID = ev.ID
	}
	return j.reply.WriteChunk(ev.Raw)
}

// mayForward reports whether an event may be forwarded. If it returns true, a move that begins from now
// on goes on behind that event. It blocks while a move is in progress.
func (j *job) mayForward(ctx context.Context, contentType string, ev direct.Event) bool {
	at := position{progress: PartSent, lastEventID: ev.ID, contentType: contentType}
	for j.awaitHandover(ctx) {
		if ev.HasID && j.movable.advance(at) || !ev.HasID && j.keepHere() {
			return true
		}
	}
	return false
}

// keepHere keeps a stream that has events without a number from going on elsewhere. It returns false if
// the stream is being moved already.
func (j *job) keepHere() bool {
	if j.movable != nil && !j.relay.State.pin(j.movable) {
		return false
	}
	j.unnumbered = true
	return true
}

// beginStream sends the header of a stream.
func (j *job) beginStream(resp *direct.Response) error {
	err := j.reply.BeginRawStream(resp.Status, caller.EndToEndHeaders(resp.Header))
	if errors.Is(err, caller.ErrStopping) {
		return err // nothing has been sent
	}
	j.progress, j.contentType = PartSent, resp.Header.Get("Content-Type")
	return err
}

func (j *job) endStream(resp *direct.Response) Outcome {
	if j.progress == NothingSent {
		if err := errors.Join(j.beginStream(resp), j.reply.WriteChunk(j.beforeFirst)); err != nil {
			return Disconnected{Cause: err}
		}
	}
	if err := j.reply.EndStream(); err != nil {
		return Disconnected{Cause: err}
	}
	j.progress = WholeSent
	return Delivered{}
}
