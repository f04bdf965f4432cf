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
	// lateWorth is what a late answer is worth against one on time, which only
	// orders them: all that can be on time go first.
	lateWorth = 0.25
	// leastFirst is the least time to the first part of an answer that is counted
	// on.
	leastFirst = time.Millisecond
	// mostWaiting bounds the queue of one entry: some seconds' arrivals.
	mostWaiting = 64
)

// waiter is a request that asks for a place.
type waiter struct {
	ask Ask
	// verdict gets one value when a waiting request has a place or never will.
	verdict chan *result.Error

	// Belief.mu guards the rest. waits says that the request is in the queue, and
	// late that its answer can't be on time any more.
	waits, late bool
	place       Place
	// why is the reason for which it has no place yet, and refused the one for
	// which it will have none.
	why, refused *result.Error
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
	// when the caller's time is over. TargetTime is the time from a request to
	// its target.
	Target, End time.Time
	TargetTime  time.Duration
	// CameBack says that the caller was asked to come back and has.
	CameBack bool
	// Leaves is when the caller leaves if no part of the answer has come; zero
	// means at End.
	Leaves   time.Time
	Priority int
}

// Admit gives a request an endpoint, after a wait if it has to be, or says why
// there is none. Whoever gets a place must call Ended.
//
// Load: arrivals beyond what the endpoints bear in time. A request waits first for
// as long as its answer can be on time, and then behind all others for as long as
// it is expected to get a place in its caller's time. One that isn't is refused
// with when to come back; holding it longer would make all behind it late as well.
func (b *Belief) Admit(ctx context.Context, a Ask, clock func() time.Time) (Place, *result.Error) {
	w := &waiter{ask: a, verdict: make(chan *result.Error, 1)}
	waits, e := b.arrive(w, clock())
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
func (b *Belief) arrive(w *waiter, now time.Time) (bool, *result.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	if b.waiters[w.ask.ID] != nil || w.ask.ID == "" {
		// Callers name each attempt; one that doesn't, or repeats itself, has
		// no place in a queue that is kept by name.
		p, e := b.choose(w.ask.Service, w.ask.Query, now)
		w.place = p
		return false, e
	}
	if e := b.awaitsGroup(w.ask, now); e != nil {
		b.noteArrival(w, now)
		return false, e
	}
	b.waiters[w.ask.ID] = w
	placed := b.queueUp(w, now)
	b.noteArrival(w, now)
	if placed {
		return false, nil
	}
	if w.refused != nil {
		delete(b.waiters, w.ask.ID)
		return false, w.refused
	}
	w.waits = true
	b.changed()
	return true, nil
}

// queueUp hands a request to the queue, first among those that can be on time and
// then among the late ones, and reports whether it has got a place. Otherwise it
// waits, unless it is refused.
func (b *Belief) queueUp(w *waiter, now time.Time) bool {
	for {
		switch d := b.queue.Arrive(b.request(w, now), now, b.placer(now)).(type) {
		case admission.Start:
			return true
		case admission.Wait:
			b.tellRefused(d.Displaced, now)
			if !passes(w.why) {
				// Nothing that waiting could change is missing.
				b.queue.Cancel(w.ask.ID)
				w.refused = w.why
			}
			return false
		case admission.Refuse:
			if !w.turnLate(d.Code) {
				w.refused = b.queueRefusal(w, d, now)
				return false
			}
		}
	}
}

// turnLate has a request that was refused for its target stand among the late ones,
// and reports false if it is refused for good.
//
// Load: a group of engines that was down is back, and for some seconds more callers
// wait than it serves; their targets are 0.4 s and they would wait for 2 s. Harm
// prevented: they are refused for a target that is missed anyway, come back once
// while the queue is still long, and are refused for good, a second before all
// places are free.
func (w *waiter) turnLate(why result.Code) bool {
	if w.late || why != result.DeadlineUnmeetable && why != result.DeadlinePassed {
		return false
	}
	w.late = true
	return true
}

// noteArrival counts the requests that come anew and can be on time.
func (b *Belief) noteArrival(w *waiter, now time.Time) {
	if w.ask.CameBack || len(w.ask.Query.Tried) > 0 || w.late {
		return
	}
	name := w.ask.Service.Name
	if b.arrivals[name] == nil {
		b.arrivals[name] = &arrivals{}
	}
	b.arrivals[name].add(now)
}

// passes reports whether the reason for having no place passes within moments.
func passes(why *result.Error) bool {
	if why == nil {
		return true
	}
	switch why.Code() {
	case result.EndpointBusy, result.EndpointCold, result.GroupClosed:
		return true
	default:
		return false
	}
}

// lateQueue is appended to the name of a service for its late requests: they have a
// queue of their own, so that how slowly they get places says nothing of the others.
const lateQueue = " late"

// request is what the queue has to know of a request.
func (b *Belief) request(w *waiter, now time.Time) admission.Request {
	a := w.ask
	first := max(b.times.quick(a.Service.Name, a.TargetTime, now), leastFirst)
	r := admission.Request{
		ID: a.ID, Account: a.Account, Route: a.Service.Name, Worth: 1, Priority: -a.Priority,
		Deadline: a.Target, ExpectedRun: first,
	}
	if w.late {
		r.Route, r.Worth, r.Deadline = a.Service.Name+lateQueue, lateWorth, b.lastStart(a, now).Add(first)
	}
	return r
}

// lastStart returns until when a request that can't be on time is worth a place: the
// whole answer has to be there when the caller's time is over, and its first part
// while the caller still waits, with room for one that takes twice the usual time. A
// caller who has left does not come back.
func (b *Belief) lastStart(a Ask, now time.Time) time.Time {
	first, whole := b.times.usual(a.Service.Name, a.TargetTime, now)
	last := a.End.Add(-whole)
	if leaves := a.Leaves.Add(-2 * first); !a.Leaves.IsZero() && leaves.Before(last) {
		last = leaves
	}
	return last
}

// placer gives places with mu held.
func (b *Belief) placer(now time.Time) admission.Placer {
	return func(r *admission.Request) bool {
		w := b.waiters[r.ID]
		service := w.ask.Service
		if w.late && b.lateRunning[service.Name] >= b.lateRoom(service, now) {
			w.why = result.New(result.EndpointBusy, "").WithRetryAfter(afterBusy)
			return false
		}
		p, e := b.choose(service, w.ask.Query, now)
		w.place, w.why = p, e
		if e != nil {
			return false
		}
		w.place.id, w.place.late = r.ID, w.late
		if w.late {
			b.lateRunning[service.Name]++
		}
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
	b.restClosed(now)
	started, refused := b.queue.Next(now, b.placer(now))
	for _, r := range started {
		b.waiters[r.ID].waits = false
		b.waiters[r.ID].verdict <- nil
	}
	b.tellRefused(refused, now)
}

// queueRefusal tells a caller that is refused in the queue when to come back. While
// the group is closed, how fast the queue was drained before says nothing of that.
func (b *Belief) queueRefusal(w *waiter, r admission.Refuse, now time.Time) *result.Error {
	if _, closed := b.closure(w.ask.Service, now); closed {
		return b.refusal(w.ask.Service.Name, result.GroupClosed, now)
	}
	return result.New(r.Code, "").WithRetryAfter(r.RetryAfter)
}

// rest keeps the time up to now out of what the queue learns of a service.
func (b *Belief) rest(s *routing.Service, now time.Time) {
	b.queue.Rest(s.Name, now)
	b.queue.Rest(s.Name+lateQueue, now)
}

// restClosed keeps the time in which groups are closed out of what the queue learns
// of how fast it is drained: it would refuse callers for seconds after they open.
func (b *Belief) restClosed(now time.Time) {
	looked := map[string]bool{}
	for _, w := range b.waiters {
		s := w.ask.Service
		if !w.waits || looked[s.Name] {
			continue
		}
		looked[s.Name] = true
		if _, closed := b.closure(s, now); closed {
			b.rest(s, now)
		}
	}
}

// tellRefused ends the wait of requests that the queue has refused, or has them wait
// on among the late ones.
func (b *Belief) tellRefused(refused []admission.Refusal, now time.Time) {
	for _, r := range refused {
		w := b.waiters[r.ID]
		if w == nil {
			continue
		}
		if !w.turnLate(r.Code) {
			w.refused = b.queueRefusal(w, r.Refuse, now)
		} else if b.queueUp(w, now) {
			w.waits = false
			w.verdict <- nil
			continue
		}
		if w.refused != nil {
			delete(b.waiters, r.ID)
			w.verdict <- w.refused
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
