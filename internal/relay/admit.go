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

// waiter is a request that asks to be assigned to an endpoint. A request is late if its answer can
// no longer meet the latency target.
type waiter struct {
	ask Ask
	// done receives one value when a queued request has been assigned to an endpoint (nil) or has
	// been refused.
	done chan *result.Error

	// Belief.mu guards the fields below. queued means that the request is in the queue, and late
	// that it can no longer meet its target.
	queued, late bool
	place        Place
	// placeErr is why the request could not be assigned on the last try, and refusal why it is
	// refused for good.
	placeErr, refusal *result.Error
}

// Ask is a request to be assigned to an endpoint.
type Ask struct {
	Service *routing.Service
	Query   placement.Query
	// ID is unique among the open requests. A request without an ID, or with one that is in use, is
	// not queued.
	ID string
	// Account is the name of the account, or that of requests without one.
	Account string
	// Target is the time at which the first part of the answer is due, and End the caller's
	// deadline. TargetTime is the latency target from which Target follows.
	Target, End time.Time
	TargetTime  time.Duration
	// CameBack means that an earlier attempt of the caller was refused or failed.
	CameBack bool
	// Leaves is when the caller gives up if no part of the answer has arrived; zero means at End.
	Leaves   time.Time
	Priority int
}

// Admit assigns a request to an endpoint, after waiting in the queue if necessary, or returns why
// it can't be assigned. The caller must call Ended with each place that it gets.
//
// Under overload, a request waits for as long as its answer can meet its target, and then behind
// all other requests for as long as it is expected to be assigned before the caller's deadline.
// Otherwise it is refused with a retry time: holding it longer would make the requests behind it
// late as well.
func (b *Belief) Admit(ctx context.Context, a Ask, clock func() time.Time) (Place, *result.Error) {
	w := &waiter{ask: a, done: make(chan *result.Error, 1)}
	waits, e := b.submit(w, clock())
	if !waits {
		return w.place, e
	}
	for {
		timer := time.NewTimer(b.untilNextRefusal(clock()))
		select {
		case e := <-w.done:
			timer.Stop()
			return w.place, e
		case <-ctx.Done():
			timer.Stop()
			return b.cancelWaiting(w, a.ID, clock())
		case <-timer.C:
			b.Pump(clock())
		}
	}
}

// submit passes the request to the queue and reports whether it waits there.
func (b *Belief) submit(w *waiter, now time.Time) (bool, *result.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	if b.waiters[w.ask.ID] != nil || w.ask.ID == "" {
		// The queue is keyed by the caller's request ID. A request without an ID, or with an ID
		// that is in use, is assigned or refused at once.
		p, e := b.choose(w.ask.Service, w.ask.Query, now)
		w.place = p
		return false, e
	}
	if e := b.refuseIfClosed(w.ask, now); e != nil {
		b.recordArrival(w, now)
		return false, e
	}
	b.waiters[w.ask.ID] = w
	placed := b.enqueue(w, now)
	b.recordArrival(w, now)
	if placed {
		return false, nil
	}
	if w.refusal != nil {
		delete(b.waiters, w.ask.ID)
		return false, w.refusal
	}
	w.queued = true
	b.notifyChanged()
	return true, nil
}

