package admission

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Defaults of the exported fields of Controller.
const (
	DefaultMaxWaiting   = 1024
	DefaultFairFraction = 0.25
	DefaultRunTime      = time.Second
	DefaultDeadline     = 30 * time.Second
)

// Controller decides about the requests of one entry. The exported fields must
// be set before the first call; zero values mean the defaults.
type Controller struct {
	// MaxWaiting is the number of waiting requests, over all routes, at which
	// the queue is full. It limits memory and the amount of queued work that
	// may be refused later. Requeued requests may exceed it.
	MaxWaiting int
	// FairFraction is the fraction of the running time, between 0 and 1, that
	// is allocated by fair share alone.
	FairFraction float64
	// DefaultRunTime is the assumed running time of a request if neither an
	// estimate nor a measurement exists.
	DefaultRunTime time.Duration
	// DefaultDeadline is the time from arrival to the deadline for a request
	// without one.
	DefaultDeadline time.Duration

	accounts      map[string]*account
	routes        map[string]*route
	routeOrder    []*route
	nextRoute     int
	items         map[string]*item
	byLatestStart itemHeap
	// shares holds the places of each service in the queue, and under the empty
	// name those of all routes without a configuration.
	shares []*places
	// displaced is the memory of Wait.Displaced.
	displaced [1]QueuedRefusal
	waiting   int
	running   int
	protected int
	seq       uint64
	draining  bool
}

func (c *Controller) init() {
	if c.items != nil {
		return
	}
	c.accounts = make(map[string]*account)
	c.routes = make(map[string]*route)
	c.items = make(map[string]*item)
	c.byLatestStart = itemHeap{less: latestStartBefore, heapIndex: heapLatestStart}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.FairFraction <= 0 || c.FairFraction > 1 {
		c.FairFraction = DefaultFairFraction
	}
	if c.DefaultRunTime <= 0 {
		c.DefaultRunTime = DefaultRunTime
	}
	if c.DefaultDeadline <= 0 {
		c.DefaultDeadline = DefaultDeadline
	}
}

// Configure puts the limits of a preset into force. Open requests stay open and
// count against the new limits. New requests of accounts that are no longer
// listed are refused. On error it changes nothing and returns ErrNoAccount,
// ErrInvalidLimit or ErrDuplicateAccount.
func (c *Controller) Configure(limits []Limits, now time.Time) error {
	c.init()
	listed := make(map[string]bool, len(limits))
	for _, l := range limits {
		if err := l.validate(); err != nil {
			return err
		}
		if listed[l.Account] {
			return ErrDuplicateAccount
		}
		listed[l.Account] = true
	}
	for _, l := range limits {
		a := c.accounts[l.Account]
		if a == nil {
			a = &account{share: 1}
			c.accounts[l.Account] = a
		}
		a.applyLimits(l, now)
	}
	for name, a := range c.accounts {
		if !listed[name] {
			c.removeAccount(name, a)
		}
	}
	c.recomputeWeights()
	return nil
}

// removeAccount removes an account, or marks it for removal until its open
// requests have ended.
func (c *Controller) removeAccount(name string, a *account) {
	a.removed = true
	if a.open > 0 {
		return
	}
	delete(c.accounts, name)
	for _, r := range c.routes {
		for _, q := range r.classes {
			if q != nil {
				delete(q.flows, name)
			}
		}
	}
}

// recomputeWeights recomputes the sums of the weights of waiting flows after
// the limits have changed.
func (c *Controller) recomputeWeights() {
	for _, r := range c.routes {
		for _, q := range r.classes {
			if q != nil {
				q.recomputeWeight()
			}
		}
	}
}

// SetShare sets the fraction, between 0 and 1, of the account's limits that
// applies at this entry. The initial fraction is 1. Unknown accounts and
// fractions out of range are ignored.
func (c *Controller) SetShare(name string, share float64, now time.Time) {
	c.init()
	a := c.accounts[name]
	if a == nil || !(share >= 0 && share <= 1) {
		return
	}
	a.share = share
	a.updateBucket(now)
}

// Arrive decides about a new request. It calls place at most once, and only if
// nothing of the same or a more urgent class is waiting on the same route. The result is a Start, Wait or Refused.
func (c *Controller) Arrive(req Request, now time.Time, place Placer) Decision {
	c.init()
	a, code := c.validate(&req)
	if code != result.OK {
		return Refused{Code: code, RetryAfter: c.shutdownRetryAfter(code, req.ID)}
	}
	r := c.routeFor(req.Route)
	r.drain.advance(now, r.mostUrgentWaiting())
	it := c.newItem(req, a, r, now)
	if refusal, ok := c.checkDeadline(it, r, now); !ok {
		return refusal
	}
	if refusal, ok := c.checkLimits(it, now); !ok {
		return refusal
	}
	if r.startsAtOnce(it.flow.class.number) && place(&it.req) {
		c.admit(it)
		r.countArrival(it, now)
		c.start(it, r, false, false, now)
		return Start{}
	}
	return c.enqueue(it, r, now)
}

