package relay

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// lateWeight is the value of a late answer relative to one that meets its latency target. It
	// only sets the order: requests that can still meet their target go first.
	lateWeight = 0.25
	// minFirstPartTime is the lower bound of the estimated time to the first part of an answer.
	minFirstPartTime = time.Millisecond
	// maxWaiting bounds the queue of one entry. It holds a few seconds of arrivals.
	maxWaiting = 64
)

// waiter is a request to be assigned to an endpoint. A request is late if its answer can no longer
// meet the latency target.
type waiter struct {
	req AdmitRequest
	// done receives one value when a queued request has been assigned to an endpoint (nil) or has
	// been refused.
	done chan *result.Error

	// State.mu guards the fields below. queued means that the request is in the queue, and late
	// that its answer can no longer meet the target.
	queued, late bool
	assigned     Assignment
	// assignErr is why the request could not be assigned on the last try, and refusal why it is
	// refused for good.
	assignErr, refusal *result.Error
}

// AdmitRequest is a request to be assigned to an endpoint.
type AdmitRequest struct {
	Service *routing.Service
	Query   placement.Query
	// ID is unique among the open requests. A request without an ID, or with one that is in use, is
	// not queued.
	ID string
	// Account is the name of the account, or anonymousAccount for a request without one.
	Account string
	// FirstPartDeadline is the time at which the first part of the answer is due, and Deadline the
	// caller's deadline. TargetLatency is the latency target from which FirstPartDeadline follows.
	FirstPartDeadline, Deadline time.Time
	TargetLatency               time.Duration
	// AskedBefore means that an earlier attempt of the caller was refused or failed.
	AskedBefore bool
	// AbandonAt is when the caller gives up if no part of the answer has arrived; zero means at
	// Deadline.
	AbandonAt time.Time
	// Priority orders the requests of one account; 0 is the highest priority.
	Priority int
}

// Admit assigns a request to an endpoint, after waiting in the queue if necessary, or returns why
// it can't be assigned. Each assignment must be given back with Release.
//
// Under overload, a request waits for as long as its answer can meet its target, and then behind
// all other requests for as long as it is expected to be assigned before the caller's deadline.
// Otherwise it is refused with a Retry-After time: holding it longer would make the requests behind
// it late as well.
func (st *State) Admit(ctx context.Context, req AdmitRequest, clock func() time.Time) (Assignment, *result.Error) {
	w := &waiter{req: req, done: make(chan *result.Error, 1)}
	waits, e := st.submit(w, clock())
	if !waits {
		return w.assigned, e
	}
	for {
		timer := time.NewTimer(st.untilNextDispatch(clock()))
		select {
		case e := <-w.done:
			timer.Stop()
			return w.assigned, e
		case <-ctx.Done():
			timer.Stop()
			return st.cancelWaiting(w, req.ID, clock())
		case <-timer.C:
			st.DispatchWaiting(clock())
		}
	}
}

// submit assigns or refuses the request at once or leaves it in the queue, and reports whether it
// waits there.
func (st *State) submit(w *waiter, now time.Time) (bool, *result.Error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refresh(now)
	if st.waiters[w.req.ID] != nil || w.req.ID == "" {
		// The queue is keyed by the caller's request ID. A request without an ID, or with an ID
		// that is in use, is assigned or refused at once.
		assigned, e := st.choose(w.req.Service, w.req.Query, now)
		w.assigned = assigned
		return false, e
	}
	e := st.refuseIfClosed(w.req, now)
	if e == nil {
		e = st.refuseIfResting(w.req, now)
	}
	if e != nil {
		st.recordArrival(w, now)
		return false, e
	}
	st.waiters[w.req.ID] = w
	started := st.enqueue(w, now)
	st.recordArrival(w, now)
	if started {
		return false, nil
	}
	if w.refusal != nil {
		delete(st.waiters, w.req.ID)
		return false, w.refusal
	}
	w.queued = true
	st.notifyChanged()
	return true, nil
}

// enqueue passes a request to the queue, first as one that can meet its target and then as a late
// one, and reports whether it was assigned at once. Otherwise the request waits, unless w.refusal
// is set.
func (st *State) enqueue(w *waiter, now time.Time) bool {
	for {
		switch d := st.queue.Arrive(st.admissionRequest(w, now), now, st.placer(now)).(type) {
		case admission.Start:
			return true
		case admission.Wait:
			st.handleRefusals(d.Displaced, now)
			if !isTransient(w.assignErr) {
				// Waiting can't resolve the reason.
				st.queue.Cancel(w.req.ID)
				w.refusal = w.assignErr
			}
			return false
		case admission.Refused:
			if !w.markLate(d.Code) {
				w.refusal = st.queueRefusal(w, d, now)
				return false
			}
		}
	}
}

// markLate marks as late a request that was refused because of its target. It returns false if the
// request is refused for good.
//
// After an outage of a group of engines, more callers wait for some seconds than the group can
// serve, with a target of 0.4 s and a patience of 2 s. Without the late queue they would be refused
// for a target that is missed anyway, come back once while the queue is still long, and be refused
// for good a second before slots become free.
func (w *waiter) markLate(code result.Code) bool {
	if w.late || code != result.DeadlineUnmeetable && code != result.DeadlinePassed {
		return false
	}
	w.late = true
	return true
}

