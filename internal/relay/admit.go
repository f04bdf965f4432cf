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
	// firstPart is how long an endpoint usually takes to the first part of an
	// answer. A request that could not begin that long before its target is
	// answered late wherever it goes.
	firstPart = 160 * time.Millisecond
	// lateWorth is what a late answer is worth against one on time. Callers
	// value it at a quarter to a third.
	lateWorth = 0.25
	// lateWait is how long a request that is late already may wait. It is
	// placed after those that can still be on time.
	lateWait = time.Second
	// mostWaiting bounds the queue of one entry: a second's arrivals.
	mostWaiting = 64
)

// waiter is a request that asks for a place.
type waiter struct {
	service *routing.Service
	query   placement.Query
	// verdict gets one value when a waiting request has a place or never will.
	verdict chan *result.Error

	// Belief.mu guards the rest. waits says that the request is in the queue.
	waits bool
	place Place
	why   *result.Error
}

// Ask is a request for a place.
type Ask struct {
	Service *routing.Service
	Query   placement.Query
	// ID is unique among the open requests.
	ID string
	// Account is the payer's name, or "".
	Account string
	// Target is when the first part of the answer has to be there, and End
	// when the caller's time is over.
	Target, End time.Time
	Priority    int
}

// Admit gives a request an endpoint, after a wait if it has to be, or says why
// there is none. Whoever gets a place must call Ended.
//
// Load: arrivals beyond what the endpoints bear in time. A request waits only
// for as long as its answer can still be on time, and is then refused with when
// to come back; holding it longer would make all behind it late as well.
func (b *Belief) Admit(ctx context.Context, a Ask, clock func() time.Time) (Place, *result.Error) {
	w := &waiter{service: a.Service, query: a.Query, verdict: make(chan *result.Error, 1)}
	now := clock()
	waits, e := b.arrive(w, a, now)
	if !waits {
		return w.place, e
	}
	for {
		timer := time.NewTimer(b.nextLook(clock()))
		select {
		case e := <-w.verdict:
			timer.Stop()
			return w.place, e
		case <-ctx.Done():
			timer.Stop()
			return b.leave(w, a.ID, clock())
		case <-timer.C:
			b.Pump(clock())
		}
	}
}

// arrive hands the request in and reports whether it waits.
func (b *Belief) arrive(w *waiter, a Ask, now time.Time) (bool, *result.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	if b.waiters[a.ID] != nil || a.ID == "" {
		// Callers name each attempt; one that doesn't, or repeats itself, has
		// no place in a queue that is kept by name.
		p, e := b.choose(w.service, w.query, now)
		w.place = p
		return false, e
	}
	b.waiters[a.ID] = w
	req := admission.Request{
		ID: a.ID, Account: a.Account, Route: a.Service.Name, Worth: 1, Priority: -a.Priority,
		Deadline: a.Target, ExpectedRun: firstPart,
	}
	if !now.Add(firstPart).Before(a.Target) {
		req.Worth, req.Deadline = lateWorth, earlier(a.End, now.Add(firstPart+lateWait))
	}
	switch d := b.queue.Arrive(req, now, b.placer(now)).(type) {
	case admission.Start:
		return false, nil
	case admission.Wait:
		b.tellRefused(d.Displaced)
		if passes(w.why) {
			w.waits = true
			b.changed()
			return true, nil
		}
		// Nothing that waiting could change is missing.
		b.queue.Cancel(a.ID)
		delete(b.waiters, a.ID)
		return false, w.why
	case admission.Refuse:
		delete(b.waiters, a.ID)
		return false, result.New(d.Code, "").WithRetryAfter(d.RetryAfter)
	}
	return false, result.New(result.NoEndpoint, "")
}

// passes reports whether the reason for having no place passes within moments.
func passes(why *result.Error) bool {
	return why == nil || why.Code() == result.EndpointBusy || why.Code() == result.EndpointCold
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// placer gives places with mu held.
func (b *Belief) placer(now time.Time) admission.Placer {
	return func(r *admission.Request) bool {
		w := b.waiters[r.ID]
		p, e := b.choose(w.service, w.query, now)
		w.place, w.why = p, e
		if e != nil {
			return false
		}
		w.place.id = r.ID
		return true
	}
}

// Pump starts and refuses waiting requests by what is believed now.
func (b *Belief) Pump(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pump(now)
}

func (b *Belief) pump(now time.Time) {
	if b.queue.Waiting() == 0 {
		return
	}
	b.refresh(now)
	started, refused := b.queue.Next(now, b.placer(now))
	for _, r := range started {
		b.waiters[r.ID].waits = false
		b.waiters[r.ID].verdict <- nil
	}
	b.tellRefused(refused)
}

func (b *Belief) tellRefused(refused []admission.Refusal) {
	for _, r := range refused {
		if w := b.waiters[r.ID]; w != nil {
			delete(b.waiters, r.ID)
			w.verdict <- result.New(r.Code, "").WithRetryAfter(r.RetryAfter)
		}
	}
}

// nextLook returns how long until a waiting request must be looked at.
func (b *Belief) nextLook(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.queue.NextRefusal()
	if !ok {
		return time.Second
	}
	return max(time.Millisecond, at.Sub(now))
}

// leave takes a request out whose caller has left.
func (b *Belief) leave(w *waiter, id string, now time.Time) (Place, *result.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case e := <-w.verdict:
		// The place came in the same moment; it is the request's now.
		return w.place, e
	default:
	}
	b.queue.Cancel(id)
	delete(b.waiters, id)
	b.pump(now)
	return Place{}, result.New(result.Cancelled, "while it waited")
}
