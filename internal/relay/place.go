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

// Place is the assignment of a request to an endpoint. It must be given back with Belief.Ended.
type Place struct {
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
// can't, with a retry time.
func (b *Belief) Choose(service *routing.Service, q placement.Query, now time.Time) (Place, *result.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	return b.choose(service, q, now)
}

// choose is Choose with mu held, without refreshing the state first.
func (b *Belief) choose(service *routing.Service, q placement.Query, now time.Time) (Place, *result.Error) {
	state, closed := b.groupState(service, now)
	if closed && !b.mayProbe(service, state, len(q.Tried) > 0, now) {
		return Place{}, b.refusal(service.Name, result.GroupClosed, now)
	}
	q.Route = service.Name
	q.Tried = slices.Concat(q.Tried, state.closedEngines)
	b.excludeBeyondQuota(service, &q, now)
	wait := b.excludeCold(service, &q, now)
	limited := b.excludeLimited(service, &q, now)
	c, ok, reason := b.selector.Choose(q, now)
	if !ok {
		return Place{}, b.noPlaceError(service, reason, wait, limited, now)
	}
	ep := b.endpoints[c.Endpoint]
	b.takeLimitShare(ep, now)
	if ep.ColdAt(now) && service.ColdRate > 0 {
		b.coldShares.Take(ep.ID, service.ColdRate, b.countEntries(now), now)
	}
	p := Place{Endpoint: ep, LoadAge: -1, assignedAt: now, attempt: b.selector.Started(c, q, now)}
	if l, ok := b.loads[ep.ID]; ok {
		p.LoadAge = now.Sub(l.At)
	}
	b.ownRunning[ep.ID]++
	b.recentStarts.record(ep.ID, now)
	b.notifyChanged()
	return p, nil
}

// noPlaceError returns the error for a request that can't be assigned, with a retry time. why is
// the selector's reason, cold the time until a cold endpoint may be sent a request, and limited the
// effect of limits.
func (b *Belief) noPlaceError(service *routing.Service, reason result.Code, cold time.Duration, limited limitState, now time.Time) *result.Error {
	othersExist := reason != result.NoEndpoint
	switch {
	case cold > 0:
		return result.New(result.EndpointCold, "").WithRetryAfter(cold)
	case limited.wait > 0 && !othersExist:
		return result.New(result.EndpointBusy, "").WithRetryAfter(limited.wait)
	case limited.excluded && !othersExist:
		return b.refusal(service.Name, result.EndpointLimited, now)
	default:
		return b.refusal(service.Name, reason, now)
	}
}

func (b *Belief) notifyChanged() {
	if b.Changed != nil {
		b.Changed()
	}
}

// excludeCold excludes cold endpoints of whose rate this entry has used up its share. It returns
// the least time until one of them may be sent a request.
func (b *Belief) excludeCold(service *routing.Service, q *placement.Query, now time.Time) time.Duration {
	if service.ColdRate <= 0 {
		return 0
	}
	minWait := time.Duration(0)
	n := b.countEntries(now)
	for id, ep := range b.endpoints {
		if ep.Service != service.Name || !ep.ColdAt(now) {
			continue
		}
		if b.coldShares.Ready(id, service.ColdRate, n, now) {
			continue
		}
		q.Tried = append(q.Tried, id)
		if w := b.coldShares.Wait(id, service.ColdRate, n, now); minWait == 0 || w < minWait {
			minWait = w
		}
	}
	return minWait
}

// Heard records that a part of the answer has arrived.
func (b *Belief) Heard(p Place, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.selector.Piece(p.attempt, now)
	if b.releaseQueued(p) {
		b.latencies.recordFirst(p.Endpoint.Service, now.Sub(p.assignedAt), now)
	}
	b.outages.answered(p.Endpoint.Service, now)
	if l := b.loads[p.Endpoint.ID]; l.Closed {
		l.Closed = false
		b.loads[p.Endpoint.ID] = l
	}
}

// releaseQueued removes a request from the queue's accounting, and reports whether it was there.
// The queue tracks a request up to the first part of its answer, which is the wait that the target
// bounds. If it learned from the duration of whole answers, it would consider every target out of
// reach.
func (b *Belief) releaseQueued(p Place) bool {
	if p.requestID == "" || b.waiters[p.requestID] == nil {
		return false
	}
	b.queue.Cancel(p.requestID)
	delete(b.waiters, p.requestID)
	return true
}

// Ended gives a place back and records how the attempt ended.
func (b *Belief) Ended(p Place, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.ownRunning[p.Endpoint.ID] - 1; n > 0 {
		b.ownRunning[p.Endpoint.ID] = n
	} else {
		delete(b.ownRunning, p.Endpoint.ID)
	}
	if p.late {
		b.lateRunning[p.Endpoint.Service]--
	}
	b.notifyChanged()
	b.releaseQueued(p)
	defer b.dispatchWaiting(now)
	b.outages.recordOutcome(p.Endpoint.Service, o, now)
	if _, whole := o.(Delivered); whole {
		b.latencies.recordWhole(p.Endpoint.Service, now.Sub(p.assignedAt), now)
	}
	switch o := o.(type) {
	case NotRun:
		if o.Sent {
			b.selector.Refused(p.attempt, 0, now)
			return
		}
		b.selector.Failed(p.attempt, now)
	case Unknown:
		if errors.Is(o.Cause, context.DeadlineExceeded) {
			b.recordFailure(p, now)
			return
		}
		b.selector.Failed(p.attempt, now)
	case Broken:
		b.selector.Failed(p.attempt, now)
	case Failed:
		b.recordFailure(p, now)
	default:
		delete(b.failures, p.Endpoint.ID)
		b.selector.Ended(p.attempt, now)
	}
}

// recordFailure gives back the place of an attempt for which the endpoint reported a failure in a
// complete answer, or did not answer within the request's time. Some kinds of requests fail for
// reasons of their own, up to one in seven, and excluding an endpoint after each of them costs
// capacity: when it was the last endpoint of its service, callers were refused meanwhile. So only
// consecutive failures, from the second on, count against the endpoint.
func (b *Belief) recordFailure(p Place, now time.Time) {
	b.failures[p.Endpoint.ID]++
	if b.failures[p.Endpoint.ID] < failureThreshold {
		b.selector.Ended(p.attempt, now)
		return
	}
	b.selector.Failed(p.attempt, now)
}