func (c *Controller) validate(req *Request) (*account, result.Code) {
	if req.ID == "" || c.items[req.ID] != nil {
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

// shutdownRetryAfter returns the retry delay for a request that validate refused
// with code. If the entry is shutting down, it is a short delay, spread by a hash
// of id, after which the caller can retry at another entry. For other codes it
// is zero.
func (c *Controller) shutdownRetryAfter(code result.Code, id string) time.Duration {
	if code != result.ShuttingDown {
		return 0
	}
	return MinRetryAfter + time.Duration(hashFraction(id)*float64(MinRetryAfter))
}

func (c *Controller) routeFor(name string) *route {
	r := c.routes[name]
	if r == nil {
		r = &route{places: c.placesFor("")}
		c.routes[name] = r
		c.routeOrder = append(c.routeOrder, r)
	}
	return r
}

func (c *Controller) newItem(req Request, a *account, r *route, now time.Time) *item {
	if req.Worth <= 0 {
		req.Worth = a.limits.Worth
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(c.DefaultDeadline)
	}
	c.seq++
	it := &item{req: req, account: a, seq: c.seq, arrivedAt: now, flow: r.class(req.Class).flowFor(a, c.seq)}
	it.work = c.expectedWork(req, r)
	it.band = densityBand(req.Worth, it.work)
	it.latestStart = req.Deadline.Add(-toDuration(it.work * r.runTimes.currentOverrun(now)))
	return it
}

func (c *Controller) expectedWork(req Request, r *route) float64 {
	if req.ExpectedRunTime > 0 {
		return req.ExpectedRunTime.Seconds()
	}
	if r.runTimes.meanRun > 0 {
		return r.runTimes.meanRun
	}
	return c.DefaultRunTime.Seconds()
}

// admit counts the request as open and takes a rate token for it.
func (c *Controller) admit(it *item) {
	c.items[it.req.ID] = it
	it.account.open++
	it.account.bucket.take()
}

// start moves an admitted item to the running state.
func (c *Controller) start(it *item, r *route, fair, queued bool, now time.Time) {
	it.running = true
	it.startedAt = now
	c.running++
	r.running++
	r.charge(it, c.FairFraction, fair, queued)
}

// SkipDrainTime advances the drain meter of a route to now without counting the
// elapsed time as time with requests waiting. It is for periods in which no
// request could have started, however fast the endpoints are.
func (c *Controller) SkipDrainTime(name string, now time.Time) {
	c.init()
	c.routeFor(name).drain.advance(now, numClasses)
}

// Done records that a running request has ended at its endpoint, with or
// without a complete answer, or that a waiting request is abandoned. It ignores
// unknown IDs, so that a second call has no effect.
func (c *Controller) Done(id string, now time.Time) {
	it := c.items[id]
	if it == nil {
		return
	}
	r := c.routeFor(it.req.Route)
	r.drain.advance(now, r.mostUrgentWaiting())
	if !it.running {
		c.dequeue(it, r)
		c.removeItem(it, r)
		return
	}
	actual := now.Sub(it.startedAt).Seconds()
	r.runTimes.observe(actual, it.work, it.req.ExpectedRunTime > 0, now)
	it.flow.class.correctCharge(it, actual)
	c.removeItem(it, r)
}

// Cancel records that the caller of a waiting or running request has
// disconnected. The truncated running time is not representative and is left
// out of the statistics. Unknown IDs are ignored.
func (c *Controller) Cancel(id string) {
	it := c.items[id]
	if it == nil {
		return
	}
	r := c.routeFor(it.req.Route)
	if !it.running {
		c.dequeue(it, r)
	}
	c.removeItem(it, r)
}

// removeItem removes an open item that is not in the queue.
func (c *Controller) removeItem(it *item, r *route) {
	if it.running {
		c.running--
		r.running--
	}
	delete(c.items, it.req.ID)
	it.account.open--
	if it.account.removed && it.account.open == 0 {
		c.removeAccount(it.req.Account, it.account)
	}
}

// Drain makes the Controller refuse all new requests. Next still starts or
// refuses waiting requests, so that a graceful shutdown does not cut them off.
func (c *Controller) Drain() { c.draining = true }
