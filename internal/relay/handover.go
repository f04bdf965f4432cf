package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
)

// defaultHandoverTime is the default of Relay.HandoverTime. Endpoints that fail or refuse a request at once
// do so within a few round trips. A sound engine answers when it has read the prompt, and until the running
// attempt ends, it holds up its group.
const defaultHandoverTime = 100 * time.Millisecond

// Verdict says which of two attempts goes on with a stream that is being moved.
type Verdict int

const (
	// Undecided means that no event may be forwarded yet.
	Undecided Verdict = iota
	// KeepRunning means that the running attempt goes on.
	KeepRunning
	// SwitchOver means that the next attempt goes on and the running one ends.
	SwitchOver
)

// RunningState is the state of the attempt that is to be replaced.
type RunningState int

const (
	// Running means that further events may arrive.
	Running RunningState = iota
	// RanWhole means that the answer is complete.
	RanWhole
	// RanOut means that the attempt has ended in any other way.
	RanOut
	// Resumed means that an event has arrived from an endpoint that was taken for silent.
	Resumed
)

// NextState is the state of the attempt that is to replace it.
type NextState int

const (
	// NextAsked means that there is no answer yet.
	NextAsked NextState = iota
	// NextOverdue means that there was no answer for Relay.HandoverTime.
	NextOverdue
	// NextUsable means that the answer goes on with the stream, of which the first event is there.
	NextUsable
	// NextUnusable means that the stream can't go on there.
	NextUnusable
)

// DecideHandover decides which attempt goes on with a stream that is being moved. The caller loses
// nothing by a move to an endpoint that turns it down: the running attempt ends only when the next one
// has an answer, or is likely to have one. One that has been silent goes on if it is heard first.
func DecideHandover(running RunningState, next NextState) Verdict {
	switch {
	case running == RanWhole, running == Resumed, next == NextUnusable:
		return KeepRunning
	case running == RanOut, next == NextUsable, next == NextOverdue:
		return SwitchOver
	default:
		return Undecided
	}
}

// position is how much of an answer the caller has received.
type position struct {
	progress Progress
	// lastEventID is the number of the last event, and contentType the type of a stream of which the caller
	// has a part.
	lastEventID int64
	contentType string
}

// handover is the move of a stream to the next endpoint. The running attempt forwards nothing until its
// verdict is known, so that the next one goes on behind the last event that the caller has.
type handover struct {
	next   Assignment
	reason MoveReason
	from   position
	// ctx is the context of the next attempt, which begins before the running one ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// answered is closed when the next endpoint is no longer asked. head and exchange may be read then.
	answered chan struct{}
	head     answerHead
	exchange direct.Exchange
	// decided is closed when verdict has been set.
	decided chan struct{}

	mu      sync.Mutex // guards verdict
	verdict Verdict
}

// decide sets the verdict if these states decide it and nothing has before. It reports whether it did.
func (h *handover) decide(running RunningState, next NextState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := DecideHandover(running, next)
	if h.verdict != Undecided || v == Undecided {
		return false
	}
	h.verdict = v
	close(h.decided)
	return true
}

// await blocks until the verdict is known, and returns it.
func (h *handover) await() Verdict {
	<-h.decided
	return h.verdict
}

