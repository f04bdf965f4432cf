package admission

import (
	"math"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// firstDisplaced orders the waiting requests that may be displaced: least worth
// first, and among equals the one that its account had most waiting before.
func firstDisplaced(a, b *item) bool {
	if a.band != b.band {
		return a.band < b.band
	}
	if a.depth != b.depth {
		return a.depth > b.depth
	}
	return a.seq > b.seq
}

// sure is the part of an estimated wait that must exceed the time left before a
// new request is refused. The drain rate is measured from few completions and
// may come out too low; a request that is queued by mistake is still refused in
// time, one that is refused by mistake is lost.
const sure = 0.85

// checkDeadline refuses what can't be answered in time. The load is a backlog:
// holding such a request would only delay the refusal and take the place of a
// request that can still be served.
func (c *Controller) checkDeadline(it *item, r *route, now time.Time) (Refuse, bool) {
	if !now.Before(it.req.Deadline) {
		return Refuse{Code: result.DeadlinePassed}, false
	}
	slack := it.latest.Sub(now)
	wait := time.Duration(0)
	if r.waiting > 0 {
		wait = r.wait(it.flow, it.band, c.FairPart)
	}
	if time.Duration(sure*float64(wait)) <= slack && slack >= 0 {
		return Refuse{}, true
	}
	return c.refuse(it, r, result.DeadlineUnmeetable, wait-max(slack, 0), now), false
}

// checkLimits applies the account's own limits.
func (c *Controller) checkLimits(it *item, now time.Time) (Refuse, bool) {
	a := it.account
	if a.open >= a.concurrency() {
		perSecond := float64(a.open) / it.work
		back := a.refused.comeBack(it.req.ID, 0, perSecond, now)
		return Refuse{Code: result.AccountConcurrency, RetryAfter: back}, false
	}
	ok, wait := a.bucket.ready(now)
	if !ok {
		back := a.refused.comeBack(it.req.ID, wait, a.bucket.rate, now)
		return Refuse{Code: result.AccountRate, RetryAfter: back}, false
	}
	return Refuse{}, true
}

// refuse returns a refusal with a come-back time from the drain rate.
func (c *Controller) refuse(it *item, r *route, code result.Code, least time.Duration, now time.Time) Refuse {
	perSecond := r.drain.rate(r.running) / it.work
	back := r.refused.comeBack(it.req.ID, least, perSecond, now)
	return Refuse{Code: code, RetryAfter: back}
}

// enqueue puts the item into the queue, displacing another when it is full.
func (c *Controller) enqueue(it *item, r *route, now time.Time) Decision {
	expected := r.wait(it.flow, it.band, c.FairPart)
	it.kept = c.mayKeep(it.account, r)
	it.depth = float64(it.account.waiting+1) / it.account.limits.Weight
	var displaced []Refusal
	if c.waiting >= c.MaxWaiting {
		victim := c.displace.head()
		if victim == nil || !(it.kept || firstDisplaced(victim, it)) {
			return c.refuse(it, r, result.QueueFull, expected, now)
		}
		displaced = append(displaced, c.evict(victim, result.Displaced, now))
	}
	c.accept(it)
	r.inflow.add(it.band, it.work, now)
	c.insert(it, r)
	return Wait{Expected: expected, Displaced: displaced}
}

// mayKeep reports whether one more waiting request of a is safe from being
// displaced. The load is one account that floods the queue with work of high
// worth; each account keeps its weighted part of the places that fair share
// serves, so that the others always have something to be picked.
func (c *Controller) mayKeep(a *account, r *route) bool {
	weight := r.weight
	if a.waiting == 0 {
		weight += a.limits.Weight
	}
	places := c.FairPart * float64(c.MaxWaiting)
	own := math.Max(1, places*a.limits.Weight/math.Max(weight, a.limits.Weight))
	return float64(a.kept+1) <= own && c.kept < c.MaxWaiting/2
}

func (c *Controller) insert(it *item, r *route) {
	c.waiting++
	it.account.waiting++
	if it.kept {
		c.kept++
		it.account.kept++
	} else {
		c.displace.add(it)
	}
	c.byStart.add(it)
	r.add(it)
}

// unqueue takes a waiting item out of the queue; it stays open.
func (c *Controller) unqueue(it *item, r *route) {
	c.waiting--
	it.account.waiting--
	if it.kept {
		c.kept--
		it.account.kept--
		it.kept = false
	} else {
		c.displace.remove(it)
	}
	c.byStart.remove(it)
	r.remove(it)
}

// evict refuses a waiting item.
func (c *Controller) evict(it *item, code result.Code, now time.Time) Refusal {
	r := c.routeOf(it.req.Route)
	wait := r.wait(it.flow, it.band, c.FairPart)
	ref := Refusal{ID: it.req.ID, Refuse: c.refuse(it, r, code, wait, now)}
	c.unqueue(it, r)
	c.close(it, r)
	return ref
}

// Next starts waiting requests for as long as place gives them places, and
// refuses those whose deadline can't be met any more. Call it after Done,
// Arrive and Requeue, when a report shows free places, and at NextRefusal.
// Routes take turns in being asked first, because they may share endpoints.
func (c *Controller) Next(now time.Time, place Placer) (started []Request, refused []Refusal) {
	c.init()
	refused = c.expire(now)
	for i := range c.order {
		r := c.order[(c.turn+i)%len(c.order)]
		if r.waiting == 0 {
			continue
		}
		r.drain.advance(now, true)
		started = c.startFrom(r, started, now, place)
	}
	c.turn++
	return started, refused
}

func (c *Controller) startFrom(r *route, started []Request, now time.Time, place Placer) []Request {
	for {
		it, fair := r.pick()
		if it == nil || !place(&it.req) {
			return started
		}
		c.unqueue(it, r)
		c.start(it, r, fair, true, now)
		started = append(started, it.req)
	}
}

// expire refuses each waiting request at the moment when a start would be too
// late, so that no caller is held for an answer that can't come.
func (c *Controller) expire(now time.Time) []Refusal {
	var refused []Refusal
	for {
		it := c.byStart.head()
		if it == nil || it.latest.After(now) {
			return refused
		}
		code := result.DeadlineUnmeetable
		if !now.Before(it.req.Deadline) {
			code = result.DeadlinePassed
		}
		refused = append(refused, c.evict(it, code, now))
	}
}

// NextRefusal returns when Next must be called at the latest, and whether
// anything waits.
func (c *Controller) NextRefusal() (time.Time, bool) {
	it := c.byStart.head()
	if it == nil {
		return time.Time{}, false
	}
	return it.latest, true
}

// Requeue puts a started request back into the queue after its endpoint has
// said that it was not run. It keeps its place by age; it pays no rate token
// again and is refused if its deadline can't be met any more.
func (c *Controller) Requeue(id string, now time.Time) Decision {
	it := c.open[id]
	if it == nil || !it.running {
		return Refuse{Code: result.MalformedRequest}
	}
	r := c.routeOf(it.req.Route)
	r.drain.advance(now, r.waiting > 0)
	r.correct(it, 0)
	r.drain.work = math.Max(0, r.drain.work-it.work)
	it.running = false
	c.running--
	r.running--
	if !it.latest.After(now) {
		c.close(it, r)
		return c.refuse(it, r, result.DeadlineUnmeetable, 0, now)
	}
	expected := r.wait(it.flow, it.band, c.FairPart)
	it.kept = true
	c.insert(it, r)
	return Wait{Expected: expected}
}
