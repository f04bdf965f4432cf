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
	// Subjects is what the request may be refused for while it waits.
	Subjects Subjects
	// FirstPartDeadline is the time at which the first part of the answer is due, and Deadline the
	// caller's deadline. TargetLatency is the latency target from which FirstPartDeadline follows.
	FirstPartDeadline, Deadline time.Time
	TargetLatency               time.Duration
	// AskedBefore means that an earlier attempt of the caller was refused or failed.
	AskedBefore bool
	// AbandonAt is when the caller gives up if no part of the answer has arrived; zero means at
	// Deadline.
	AbandonAt time.Time
	// Class is the request's class among those of its service.
	Class routing.Class
	// Wait, if set, receives why the request waited.
	Wait *Wait
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
			return st.cancelWaiting(ctx, w, clock())
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
	if e := st.refuseHeldBack(w.req); e != nil {
		return false, e
	}
	if e := st.refuseIfStopping(w.req, now); e != nil {
		return false, e
	}
	if st.waiters[w.req.ID] != nil || w.req.ID == "" {
		// The queue is keyed by the caller's request ID. A request without an ID, or with an ID
		// that is in use, is assigned or refused at once.
		assigned, e := st.chooseNew(w.req.Service, w.req.Query, now)
		w.assigned = assigned
		return false, e
	}
	e := st.refuseIfClosed(w.req, now)
	if e == nil {
		e = st.refuseIfResting(w.req, now)
	}
	if e == nil {
		e = st.refuseIfStanding(w.req, now)
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

// queueRoutes returns the routes of the queue for which services share it equally. Without services
// that have classes there are none, and requests of all services compete by worth alone.
func queueRoutes(t *routing.Table) []admission.RouteConfig {
	var routes []admission.RouteConfig
	classes := false
	for _, s := range t.Services() {
		has := t.HasClasses(s.Name)
		classes = classes || has
		routes = append(routes,
			admission.RouteConfig{Route: s.Name, Service: s.Name},
			admission.RouteConfig{Route: s.Name + lateRouteSuffix, Service: s.Name, Late: has})
	}
	if !classes {
		return nil
	}
	return routes
}

// admissionRequest describes a request to the queue.
func (st *State) admissionRequest(w *waiter, now time.Time) admission.Request {
	req := w.req
	first := max(st.latencies.quick(req.Service.Name, req.TargetLatency, now), minFirstPartTime)
	r := admission.Request{
		ID: req.ID, Account: req.Account, Route: req.Service.Name, Worth: 1, Class: int(req.Class),
		Deadline: req.FirstPartDeadline, ExpectedRunTime: first,
		AskedBefore: req.AskedBefore && st.table.HasClasses(req.Service.Name),
	}
	if w.late {
		r.Route, r.Worth, r.Deadline = req.Service.Name+lateRouteSuffix, lateWeight, st.latestStart(req, now).Add(first)
	}
	r.Deadline = st.endBy(r.Deadline)
	return r
}

// latestStart returns until when it is worth starting a late request: the whole answer must be
// complete by the caller's deadline, and its first part must arrive before the caller gives up,
// even if it takes twice the usual time. A caller who has given up does not come back.
func (st *State) latestStart(req AdmitRequest, now time.Time) time.Time {
	first, whole := st.latencies.usual(req.Service.Name, req.TargetLatency, now)
	latest := st.endBy(req.Deadline).Add(-whole)
	if giveUp := req.AbandonAt.Add(-2 * first); !req.AbandonAt.IsZero() && giveUp.Before(latest) {
		latest = giveUp
	}
	return latest
}
