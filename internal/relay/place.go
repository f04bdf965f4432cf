package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Assignment is the assignment of a request to an endpoint. It must be given back with
// State.Release.
type Assignment struct {
	Endpoint directory.Endpoint
	// LoadAge is the age of the load report on which the choice is based, or negative if there was
	// none.
	LoadAge time.Duration
	attempt *placement.Attempt
	// assignedAt is the time of the assignment, and late means that the request could no longer
	// meet its target then.
	assignedAt time.Time
	late       bool
	// requestID identifies the request in the queue, or is "" if it never was there.
	requestID string
}

// Choose assigns a further attempt of a request to an endpoint without queueing, or returns why it
// can't, with a Retry-After time.
func (st *State) Choose(service *routing.Service, q placement.Query, now time.Time) (Assignment, *result.Error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refresh(now)
	return st.choose(service, q, now)
}

// choose is Choose with mu held, without refreshing the state first.
func (st *State) choose(service *routing.Service, q placement.Query, now time.Time) (Assignment, *result.Error) {
	return st.chooseBeyond(service, q, 0, now)
}

// chooseBeyond is choose for a request that may be assigned to an endpoint which is full, but has less than
// extra requests above its allowance. Quotas of free slots don't bind it then.
func (st *State) chooseBeyond(service *routing.Service, q placement.Query, extra int, now time.Time) (Assignment, *result.Error) {
	state, closed := st.groupState(service, now)
	if closed && !st.mayProbe(service, state, len(q.Excluded) > 0, now) {
		return Assignment{}, st.refusal(service.Name, result.GroupClosed, now)
	}
	q.Route = service.Name
	if left := st.serviceRest(service, state.closedEngines, now); left > 0 {
		return Assignment{}, restRefusal(left)
	}
	q.Excluded = slices.Concat(q.Excluded, state.closedEngines)
	st.excludeResting(&q, now)
	beyondQuota := extra == 0 && st.excludeBeyondQuota(service, &q, now)
	wait := st.excludeCold(service, &q, now)
	limited := st.excludeLimited(service, &q, now)
	refusing := st.excludeRefusing(service, &q, now)
	silent := st.excludeSilent(service, &q, now)
	c, ok, reason := st.balancer.Choose(q, now)
	if !ok && extra > 0 {
		c, ok = st.balancer.ChooseBeyond(q, extra, now)
	}
	if !ok {
		return Assignment{}, st.assignmentError(service, reason, wait, limited, refusing || beyondQuota || silent, now)
	}
	ep := st.endpoints[c.Endpoint]
	st.takeLimitShare(service, ep, now)
	if ep.ColdAt(now) && service.ColdRate > 0 {
		st.coldShares.Take(ep.ID, st.coldRate(service, now), now)
	}
	assigned := Assignment{Endpoint: ep, LoadAge: -1, assignedAt: now, attempt: st.balancer.Start(c, q, now)}
	if l, ok := st.loads[ep.ID]; ok {
		assigned.LoadAge = now.Sub(l.At)
	}
	st.ownRunning[ep.ID]++
	st.silences.sent(ep.ID, ep.Service)
	st.quotas.started(service.Name, ep.ID)
	st.notifyChanged()
	return assigned, nil
}

// assignmentError returns the error for a request that can't be assigned, with a Retry-After time.
// reason is the balancer's reason, which is NoEndpoint if there is no endpoint besides the excluded
// ones. cold is the time until a cold endpoint may be sent a request, limited the effect of limits,
// and busy means that endpoints were excluded that refuse requests or can't be heard, or of whose free
// slots this entry has taken its quota.
func (st *State) assignmentError(service *routing.Service, reason result.Code, cold time.Duration, limited limitState, busy bool, now time.Time) *result.Error {
	othersExist := reason != result.NoEndpoint
	switch {
	case cold > 0:
		return result.New(result.EndpointCold, "").WithRetryAfter(cold)
	case limited.wait > 0 && !othersExist:
		return result.New(result.EndpointBusy, "").WithRetryAfter(limited.wait)
	case limited.excluded && !othersExist:
		return st.refusal(service.Name, result.EndpointLimited, now)
	case busy && !othersExist:
		return st.refusal(service.Name, result.EndpointBusy, now)
	default:
		return st.refusal(service.Name, reason, now)
	}
}

func (st *State) notifyChanged() {
	if st.OnChange != nil {
		st.OnChange()
	}
}

