package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// moveLeast is the least time that a request must have left to be moved:
	// its prompt is read again, which takes up to a third of a second, and it
	// writes on for a second or two.
	moveLeast = time.Second
	// moveFrom is how many times slower than the others an engine has to be. A
	// prompt that is read again, and the attempt that is used up, are not worth
	// a passing tenth.
	moveFrom = 2
)

// errMoved ends an attempt whose request goes on elsewhere.
var errMoved = errors.New("relay: the engine holds up its group, the request is moved")

// attemptRun is an attempt under way that may be moved.
type attemptRun struct {
	service *routing.Service
	query   placement.Query
	place   Place
	// number orders attempts by when they began, and end is when the request's
	// time is over.
	number uint64
	end    time.Time
	cancel context.CancelCauseFunc
	// next is the place that the request has been given instead, if moved.
	next  Place
	moved bool
}

// movable registers an attempt that may be moved, until settled.
func (b *Belief) movable(r *attemptRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.movables == nil {
		b.movables = map[string]map[*attemptRun]bool{}
	}
	id := r.place.Endpoint.ID
	if b.movables[id] == nil {
		b.movables[id] = map[*attemptRun]bool{}
	}
	b.attempts++
	r.number = b.attempts
	b.movables[id][r] = true
}

// settled ends movable and returns the attempt's next place, if it was moved.
func (b *Belief) settled(r *attemptRun) (Place, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := r.place.Endpoint.ID
	delete(b.movables[id], r)
	if len(b.movables[id]) == 0 {
		delete(b.movables, id)
	}
	return r.next, r.moved
}

// moveAway moves requests off engines that hold up their group, with mu held.
//
// Load: one of a group's ranks turns several times slower. All ranks wait for it
// in each pass, and the more requests of its own it writes, the longer. It gets
// no new ones, but those that it has go on for as long as they themselves make
// the passes last: seven streams on a rank that was twelve times slower took 6 s,
// in which a hundred streams of eleven other ranks had an event each 0.8 s. Moved,
// they go on elsewhere after their prompts were read again.
//
// Limits: only streams that may be resumed, with an attempt and a second left,
// within the retry budget, and only to an engine that has a place for them; so no
// stream is given up for being moved.
func (b *Belief) moveAway(now time.Time) {
	for id, runs := range b.movables {
		ep, ok := b.endpoints[id]
		if !ok {
			continue
		}
		for _, r := range newest(runs, b.excess(ep, now)) {
			if !b.move(r, now) {
				break
			}
		}
	}
}

// excess returns how many of this entry's requests an engine has that are more
// than lets it keep up with its group.
func (b *Belief) excess(ep directory.Endpoint, now time.Time) int {
	s := b.table.Service(ep.Service)
	own, least := b.paces(ep)
	pace := own / least
	if s == nil || s.Engine == nil || pace < moveFrom || now.Sub(b.loads[ep.ID].At) >= loadStale {
		return 0
	}
	bears := batch.MostAtPace(s.Engine, b.gaps[ep.Service], pace)
	running, _ := b.running(ep, now)
	if running <= bears || running <= 0 {
		return 0
	}
	mine := b.own[ep.ID]
	return mine - mine*bears/running
}

// newest returns the n attempts that began last: they have most left to write.
func newest(runs map[*attemptRun]bool, n int) []*attemptRun {
	if n <= 0 {
		return nil
	}
	out := make([]*attemptRun, 0, len(runs))
	for r := range runs {
		if !r.moved {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *attemptRun) int { return cmp.Compare(b.number, a.number) })
	return out[:min(n, len(out))]
}

// move gives a request another place and ends its attempt. It reports false when
// no further one can be moved now.
func (b *Belief) move(r *attemptRun, now time.Time) bool {
	if r.end.Sub(now) < moveLeast {
		return true
	}
	if !b.budget(r.service.Name, now).May(now) {
		return false
	}
	p, e := b.choose(r.service, r.query, now)
	if e != nil {
		return false
	}
	b.budget(r.service.Name, now).Take(now)
	r.next, r.moved = p, true
	r.cancel(errMoved)
	return true
}

// attemptMovable makes an attempt that may be moved while it runs, and returns the
// place at which the request goes on if it was.
func (j *job) attemptMovable(ctx context.Context, p Place) (Outcome, Place) {
	if !j.mayMove() {
		return j.attempt(ctx, p), Place{}
	}
	b := j.relay.Belief
	own, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	run := &attemptRun{service: j.service, query: j.query(), place: p, end: j.end, cancel: cancel}
	b.movable(run)
	o := j.attempt(own, p)
	next, moved := b.settled(run)
	if !moved {
		return o, Place{}
	}
	switch o.(type) {
	case Delivered, Failed, NotRun:
		// The attempt came to its end in the moment in which it was moved.
	default:
		if ctx.Err() == nil {
			return Moved{}, next
		}
	}
	b.Ended(next, Unused{}, j.relay.Now())
	return o, Place{}
}

// mayMove reports whether the request may go on elsewhere once more.
func (j *job) mayMove() bool {
	r := j.route
	return r.Repeat == routing.Stream && r.Resumable && j.tries.Sent+1 < r.MaxAttempts
}
