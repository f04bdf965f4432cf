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

// Place is an endpoint that a request has been given.
type Place struct {
	Endpoint directory.Endpoint
	// LoadAge is the age of the load report behind the choice, or negative when
	// there was none.
	LoadAge time.Duration
	attempt *placement.Attempt
	// given is when the request got it, and late that it could not be on time then.
	given time.Time
	late  bool
	// id names the request in the queue, or is "" for one that never was.
	id string
}

// Choose gives a further attempt of a request an endpoint at once. Otherwise it
// returns why there is none, and when it is worth asking again.
func (b *Belief) Choose(service *routing.Service, q placement.Query, now time.Time) (Place, *result.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	return b.choose(service, q, now)
}

// choose gives a request a place, with mu held.
func (b *Belief) choose(service *routing.Service, q placement.Query, now time.Time) (Place, *result.Error) {
	group, closed := b.closure(service, now)
	if closed && !b.mayProbe(service, group, len(q.Tried) > 0, now) {
		return Place{}, b.refusal(service.Name, result.GroupClosed, now)
	}
	q.Route = service.Name
	q.Tried = slices.Concat(q.Tried, group.engines)
	b.leaveToOthers(service, &q, now)
	wait := b.avoidCold(service, &q, now)
	limited := b.avoidLimited(service, &q, now)
	c, ok, why := b.picture.Choose(q, now)
	if !ok {
		return Place{}, b.noPlace(service, why, wait, limited, now)
	}
	ep := b.endpoints[c.Endpoint]
	b.takeLimited(ep, now)
	if ep.ColdAt(now) && service.ColdRate > 0 {
		b.cold.Take(ep.ID, service.ColdRate, b.countEntries(now), now)
	}
	p := Place{Endpoint: ep, LoadAge: -1, given: now, attempt: b.picture.Started(c, q, now)}
	if l, ok := b.loads[ep.ID]; ok {
		p.LoadAge = now.Sub(l.At)
	}
	b.own[ep.ID]++
	b.turns.took(ep.ID, now)
	b.changed()
	return p, nil
}

// noPlace says why a request has got no place, and when it is worth asking again: why is
// the reason but for shares, cold how long until a cold endpoint may be asked.
func (b *Belief) noPlace(service *routing.Service, why result.Code, cold time.Duration, limited limitation, now time.Time) *result.Error {
	others := why != result.NoEndpoint
	switch {
	case cold > 0:
		return result.New(result.EndpointCold, "").WithRetryAfter(cold)
	case limited.wait > 0 && !others:
		return result.New(result.EndpointBusy, "").WithRetryAfter(limited.wait)
	case limited.barred && !others:
		return b.refusal(service.Name, result.EndpointLimited, now)
	default:
		return b.refusal(service.Name, why, now)
	}
}

func (b *Belief) changed() {
	if b.Changed != nil {
		b.Changed()
	}
}

// avoidCold keeps the request off cold endpoints of which this entry has used
// up its share, and returns the least time until one may be asked.
func (b *Belief) avoidCold(service *routing.Service, q *placement.Query, now time.Time) time.Duration {
	if service.ColdRate <= 0 {
		return 0
	}
	least := time.Duration(0)
	n := b.countEntries(now)
	for id, ep := range b.endpoints {
		if ep.Service != service.Name || !ep.ColdAt(now) {
			continue
		}
		if b.cold.Ready(id, service.ColdRate, n, now) {
			continue
		}
		q.Tried = append(q.Tried, id)
		if w := b.cold.Wait(id, service.ColdRate, n, now); least == 0 || w < least {
			least = w
		}
	}
	return least
}

// Heard notes that a part of the answer has come.
func (b *Belief) Heard(p Place, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.picture.Piece(p.attempt, now)
	if b.begun(p) {
		b.times.noteFirst(p.Endpoint.Service, now.Sub(p.given), now)
	}
	b.outages.served(p.Endpoint.Service, now)
	if l := b.loads[p.Endpoint.ID]; l.Closed {
		l.Closed = false
		b.loads[p.Endpoint.ID] = l
	}
}

// begun takes a request out of the queue's books, and reports whether it was in
// them. They end with the first part of its answer, as the wait that is bounded
// does; how long the rest takes must not be learnt from, or the queue would take
// every target for out of reach.
func (b *Belief) begun(p Place) bool {
	if p.id == "" || b.waiters[p.id] == nil {
		return false
	}
	b.queue.Cancel(p.id)
	delete(b.waiters, p.id)
	return true
}

// Ended takes a request off its endpoint.
func (b *Belief) Ended(p Place, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.own[p.Endpoint.ID] - 1; n > 0 {
		b.own[p.Endpoint.ID] = n
	} else {
		delete(b.own, p.Endpoint.ID)
	}
	if p.late {
		b.lateRunning[p.Endpoint.Service]--
	}
	b.changed()
	b.begun(p)
	defer b.pump(now)
	b.outages.ended(p.Endpoint.Service, o, now)
	if _, whole := o.(Delivered); whole {
		b.times.noteWhole(p.Endpoint.Service, now.Sub(p.given), now)
	}
	switch o := o.(type) {
	case NotRun:
		if o.Sent {
			b.picture.Refused(p.attempt, 0, now)
			return
		}
		b.picture.Failed(p.attempt, now)
	case Unknown:
		if errors.Is(o.Cause, context.DeadlineExceeded) {
			b.failed(p, now)
			return
		}
		b.picture.Failed(p.attempt, now)
	case Broken:
		b.picture.Failed(p.attempt, now)
	case Failed:
		b.failed(p, now)
	default:
		delete(b.failures, p.Endpoint.ID)
		b.picture.Ended(p.attempt, now)
	}
}

// failed takes a request off an endpoint that reported a failure in a whole
// answer, or did not answer in the time that the request had. Requests fail for
// their own reasons, up to one in seven of some kinds, and an endpoint that is
// left alone for each of them is missed: the last one of
// a service was, and callers were refused while it rested. So only the second
// failure in a row counts as the endpoint's.
func (b *Belief) failed(p Place, now time.Time) {
	b.failures[p.Endpoint.ID]++
	if b.failures[p.Endpoint.ID] < failuresInARow {
		b.picture.Ended(p.attempt, now)
		return
	}
	b.picture.Failed(p.attempt, now)
}
