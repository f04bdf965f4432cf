package relay

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// placer returns the function with which the queue assigns requests. mu must be held.
func (st *State) placer(now time.Time) admission.Placer {
	return func(r *admission.Request) bool {
		w := st.waiters[r.ID]
		service := w.req.Service
		if w.late && st.lateRunning[service.Name] >= st.lateSlots(service, now) {
			w.assignErr = result.New(result.EndpointBusy, "").WithRetryAfter(retryAfterBusy)
			w.noteLimit(w.assignErr)
			return false
		}
		assigned, e := st.chooseNew(service, w.req.Query, now)
		w.assigned, w.assignErr = assigned, e
		if e != nil {
			st.noteShareWait(e, now)
			w.noteLimit(e)
			return false
		}
		w.assigned.requestID, w.assigned.late = r.ID, w.late
		if w.late {
			st.lateRunning[service.Name]++
		}
		return true
	}
}

// noteShareWait records when a request that could not be assigned may be assigned because this entry
// has saved up its share of a cold endpoint, or of one that names a limit. Nothing else may happen
// until then: without requests of other entries, no report of theirs arrives. mu must be held.
func (st *State) noteShareWait(e *result.Error, now time.Time) {
	if c := e.Code(); c != result.EndpointCold && c != result.EndpointBusy {
		return
	}
	st.dispatchBy(now.Add(e.RetryAfter()))
}

// minTimedDispatch is the least time between two dispatches that a timer causes. All waiting requests
// have one that ends at the same moment.
const minTimedDispatch = time.Millisecond

// DispatchWaiting assigns or refuses waiting requests according to the current state, unless that was
// done within the last minTimedDispatch.
func (st *State) DispatchWaiting(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if now.Sub(st.dispatchedAt) >= minTimedDispatch {
		st.dispatchWaiting(now)
	}
}

// dispatchWaiting is DispatchWaiting with mu held. Streams that wait at an endpoint that can't be heard have
// waited longest, and their callers leave first.
func (st *State) dispatchWaiting(now time.Time) {
	st.moveOffSilentEndpoints(now)
	if st.queue.Waiting() == 0 {
		return
	}
	st.refresh(now)
	st.dispatchedAt, st.nextShareAt = now, time.Time{}
	st.excludeStandstill(now)
	started, refused := st.queue.Next(now, st.placer(now))
	for _, r := range started {
		st.waiters[r.ID].queued = false
		st.waiters[r.ID].done <- nil
	}
	st.handleRefusals(refused, now)
	st.refuseDuringRest(now)
	st.refuseDuringStand(now)
	st.refuseDuringStop(now)
}

// queueRefusal returns the refusal, with a Retry-After time, for a request that the queue refused.
// While the group is closed or all endpoints rest, the drain rate measured before does not predict
// when the service accepts requests again.
func (st *State) queueRefusal(w *waiter, r admission.Refused, now time.Time) *result.Error {
	state, closed := st.groupState(w.req.Service, now)
	if closed {
		return st.closedRefusal(w.req, now)
	}
	if left := st.serviceRest(w.req.Service, state.closedEngines, now); left > 0 {
		return restRefusal(left)
	}
	if _, stood := st.serviceStood(w.req.Service, now); stood > 0 {
		return st.closedRefusal(w.req, now)
	}
	return result.New(refusalCode(r.Code, w.req.Deadline, now), "").WithRetryAfter(r.RetryAfter)
}

// refusalCode returns the code with which a caller is refused that the queue refused with code. The
// queue's deadline of a late request is the time by which it must start, so the caller's own deadline may
// not have passed: such a caller is told that its request was not run, which 504 doesn't promise.
func refusalCode(code result.Code, deadline, now time.Time) result.Code {
	if code == result.DeadlinePassed && now.Before(deadline) {
		return result.DeadlineUnmeetable
	}
	return code
}

// excludeFromDrainRate keeps the time up to now out of the drain rate that the queue measures for a
// service.
func (st *State) excludeFromDrainRate(s *routing.Service, now time.Time) {
	st.queue.SkipDrainTime(s.Name, now)
	st.queue.SkipDrainTime(s.Name+lateRouteSuffix, now)
}

// excludeStandstill keeps the time for which groups are closed or stand, or all endpoints of a service rest,
// out of the drain rate that the queue measures. Otherwise the queue would refuse callers for
// seconds afterwards.
func (st *State) excludeStandstill(now time.Time) {
	seen := map[string]bool{}
	for _, w := range st.waiters {
		s := w.req.Service
		if !w.queued || seen[s.Name] {
			continue
		}
		seen[s.Name] = true
		_, stood := st.serviceStood(s, now)
		if state, closed := st.groupState(s, now); closed || stood > 0 || st.serviceRest(s, state.closedEngines, now) > 0 {
			st.excludeFromDrainRate(s, now)
		}
	}
}

// handleRefusals ends the wait of requests that the queue has refused, or lets them wait on as late
// requests.
func (st *State) handleRefusals(refused []admission.QueuedRefusal, now time.Time) {
	for _, r := range refused {
		w := st.waiters[r.ID]
		if w == nil {
			continue
		}
		if !w.markLate(r.Code) {
			w.noteDisplaced(r)
			w.refusal = st.queueRefusal(w, r.Refused, now)
		} else if st.enqueue(w, now) {
			w.queued = false
			w.done <- nil
			continue
		}
		if w.refusal != nil {
			delete(st.waiters, r.ID)
			w.done <- w.refusal
		}
	}
}

// refuseWaiting refuses the waiting requests for which refusal returns an error. mu must be held.
func (st *State) refuseWaiting(refusal func(req AdmitRequest) *result.Error) {
	for id, w := range st.waiters {
		if !w.queued {
			continue
		}
		if e := refusal(w.req); e != nil {
			st.queue.Cancel(id)
			delete(st.waiters, id)
			w.done <- e
		}
	}
}

// untilNextDispatch returns how long until a waiting request has to be refused or marked late, an
// endpoint that rests may be sent requests again, or this entry has saved up a share.
func (st *State) untilNextDispatch(now time.Time) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	d := time.Second
	if at, ok := st.queue.NextRefusal(); ok {
		d = at.Sub(now)
	}
	if end, ok := st.rests.nextEnd(now); ok {
		d = min(d, end)
	}
	if !st.nextShareAt.IsZero() {
		d = min(d, st.nextShareAt.Sub(now))
	}
	return max(minTimedDispatch, d)
}

// cancelWaiting removes a request whose context ctx has ended from the queue.
func (st *State) cancelWaiting(ctx context.Context, w *waiter, now time.Time) (Assignment, *result.Error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	select {
	case e := <-w.done:
		// The request was assigned or refused at the same moment. An assignment must be used or
		// given back.
		return w.assigned, e
	default:
	}
	st.queue.Cancel(w.req.ID)
	delete(st.waiters, w.req.ID)
	st.dispatchWaiting(now)
	if caller.IsStopping(ctx) {
		return Assignment{}, shuttingDown()
	}
	return Assignment{}, result.New(result.Cancelled, "while it waited")
}