// enqueue passes a request to the queue, first as one that can meet its target and then as a late
// one, and reports whether it was assigned at once. Otherwise the request waits, unless w.refusal
// is set.
func (b *Belief) enqueue(w *waiter, now time.Time) bool {
	for {
		switch d := b.queue.Arrive(b.admissionRequest(w, now), now, b.placer(now)).(type) {
		case admission.Start:
			return true
		case admission.Wait:
			b.handleRefusals(d.Displaced, now)
			if !isTransient(w.placeErr) {
				// Waiting can't resolve the reason.
				b.queue.Cancel(w.ask.ID)
				w.refusal = w.placeErr
			}
			return false
		case admission.Refused:
			if !w.markLate(d.Code) {
				w.refusal = b.queueRefusal(w, d, now)
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
func (b *Belief) recordArrival(w *waiter, now time.Time) {
	if w.ask.CameBack || len(w.ask.Query.Tried) > 0 || w.late {
		return
	}
	name := w.ask.Service.Name
	if b.arrivals[name] == nil {
		b.arrivals[name] = &arrivalRate{}
	}
	b.arrivals[name].add(now)
}

// isTransient reports whether the reason for which a request was not assigned usually passes within
// moments.
func isTransient(e *result.Error) bool {
	if e == nil {
		return true
	}
	switch e.Code() {
	case result.EndpointBusy, result.EndpointCold, result.GroupClosed:
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
func (b *Belief) admissionRequest(w *waiter, now time.Time) admission.Request {
	a := w.ask
	first := max(b.latencies.quick(a.Service.Name, a.TargetTime, now), minFirstPartTime)
	r := admission.Request{
		ID: a.ID, Account: a.Account, Route: a.Service.Name, Worth: 1, Priority: -a.Priority,
		Deadline: a.Target, ExpectedRunTime: first,
	}
	if w.late {
		r.Route, r.Worth, r.Deadline = a.Service.Name+lateRouteSuffix, lateWeight, b.latestStart(a, now).Add(first)
	}
	return r
}

// latestStart returns until when it is worth starting a late request: the whole answer must be
// complete by the caller's deadline, and its first part must arrive before the caller gives up,
// even if it takes twice the usual time. A caller who has given up does not come back.
func (b *Belief) latestStart(a Ask, now time.Time) time.Time {
	first, whole := b.latencies.usual(a.Service.Name, a.TargetTime, now)
	latest := a.End.Add(-whole)
	if giveUp := a.Leaves.Add(-2 * first); !a.Leaves.IsZero() && giveUp.Before(latest) {
		latest = giveUp
	}
	return latest
}

// placer returns the function with which the queue assigns requests. mu must be held.
func (b *Belief) placer(now time.Time) admission.Placer {
	return func(r *admission.Request) bool {
		w := b.waiters[r.ID]
		service := w.ask.Service
		if w.late && b.lateRunning[service.Name] >= b.lateSlots(service, now) {
			w.placeErr = result.New(result.EndpointBusy, "").WithRetryAfter(retryAfterBusy)
			return false
		}
		p, e := b.choose(service, w.ask.Query, now)
		w.place, w.placeErr = p, e
		if e != nil {
			return false
		}
		w.place.requestID, w.place.late = r.ID, w.late
		if w.late {
			b.lateRunning[service.Name]++
		}
		return true
	}
}

// Pump assigns or refuses waiting requests according to the current state.
func (b *Belief) Pump(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dispatchWaiting(now)
}

func (b *Belief) dispatchWaiting(now time.Time) {
	if b.queue.Waiting() == 0 {
		return
	}
	b.refresh(now)
	b.excludeClosedGroups(now)
	started, refused := b.queue.Next(now, b.placer(now))
	for _, r := range started {
		b.waiters[r.ID].queued = false
		b.waiters[r.ID].done <- nil
	}
	b.handleRefusals(refused, now)
}

// queueRefusal returns the refusal, with a retry time, for a request that the queue refused. While
// the group is closed, the drain rate measured before does not predict when it opens.
func (b *Belief) queueRefusal(w *waiter, r admission.Refused, now time.Time) *result.Error {
	if _, closed := b.groupState(w.ask.Service, now); closed {
		return b.refusal(w.ask.Service.Name, result.GroupClosed, now)
	}
	return result.New(r.Code, "").WithRetryAfter(r.RetryAfter)
}

// excludeFromDrainRate keeps the time up to now out of the drain rate that the queue measures for a
// service.
func (b *Belief) excludeFromDrainRate(s *routing.Service, now time.Time) {
	b.queue.SkipDrainTime(s.Name, now)
	b.queue.SkipDrainTime(s.Name+lateRouteSuffix, now)
}

// excludeClosedGroups keeps the time for which groups are closed out of the drain rate that the
// queue measures. Otherwise the queue would refuse callers for seconds after a group opens.
func (b *Belief) excludeClosedGroups(now time.Time) {
	seen := map[string]bool{}
	for _, w := range b.waiters {
		s := w.ask.Service
		if !w.queued || seen[s.Name] {
			continue
		}
		seen[s.Name] = true
		if _, closed := b.groupState(s, now); closed {
			b.excludeFromDrainRate(s, now)
		}
	}
}

// handleRefusals ends the wait of requests that the queue has refused, or lets them wait on as late
// requests.
func (b *Belief) handleRefusals(refused []admission.QueuedRefusal, now time.Time) {
	for _, r := range refused {
		w := b.waiters[r.ID]
		if w == nil {
			continue
		}
		if !w.markLate(r.Code) {
			w.refusal = b.queueRefusal(w, r.Refused, now)
		} else if b.enqueue(w, now) {
			w.queued = false
			w.done <- nil
			continue
		}
		if w.refusal != nil {
			delete(b.waiters, r.ID)
			w.done <- w.refusal
		}
	}
}

// untilNextRefusal returns how long until a waiting request has to be refused or marked late.
func (b *Belief) untilNextRefusal(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.queue.NextRefusal()
	if !ok {
		return time.Second
	}
	return max(time.Millisecond, at.Sub(now))
}

// cancelWaiting removes a request whose context has ended from the queue.
func (b *Belief) cancelWaiting(w *waiter, id string, now time.Time) (Place, *result.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case e := <-w.done:
		// The request was assigned at the same moment; the place must be used or given back.
		return w.place, e
	default:
	}
	b.queue.Cancel(id)
	delete(b.waiters, id)
	b.dispatchWaiting(now)
	return Place{}, result.New(result.Cancelled, "while it waited")
}
