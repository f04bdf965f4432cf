package relay

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/drain"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// BeginStop records that the process stops by the given schedule. From then on, requests that wait for an
// endpoint, and new ones, are refused as not run when a whole answer usually takes longer than the time that is
// left. AdvanceStop must be called regularly after it.
func (r *Relay) BeginStop(s drain.Schedule) { r.State.beginStop(s) }

// AdvanceStop refuses the requests that can no longer be served before the stop ends.
func (r *Relay) AdvanceStop(now time.Time) { r.State.DispatchWaiting(now) }

func (st *State) beginStop(s drain.Schedule) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stop = &s
}

// timeLeft returns how much time is left until a request's deadline, or until the answers of a process that stops
// are due.
func (st *State) timeLeft(deadline, now time.Time) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.endBy(deadline).Sub(now)
}

// endBy returns the time by which an answer must be complete: the deadline, or when the answers of a process that
// stops are due. mu must be held.
func (st *State) endBy(deadline time.Time) time.Time {
	if st.stop != nil && st.stop.AnswersDue.Before(deadline) {
		return st.stop.AnswersDue
	}
	return deadline
}

// refuseIfStopping returns a refusal if the process stops and there is no time left for the whole answer to a
// request that waits, or else nil. mu must be held.
func (st *State) refuseIfStopping(req AdmitRequest, now time.Time) *result.Error {
	if st.stop == nil {
		return nil
	}
	waiting := drain.Request{Stage: drain.Waiting, Deadline: req.Deadline, AnswerTime: st.longAnswerTime(req, now)}
	if st.stop.Decide(waiting, now) == drain.Continue {
		return nil
	}
	return shuttingDown()
}

// finalOutcome returns the outcome of the last attempt of a request, which ended with o. An attempt that this
// process ended because it stops, and of which the caller has no part of an answer, did not end because the caller
// left.
func (j *job) finalOutcome(ctx context.Context, o Outcome) Outcome {
	if _, disconnected := o.(Disconnected); disconnected && caller.IsStopping(ctx) && j.progress == NothingSent {
		return Unknown{Cause: caller.ErrStopping}
	}
	return o
}

// shuttingDown returns the refusal of a process that stops.
func shuttingDown() *result.Error {
	return result.New(result.ShuttingDown, "").WithRetryAfter(retryAfterShutdown)
}

// longAnswerTime returns how long a whole answer takes at most, but for a few. An answer that a stop cuts off
// costs its caller more than a refusal. mu must be held.
func (st *State) longAnswerTime(req AdmitRequest, now time.Time) time.Duration {
	unknown := max(req.TargetLatency, st.usualSlotTime(req.Service, now))
	return st.latencies.longWhole(req.Service.Name, unknown, now)
}

// refuseDuringStop refuses the waiting requests that can't be served before the stop ends. mu must be held.
func (st *State) refuseDuringStop(now time.Time) {
	if st.stop == nil {
		return
	}
	st.refuseWaiting(func(req AdmitRequest) *result.Error { return st.refuseIfStopping(req, now) })
}