// recordArrival counts new requests that can meet their target. Retries and late requests are left
// out.
func (st *State) recordArrival(w *waiter, now time.Time) {
	if w.req.AskedBefore || len(w.req.Query.Excluded) > 0 || w.late {
		return
	}
	name := w.req.Service.Name
	if st.arrivals[name] == nil {
		st.arrivals[name] = &arrivalRate{}
	}
	st.arrivals[name].add(now)
}

// isTransient reports whether the reason for which a request was not assigned usually passes within
// moments.
func isTransient(e *result.Error) bool {
	if e == nil {
		return true
	}
	switch e.Code() {
	case result.EndpointBusy, result.EndpointCold, result.GroupClosed, result.EndpointResting:
		return true
	default:
		return false
	}
}

// lateRouteSuffix is appended to a service's name to form the queue's route for its late requests.
// With a route of their own, their slow progress does not affect the drain rate that is measured
// for the others.
const lateRouteSuffix = " late"

// admissionRequest describes a request to the queue.
func (st *State) admissionRequest(w *waiter, now time.Time) admission.Request {
	req := w.req
	first := max(st.latencies.quick(req.Service.Name, req.TargetLatency, now), minFirstPartTime)
	r := admission.Request{
		ID: req.ID, Account: req.Account, Route: req.Service.Name, Worth: 1, Priority: -req.Priority,
		Deadline: req.FirstPartDeadline, ExpectedRunTime: first,
	}
	if w.late {
		r.Route, r.Worth, r.Deadline = req.Service.Name+lateRouteSuffix, lateWeight, st.latestStart(req, now).Add(first)
	}
	return r
}

// latestStart returns until when it is worth starting a late request: the whole answer must be
// complete by the caller's deadline, and its first part must arrive before the caller gives up,
// even if it takes twice the usual time. A caller who has given up does not come back.
func (st *State) latestStart(req AdmitRequest, now time.Time) time.Time {
	first, whole := st.latencies.usual(req.Service.Name, req.TargetLatency, now)
	latest := req.Deadline.Add(-whole)
	if giveUp := req.AbandonAt.Add(-2 * first); !req.AbandonAt.IsZero() && giveUp.Before(latest) {
		latest = giveUp
	}
	return latest
}

// placer returns the function with which the queue assigns requests. mu must be held.
func (st *State) placer(now time.Time) admission.Placer {
	return func(r *admission.Request) bool {
		w := st.waiters[r.ID]
		service := w.req.Service
		if w.late && st.lateRunning[service.Name] >= st.lateSlots(service, now) {
			w.assignErr = result.New(result.EndpointBusy, "").WithRetryAfter(retryAfterBusy)
			return false
		}
		assigned, e := st.choose(service, w.req.Query, now)
		w.assigned, w.assignErr = assigned, e
		if e != nil {
			return false
		}
		w.assigned.requestID, w.assigned.late = r.ID, w.late
		if w.late {
			st.lateRunning[service.Name]++
		}
		return true
	}
}

// DispatchWaiting assigns or refuses waiting requests according to the current state.
func (st *State) DispatchWaiting(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.dispatchWaiting(now)
}

func (st *State) dispatchWaiting(now time.Time) {
	if st.queue.Waiting() == 0 {
		return
	}
	st.refresh(now)
	st.excludeStandstill(now)
	started, refused := st.queue.Next(now, st.placer(now))
	for _, r := range started {
		st.waiters[r.ID].queued = false
		st.waiters[r.ID].done <- nil
	}
	st.handleRefusals(refused, now)
	st.refuseDuringRest(now)
}

// queueRefusal returns the refusal, with a Retry-After time, for a request that the queue refused.
// While the group is closed or all endpoints rest, the drain rate measured before does not predict
// when the service accepts requests again.
func (st *State) queueRefusal(w *waiter, r admission.Refused, now time.Time) *result.Error {
	state, closed := st.groupState(w.req.Service, now)
	if closed {
		return st.refusal(w.req.Service.Name, result.GroupClosed, now)
	}
	if left := st.serviceRest(w.req.Service, state.closedEngines, now); left > 0 {
		return restRefusal(left)
	}
	return result.New(r.Code, "").WithRetryAfter(r.RetryAfter)
}

// excludeFromDrainRate keeps the time up to now out of the drain rate that the queue measures for a
// service.
func (st *State) excludeFromDrainRate(s *routing.Service, now time.Time) {
	st.queue.SkipDrainTime(s.Name, now)
	st.queue.SkipDrainTime(s.Name+lateRouteSuffix, now)
}

// excludeStandstill keeps the time for which groups are closed, or all endpoints of a service rest,
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
		if state, closed := st.groupState(s, now); closed || st.serviceRest(s, state.closedEngines, now) > 0 {
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

// untilNextDispatch returns how long until a waiting request has to be refused or marked late, or
// an endpoint that rests may be sent requests again.
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
	return max(time.Millisecond, d)
}

// cancelWaiting removes a request whose context has ended from the queue.
func (st *State) cancelWaiting(w *waiter, id string, now time.Time) (Assignment, *result.Error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	select {
	case e := <-w.done:
		// The request was assigned or refused at the same moment. An assignment must be used or
		// given back.
		return w.assigned, e
	default:
	}
	st.queue.Cancel(id)
	delete(st.waiters, id)
	st.dispatchWaiting(now)
	return Assignment{}, result.New(result.Cancelled, "while it waited")
}
