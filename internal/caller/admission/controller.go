package admission

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Defaults of the Controller's fields.
const (
	DefaultMaxWaiting = 1024
	DefaultFairPart   = 0.25
	DefaultRun        = time.Second
	DefaultMaxWait    = 30 * time.Second
)

// Controller decides about the requests of one entry. Its exported fields are
// set before the first call; zero values mean the defaults.
type Controller struct {
	// MaxWaiting bounds the queue over all routes. It bounds memory, and it
	// bounds how much work is held that may be refused later.
	MaxWaiting int
	// FairPart is the part of the running time, between 0 and 1, that goes by
	// fair share alone.
	FairPart float64
	// Run is the running time of a request of which nothing is known.
	Run time.Duration
	// MaxWait is the time to the deadline of a request that has none.
	MaxWait time.Duration

	accounts map[string]*account
	routes   map[string]*route
	order    []*route
	turn     int
	open     map[string]*item
	byStart  itemHeap
	displace itemHeap
	waiting  int
	running  int
	kept     int
	seq      uint64
	draining bool
}

func (c *Controller) init() {
	if c.open != nil {
		return
	}
	c.accounts = make(map[string]*account)
	c.routes = make(map[string]*route)
	c.open = make(map[string]*item)
	c.byStart = itemHeap{less: startsEarlier, slot: slotStart}
	c.displace = itemHeap{less: firstDisplaced, slot: slotDisplace}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.FairPart <= 0 || c.FairPart > 1 {
		c.FairPart = DefaultFairPart
	}
	if c.Run <= 0 {
		c.Run = DefaultRun
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
}

// Configure puts the limits of a preset into force. Open requests stay open
// and count against the new limits; accounts that are no longer listed get no
// new requests. Nothing changes when an error is returned: ErrNoAccount,
// ErrNegativeLimit or ErrTwice.
func (c *Controller) Configure(limits []Limits, now time.Time) error {
	c.init()
	listed := make(map[string]bool, len(limits))
	for _, l := range limits {
		if err := l.check(); err != nil {
			return err
		}
		if listed[l.Account] {
			return ErrTwice
		}
		listed[l.Account] = true
	}
	for _, l := range limits {
		a := c.accounts[l.Account]
		if a == nil {
			a = &account{share: 1}
			c.accounts[l.Account] = a
		}
		a.apply(l, now)
	}
	for name, a := range c.accounts {
		if !listed[name] {
			c.forget(name, a)
		}
	}
	c.reweigh()
	return nil
}

// forget removes an account; what it has open is finished first.
func (c *Controller) forget(name string, a *account) {
	a.removed = true
	if a.open > 0 {
		return
	}
	delete(c.accounts, name)
	for _, r := range c.routes {
		delete(r.flows, name)
	}
}

// reweigh sums the weights of waiting flows anew after limits have changed.
func (c *Controller) reweigh() {
	for _, r := range c.routes {
		r.weight = 0
		for _, f := range r.byVirtual.flows {
			r.weight += f.account.limits.Weight
		}
	}
}

// SetShare sets which part of the account's limits, between 0 and 1, holds at
// this entry. Accounts start with the whole. Unknown accounts are ignored.
func (c *Controller) SetShare(name string, share float64, now time.Time) {
	c.init()
	a := c.accounts[name]
	if a == nil || !(share >= 0 && share <= 1) {
		return
	}
	a.share = share
	a.retune(now)
}

// Arrive decides about a new request. place is asked at most once, and only
// when nothing waits on the same route. The result is Start, Wait or Refuse.
func (c *Controller) Arrive(req Request, now time.Time, place Placer) Decision {
	c.init()
	a, code := c.checkArrival(&req)
	if code != result.OK {
		return Refuse{Code: code, RetryAfter: c.comeBackFromStop(code, req.ID)}
	}
	r := c.routeOf(req.Route)
	r.drain.advance(now, r.waiting > 0)
	it := c.newItem(req, a, r, now)
	if ref, ok := c.checkDeadline(it, r, now); !ok {
		return ref
	}
	if ref, ok := c.checkLimits(it, now); !ok {
		return ref
	}
	if r.waiting == 0 && place(&it.req) {
		c.accept(it)
		r.inflow.add(it.band, it.work, now)
		c.start(it, r, false, false, now)
		return Start{}
	}
	return c.enqueue(it, r, now)
}

func (c *Controller) checkArrival(req *Request) (*account, result.Code) {
	if req.ID == "" || c.open[req.ID] != nil {
		return nil, result.MalformedRequest
	}
	if c.draining {
		return nil, result.ShuttingDown
	}
	a := c.accounts[req.Account]
	if a == nil || a.removed {
		return nil, result.BadAccountKey
	}
	return a, result.OK
}

// comeBackFromStop sends callers of a stopping entry elsewhere within moments.
func (c *Controller) comeBackFromStop(code result.Code, id string) time.Duration {
	if code != result.ShuttingDown {
		return 0
	}
	return MinComeBack + time.Duration(fraction(id)*float64(MinComeBack))
}

func (c *Controller) routeOf(name string) *route {
	r := c.routes[name]
	if r == nil {
		r = newRoute()
		c.routes[name] = r
		c.order = append(c.order, r)
	}
	return r
}

func (c *Controller) newItem(req Request, a *account, r *route, now time.Time) *item {
	if req.Worth <= 0 {
		req.Worth = a.limits.Worth
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(c.MaxWait)
	}
	c.seq++
	it := &item{req: req, account: a, seq: c.seq, arrived: now, flow: r.flowOf(a, c.seq)}
	it.work = c.expectedWork(req, r)
	it.band = band(req.Worth, it.work)
	it.latest = req.Deadline.Add(-seconds(it.work * r.runs.margin(now)))
	return it
}

func (c *Controller) expectedWork(req Request, r *route) float64 {
	if req.ExpectedRun > 0 {
		return req.ExpectedRun.Seconds()
	}
	if r.runs.mean > 0 {
		return r.runs.mean
	}
	return c.Run.Seconds()
}

// accept counts the request as open.
func (c *Controller) accept(it *item) {
	c.open[it.req.ID] = it
	it.account.open++
	it.account.bucket.take()
}

// start moves an accepted item to running.
func (c *Controller) start(it *item, r *route, fair, queued bool, now time.Time) {
	it.running = true
	it.started = now
	c.running++
	r.running++
	r.charge(it, c.FairPart, fair, queued)
	if queued {
		r.drain.work += it.work
	}
}

// Rest brings a route to now without counting the time as spent with requests
// waiting: nothing could have been started in it, however fast the endpoints are.
func (c *Controller) Rest(name string, now time.Time) {
	c.init()
	c.routeOf(name).drain.advance(now, false)
}

// Done records that a running request has ended at its endpoint, whole or not,
// or that a waiting one is given up. Unknown ids are ignored, so that ending
// twice does no harm.
func (c *Controller) Done(id string, now time.Time) {
	it := c.open[id]
	if it == nil {
		return
	}
	r := c.routeOf(it.req.Route)
	r.drain.advance(now, r.waiting > 0)
	if !it.running {
		c.unqueue(it, r)
		c.close(it, r)
		return
	}
	actual := now.Sub(it.started).Seconds()
	r.runs.observe(actual, it.work, it.req.ExpectedRun > 0, now)
	r.correct(it, actual)
	c.close(it, r)
}

// Cancel records that the caller of a waiting or running request has left. A
// running time that was cut short says nothing about the next one, so that it
// is not learnt from. Unknown ids are ignored.
func (c *Controller) Cancel(id string) {
	it := c.open[id]
	if it == nil {
		return
	}
	r := c.routeOf(it.req.Route)
	if !it.running {
		c.unqueue(it, r)
	}
	c.close(it, r)
}

// close forgets an item that is not in the queue.
func (c *Controller) close(it *item, r *route) {
	if it.running {
		c.running--
		r.running--
	}
	delete(c.open, it.req.ID)
	it.account.open--
	if it.account.removed && it.account.open == 0 {
		c.forget(it.req.Account, it.account)
	}
}

// Drain refuses new requests from now on. Waiting requests are still started
// or refused by Next, so that a graceful stop cuts off nothing.
func (c *Controller) Drain() { c.draining = true }