// newHandover returns a handover without a verdict. ctx is that of the request.
func newHandover(ctx context.Context, next Assignment, reason MoveReason) *handover {
	h := &handover{next: next, reason: reason, answered: make(chan struct{}), decided: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	return h
}

// beginHandover returns the function with which the State moves a running attempt. It asks the next
// endpoint to go on with the stream.
func (j *job) beginHandover(ctx context.Context, r *movableAttempt, endRunning context.CancelCauseFunc) func(Assignment, MoveReason) {
	return func(next Assignment, reason MoveReason) {
		h := newHandover(ctx, next, reason)
		h.from = r.startHandover(h)
		go j.runHandover(h.ctx, h, endRunning)
	}
}

// runHandover asks the next endpoint, and ends the running attempt if the stream is to go on there. It
// closes h.answered at its end.
func (j *job) runHandover(ctx context.Context, h *handover, endRunning context.CancelCauseFunc) {
	defer close(h.answered)
	stopLimit := j.limitHandover(h, endRunning)
	head := awaitEvent(ctx, h.from.progress, j.askNext(ctx, h))
	stopLimit()
	next := NextUnusable
	if head.hasEvents() {
		next = NextUsable
	}
	if h.decide(Running, next) && next == NextUsable {
		endRunning(errMoved)
	}
	h.head = head.discard() // behind the verdict, as the body of a failure may take its time
}

// limitHandover ends the running attempt of a move off a slow engine after HandoverTime, unless the
// function that it returns is called before then. An endpoint that can't be heard holds up nobody, so its attempt
// ends only when the next one has an event: it may be the first to be heard again.
func (j *job) limitHandover(h *handover, endRunning context.CancelCauseFunc) (stop func()) {
	if h.reason == EndpointSilent {
		return func() {}
	}
	overdue := time.AfterFunc(cmp.Or(j.relay.HandoverTime, defaultHandoverTime), func() {
		if h.decide(Running, NextOverdue) {
			endRunning(errMoved)
		}
	})
	return func() { overdue.Stop() }
}

// askNext sends the request to the next endpoint, unless it is refused by now.
func (j *job) askNext(ctx context.Context, h *handover) answerHead {
	now := j.relay.Now()
	if j.account != nil && j.checkKeyAge(now) != nil || j.relay.State.Refuses(j.subjects(), now) != nil {
		return answerHead{outcome: Unused{}}
	}
	return j.ask(ctx, h.next, h.from, &h.exchange)
}

// awaitEvent waits for the first event of an answer that may go on with a stream. One that ends before that,
// or within the event, does not. p is what the caller has received.
func awaitEvent(ctx context.Context, p Progress, head answerHead) answerHead {
	if !head.hasEvents() {
		return head
	}
	head.events = head.resp.Events()
	err := head.events.Await()
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && head.resp.Framed():
		head.outcome = Unusable{Status: head.resp.Status}
	default:
		head.outcome = readErrorOutcome(ctx, p, err)
	}
	return head
}

// awaitHandover is called with something to forward from the running attempt, and blocks while the stream is
// being moved. It returns false if it goes on elsewhere.
func (j *job) awaitHandover(ctx context.Context) bool {
	for {
		h := j.movable.currentHandover()
		if h == nil {
			return true
		}
		if h.reason == EndpointSilent {
			h.decide(Resumed, NextAsked)
		}
		if h.await() == SwitchOver {
			return false
		}
		j.noteTurnedDown(ctx, h)
		j.relay.State.keep(j.movable, j.query(), j.mayMove())
	}
}

// mayEnd reports whether the complete answer of the running attempt may be forwarded. It ends a move in
// progress, unless the stream goes on elsewhere by now.
func (j *job) mayEnd() bool {
	h := j.movable.currentHandover()
	if h == nil {
		return true
	}
	h.decide(RanWhole, NextAsked)
	return h.await() == KeepRunning
}

// endHandover settles a move that was in progress when the running attempt ended. It returns the move
// if the request goes on with it, and otherwise nil.
func (j *job) endHandover(ctx context.Context, h *handover) *handover {
	h.decide(RanOut, NextAsked)
	if h.await() == SwitchOver && j.awaitsAnswer(ctx) {
		return h
	}
	j.noteTurnedDown(ctx, h)
	return nil
}

// awaitsAnswer reports whether the caller is there and has no complete answer.
func (j *job) awaitsAnswer(ctx context.Context) bool {
	return ctx.Err() == nil && j.progress != WholeSent && !j.reply.Aborted()
}

// noteTurnedDown ends the next attempt of a move and records how it ended.
func (j *job) noteTurnedDown(ctx context.Context, h *handover) {
	h.cancel(nil)
	<-h.answered
	o := h.head.outcome
	if o == nil {
		o = Disconnected{Cause: context.Canceled} // it was usable and is not needed
	}
	h.head.close()
	if _, unused := o.(Unused); unused {
		j.relay.State.Release(h.next, o, j.relay.Now())
		return
	}
	j.tried = append(j.tried, h.next.Endpoint.ID)
	// What is recorded of the last attempt is that of the running one.
	began, exchange := j.answerBegan, j.exchange
	j.answerBegan, j.exchange = false, h.exchange
	_, _ = j.noteOutcome(ctx, h.next, o) // the running attempt is no repeat
	j.relay.Metrics.notMoved.Inc(1)
	j.logNotMoved(h.next, o)
	j.answerBegan, j.exchange = began, exchange
}
