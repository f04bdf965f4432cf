package admission

import (
	"math"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// displacedBefore orders the waiting requests of one rank that may be displaced:
// those of callers that have not asked before first, whose retry may still be
// served, then lowest value density, then largest weighted depth, then newest.
func displacedBefore(a, b *item) bool {
	if a.req.AskedBefore != b.req.AskedBefore {
		return b.req.AskedBefore
	}
	if a.band != b.band {
		return a.band < b.band
	}
	if a.weightedDepth != b.weightedDepth {
		return a.weightedDepth > b.weightedDepth
	}
	return a.seq > b.seq
}

// waitDiscount scales the estimated wait before it is compared with the
// remaining time in order to refuse a new request. The drain rate is measured
// from few completions and may be too low; a request that is queued in error
// can still be refused in time, while one that is refused in error is lost.
const waitDiscount = 0.85

// checkDeadline refuses a request that cannot complete by its deadline. During
// a backlog, queueing such a request would only delay the refusal and take the
// place of a request that can still be served.
func (c *Controller) checkDeadline(it *item, r *route, now time.Time) (Refused, bool) {
	if !now.Before(it.req.Deadline) {
		return Refused{Code: result.DeadlinePassed}, false
	}
	slack := it.latestStart.Sub(now)
	expectedWait := time.Duration(0)
	if r.waiting > 0 {
		expectedWait = r.estimateWait(it.flow, it.band, c.FairFraction)
	}
	likelyWait := expectedWait
	if r.mostUrgentWaiting() < it.flow.class.number {
		likelyWait = min(expectedWait, r.floorWait(it.flow.class))
	}
	if time.Duration(waitDiscount*float64(likelyWait)) <= slack && slack >= 0 {
		return Refused{}, true
	}
	return c.refuse(it, r, result.DeadlineUnmeetable, expectedWait-max(slack, 0), now), false
}

// checkLimits applies the account's own limits.
func (c *Controller) checkLimits(it *item, now time.Time) (Refused, bool) {
	a := it.account
	if a.open >= a.concurrencyLimit() {
		serviceRate := float64(a.open) / it.work
		retryAfter := a.refusals.retryAfter(it.req.ID, 0, serviceRate, now)
		return Refused{Code: result.AccountConcurrency, RetryAfter: retryAfter}, false
	}
	ok, untilReady := a.bucket.ready(now)
	if !ok {
		retryAfter := a.refusals.retryAfter(it.req.ID, untilReady, a.bucket.rate, now)
		return Refused{Code: result.AccountRate, RetryAfter: retryAfter}, false
	}
	return Refused{}, true
}

// refuse returns a refusal with a retry delay derived from the drain rate of the
// request's class.
func (c *Controller) refuse(it *item, r *route, code result.Code, minDelay time.Duration, now time.Time) Refused {
	class := it.flow.class.number
	serviceRate := r.drain.rate(class, r.running) / it.work
	retryAfter := r.refusals.retryAfter(class, it.req.ID, minDelay, serviceRate, now)
	return Refused{Code: code, RetryAfter: retryAfter}
}

// enqueue puts the item into the queue. If the queue is full, it displaces
// another item or refuses this one.
func (c *Controller) enqueue(it *item, r *route, now time.Time) Decision {
	expectedWait := r.estimateWait(it.flow, it.band, c.FairFraction)
	it.protected = c.mayProtect(it.account, it.flow.class)
	it.weightedDepth = float64(it.account.waiting+1) / it.account.limits.Weight
	var displaced []QueuedRefusal
	if c.waiting >= c.MaxWaiting {
		victim := c.victimFor(it)
		if victim == nil {
			return c.refuse(it, r, result.QueueFull, expectedWait, now)
		}
		c.displaced[0] = c.evict(victim, result.Displaced, now)
		c.displaced[0].ByRoute, c.displaced[0].ByClass = it.req.Route, it.flow.class.number
		displaced = c.displaced[:]
	}
	c.admit(it)
	r.countArrival(it, now)
	c.insert(it, r)
	return Wait{Expected: expectedWait, Displaced: displaced}
}

// mayProtect reports whether one more waiting request of a can be protected
// from displacement. This guards against one account that floods the queue with
// work of high worth: the accounts with waiting requests of the class divide
// FairFraction of MaxWaiting by weight, and each may have as many protected
// requests as its part of that, but at least one. Fair share thus always finds
// requests of the other accounts. It reports false while half of MaxWaiting
// requests, over all accounts, are protected.
func (c *Controller) mayProtect(a *account, q *classQueue) bool {
	weight := q.activeWeight
	if a.waiting == 0 {
		weight += a.limits.Weight
	}
	protectedTotal := c.FairFraction * float64(c.MaxWaiting)
	accountMax := math.Max(1, protectedTotal*a.limits.Weight/math.Max(weight, a.limits.Weight))
	return float64(a.protected+1) <= accountMax && c.protected < c.MaxWaiting/2
}

func (c *Controller) insert(it *item, r *route) {
	c.waiting++
	it.account.waiting++
	if it.protected {
		c.protected++
		it.account.protected++
	}
	r.places.add(it)
	c.byLatestStart.add(it)
	r.add(it)
}

// dequeue removes a waiting item from the queue; it stays open.
func (c *Controller) dequeue(it *item, r *route) {
	c.waiting--
	it.account.waiting--
	r.places.remove(it)
	if it.protected {
		c.protected--
		it.account.protected--
		it.protected = false
	}
	c.byLatestStart.remove(it)
	r.remove(it)
}

// evict removes a waiting item from the queue and refuses it.
func (c *Controller) evict(it *item, code result.Code, now time.Time) QueuedRefusal {
	r := c.routeFor(it.req.Route)
	expectedWait := r.estimateWait(it.flow, it.band, c.FairFraction)
	refusal := QueuedRefusal{ID: it.req.ID, Refused: c.refuse(it, r, code, expectedWait, now)}
	c.dequeue(it, r)
	c.removeItem(it, r)
	return refusal
}

// Next starts waiting requests for as long as place assigns slots to them, and
// refuses those that can no longer meet their deadline. Call it after Done,
// Arrive and Requeue, when a load report shows free slots, and at the time that
// NextRefusal returns. The route that is served first rotates, because routes
// may share endpoints; those for late requests are served last.
func (c *Controller) Next(now time.Time, place Placer) (started []Request, refused []QueuedRefusal) {
	c.init()
	refused = c.expire(now)
	started = c.startRoutes(false, nil, now, place)
	started = c.startRoutes(true, started, now, place)
	c.nextRoute++
	return started, refused
}

// startRoutes starts requests of the routes for late requests, or of the others.
func (c *Controller) startRoutes(late bool, started []Request, now time.Time, place Placer) []Request {
	for i := range c.routeOrder {
		r := c.routeOrder[(c.nextRoute+i)%len(c.routeOrder)]
		if r.waiting == 0 || r.late != late {
			continue
		}
		r.drain.advance(now, r.mostUrgentWaiting())
		started = c.startRoute(r, started, now, place)
	}
	return started
}

func (c *Controller) startRoute(r *route, started []Request, now time.Time, place Placer) []Request {
	for {
		it, fair := r.next(place)
		if it == nil {
			return started
		}
		c.dequeue(it, r)
		c.start(it, r, fair, true, now)
		started = append(started, it.req)
	}
}

// expire refuses each waiting request as soon as it can no longer start in
// time, so that no caller waits for an answer that cannot arrive by its
// deadline.
func (c *Controller) expire(now time.Time) []QueuedRefusal {
	var refused []QueuedRefusal
	for {
		it := c.byLatestStart.head()
		if it == nil || it.latestStart.After(now) {
			return refused
		}
		code := result.DeadlineUnmeetable
		if !now.Before(it.req.Deadline) {
			code = result.DeadlinePassed
		}
		refused = append(refused, c.evict(it, code, now))
	}
}

// NextRefusal returns the time by which Next must be called, and whether any
// request is waiting.
func (c *Controller) NextRefusal() (time.Time, bool) {
	it := c.byLatestStart.head()
	if it == nil {
		return time.Time{}, false
	}
	return it.latestStart, true
}

// Requeue returns a started request to the queue after its endpoint has
// reported that it was not run. The request keeps its arrival order and takes
// no second rate token; it can no longer be displaced. It is refused if it can
// no longer meet its deadline, and with result.MalformedRequest if no running
// request has this ID.
func (c *Controller) Requeue(id string, now time.Time) Decision {
	it := c.items[id]
	if it == nil || !it.running {
		return Refused{Code: result.MalformedRequest}
	}
	r := c.routeFor(it.req.Route)
	r.drain.advance(now, r.mostUrgentWaiting())
	it.flow.class.correctCharge(it, 0)
	r.drain.takeBack(it.flow.class.number, it.work)
	it.running = false
	c.running--
	r.running--
	if !it.latestStart.After(now) {
		c.removeItem(it, r)
		return c.refuse(it, r, result.DeadlineUnmeetable, 0, now)
	}
	expectedWait := r.estimateWait(it.flow, it.band, c.FairFraction)
	it.protected = true
	c.insert(it, r)
	return Wait{Expected: expectedWait}
}