// excludeCold excludes cold endpoints of whose rate this entry has used up its share. It returns
// the least time until one of them may be sent a request.
func (st *State) excludeCold(service *routing.Service, q *placement.Query, now time.Time) time.Duration {
	if service.ColdRate <= 0 {
		return 0
	}
	// The views are kept up to date also while no endpoint is cold, so that the share follows the
	// demand of the last moments when one becomes cold.
	st.demandViews(service.Name, now)
	minWait, rate := time.Duration(0), 0.0
	for id, ep := range st.endpoints {
		if ep.Service != service.Name || !ep.ColdAt(now) {
			continue
		}
		if rate == 0 {
			rate = st.coldRate(service, now) // a look at all entries
		}
		if st.coldShares.Ready(id, rate, now) {
			continue
		}
		q.Excluded = append(q.Excluded, id)
		if w := st.coldShares.Wait(id, rate, now); minWait == 0 || w < minWait {
			minWait = w
		}
	}
	return minWait
}

// PartReceived records that a part of the answer has arrived.
func (st *State) PartReceived(assigned Assignment, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recordHeard(assigned, now)
	st.balancer.Progress(assigned.attempt, now)
	st.refusing.forget(assigned.Endpoint.ID)
	if st.releaseQueued(assigned) {
		st.latencies.recordFirst(assigned.Endpoint.Service, now.Sub(assigned.assignedAt), now)
	}
	st.outages.answered(assigned.Endpoint.Service, now)
	// An engine that answers belongs to an open group, even if the last report said otherwise.
	if l := st.loads[assigned.Endpoint.ID]; l.Closed {
		l.Closed = false
		st.loads[assigned.Endpoint.ID] = l
	}
}

// releaseQueued removes a request from the queue's accounting, and reports whether it was there.
// The queue tracks a request up to the first part of its answer, which is the wait that the target
// bounds. If it learned from the duration of whole answers, it would consider every target out of
// reach.
func (st *State) releaseQueued(assigned Assignment) bool {
	if assigned.requestID == "" || st.waiters[assigned.requestID] == nil {
		return false
	}
	st.queue.Cancel(assigned.requestID)
	delete(st.waiters, assigned.requestID)
	return true
}

// Release gives an assignment back and records how the attempt ended.
func (st *State) Release(assigned Assignment, o Outcome, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if n := st.ownRunning[assigned.Endpoint.ID] - 1; n > 0 {
		st.ownRunning[assigned.Endpoint.ID] = n
	} else {
		delete(st.ownRunning, assigned.Endpoint.ID)
	}
	if assigned.late {
		st.lateRunning[assigned.Endpoint.Service]--
	}
	if isHeard(o) {
		st.silences.tracker.Heard(assigned.Endpoint.ID, now)
	}
	_, begun := assigned.attempt.LastPartAt()
	st.silences.tracker.Ended(assigned.Endpoint.ID, begun)
	if _, listed := st.endpoints[assigned.Endpoint.ID]; !listed {
		st.forgetSilence(assigned.Endpoint.ID)
	}
	st.quotas.markStale()
	st.notifyChanged()
	st.releaseQueued(assigned)
	defer st.dispatchWaiting(now)
	st.outages.recordOutcome(assigned.Endpoint.Service, o, now)
	if _, whole := o.(Delivered); whole {
		st.latencies.recordWhole(assigned.Endpoint.Service, now.Sub(assigned.assignedAt), now)
	}
	if limitErrorOf(o) != nil {
		st.recordFailure(assigned, now)
		return
	}
	switch o := o.(type) {
	case NotRun:
		if o.Code == result.EndpointBusy {
			st.refusing.record(assigned.Endpoint.ID, assigned.assignedAt, now)
		}
		if o.Sent {
			st.balancer.Refuse(assigned.attempt, 0, now)
			return
		}
		st.balancer.Fail(assigned.attempt, now)
	case Unknown:
		if errors.Is(o.Cause, context.DeadlineExceeded) {
			st.recordFailure(assigned, now)
			return
		}
		st.balancer.Fail(assigned.attempt, now)
	case Interrupted:
		st.balancer.Fail(assigned.attempt, now)
	case Failed, Unusable:
		st.recordFailure(assigned, now)
	default:
		delete(st.failures, assigned.Endpoint.ID)
		st.balancer.End(assigned.attempt, now)
	}
}

// recordFailure ends an attempt for which the endpoint reported a failure in a complete answer, did
// not answer within the request's time, or sent an answer that exceeds a limit. Some kinds of requests fail for reasons of their own,
// up to one in seven, and excluding an endpoint after each of them costs capacity: when it was the
// last endpoint of its service, callers were refused meanwhile. So only consecutive failures, from
// the second on, count against the endpoint.
func (st *State) recordFailure(assigned Assignment, now time.Time) {
	st.failures[assigned.Endpoint.ID]++
	if st.failures[assigned.Endpoint.ID] < failureThreshold {
		st.balancer.End(assigned.attempt, now)
		return
	}
	st.balancer.Fail(assigned.attempt, now)
}
