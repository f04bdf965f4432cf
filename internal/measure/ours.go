package measure

import (
	"strconv"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

// placing selects what load a choice goes by.
type placing int

const (
	bothLoads placing = iota
	reportOnly
	committedOnly
)

// ours is an entry that runs the deciding packages.
type ours struct {
	w        *world
	place    placing
	ctl      admission.Controller
	balancer placement.Balancer
	budget   admission.RetryBudget
	open     map[string]*job
	attempt  map[*job]*placement.Attempt
}

func newOurs(place placing) func(w *world, i int) entry {
	return func(w *world, i int) entry { return makeOurs(place, w, i) }
}

func makeOurs(place placing, w *world, i int) *ours {
	o := &ours{
		budget: admission.RetryBudget{Percent: admission.DefaultRetryPercent},
		w:      w, place: place, open: make(map[string]*job), attempt: make(map[*job]*placement.Attempt),
		balancer: placement.Balancer{
			DataCentre: dcName(i / entriesPerDC), Seed: uint64(i),
			Entries: dataCentres * entriesPerDC, StaleAfter: max(5*time.Second, 3*w.lag.delay),
		},
	}
	if err := o.ctl.Configure(w.shape.limits(), epoch); err != nil {
		panic(err) // the limits are constants
	}
	return o
}

func (o *ours) arrive(j *job, now time.Duration) {
	if j.outcome != pending {
		return
	}
	j.tries++
	id := strconv.Itoa(j.id)
	o.open[id] = j
	o.budget.RecordFirstAttempt(clock(now))
	d := o.ctl.Arrive(admission.Request{
		ID: id, Account: accountName(j.account), Route: route, Worth: j.worth,
		Deadline: clock(j.deadline), ExpectedRunTime: j.estimate, Tokens: j.tokens,
	}, clock(now), o.placeOne)
	switch d := d.(type) {
	case admission.Start:
	case admission.Wait:
		o.refuseAll(d.Displaced, now)
	case admission.Refused:
		o.refuse(j, d, now)
	}
}

// refuse tells the caller, who comes back when that can help.
func (o *ours) refuse(j *job, r admission.Refused, now time.Duration) {
	delete(o.open, strconv.Itoa(j.id))
	o.w.tell(j)
	back := now + r.RetryAfter
	if r.RetryAfter == 0 || back+j.estimate > j.deadline {
		o.w.giveUp(j)
		return
	}
	o.w.at(back, func() { o.arrive(j, o.w.now) })
}

func (o *ours) refuseAll(rs []admission.QueuedRefusal, now time.Duration) {
	for _, r := range rs {
		o.refuse(o.open[r.ID], r.Refused, now)
	}
}

// placeOne finds an endpoint; when an agent refuses, it tries two others.
func (o *ours) placeOne(r *admission.Request) bool {
	j := o.open[r.ID]
	now := clock(o.w.now)
	q := placement.Query{Route: r.Route, Tokens: r.Tokens}
	for range 3 {
		c, ok, _ := o.balancer.Choose(q, now)
		if !ok {
			return false
		}
		a := o.balancer.Start(c, q, now)
		if o.w.offer(o.w.servers[serverIndex(c.Endpoint)], j) {
			o.balancer.Accept(a)
			o.attempt[j] = a
			o.forget(a, now)
			return true
		}
		o.balancer.Refuse(a, 0, now)
		q.Excluded = append(q.Excluded, c.Endpoint)
	}
	return false
}

// forget takes the own commitment away again for the report-only variant.
func (o *ours) forget(a *placement.Attempt, now time.Time) {
	if o.place == reportOnly {
		o.balancer.End(a, now)
	}
}

func serverIndex(name string) int {
	i, err := strconv.Atoi(name[len(name)-2:])
	if err != nil {
		panic(err) // names are made by newServer
	}
	return i
}

func (o *ours) heard(r placement.Report, now time.Duration) {
	if o.place == committedOnly {
		r.Running, r.CommittedTokens = 0, 0
	}
	o.balancer.Update(r, clock(now))
}

func (o *ours) piece(j *job, now time.Duration) { o.balancer.Progress(o.attempt[j], clock(now)) }

func (o *ours) ended(j *job, whole bool, now time.Duration) {
	id := strconv.Itoa(j.id)
	if whole {
		o.balancer.End(o.attempt[j], clock(now))
	} else {
		o.balancer.Fail(o.attempt[j], clock(now))
	}
	delete(o.attempt, j)
	if whole || j.outcome != pending || !o.budget.TrySpend(clock(now)) {
		o.finish(j, id, now)
		return
	}
	if d, ok := o.ctl.Requeue(id, clock(now)).(admission.Refused); ok {
		o.refuse(j, d, now)
	}
}

func (o *ours) finish(j *job, id string, now time.Duration) {
	o.ctl.Done(id, clock(now))
	delete(o.open, id)
	if j.outcome == pending {
		o.w.giveUp(j)
	}
	o.tick(now)
}

// expired cancels what still runs: nobody waits for it any more.
func (o *ours) expired(j *job, now time.Duration) {
	id := strconv.Itoa(j.id)
	if o.open[id] == nil {
		return
	}
	o.w.cancel(j)
	o.balancer.End(o.attempt[j], clock(now))
	delete(o.attempt, j)
	delete(o.open, id)
	o.ctl.Cancel(id)
}

func (o *ours) tick(now time.Duration) {
	_, rs := o.ctl.Next(clock(now), o.placeOne)
	o.refuseAll(rs, now)
}
