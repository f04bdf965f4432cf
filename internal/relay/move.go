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
	// minTimeToMove is the least time that a request must have left to be moved: reading its prompt
	// again takes up to a third of a second, and it produces output for another second or two.
	minTimeToMove = time.Second
	// minSlowdownToMove is the least slowdown factor of an engine, relative to the fastest of its
	// service, from which requests are moved. A temporary slowdown of a tenth is not worth reading
	// prompts again and using up an attempt.
	minSlowdownToMove = 2
)

// errMoved ends an attempt whose request continues at another endpoint.
var errMoved = errors.New("relay: request moved off an engine that slows down its group")

// movableAttempt is a running attempt that may be moved to another endpoint.
type movableAttempt struct {
	service  *routing.Service
	query    placement.Query
	assigned Assignment
	// seq orders attempts by their start, and deadline is that of the request.
	seq      uint64
	deadline time.Time
	cancel   context.CancelCauseFunc
	// next is the assignment with which the request continues, if moved is true. State.mu guards it
	// and the fields below. pinned means that the attempt may no longer be moved.
	next          Assignment
	moved, pinned bool
}

// pin keeps an attempt from being moved. It returns false if it has been moved already.
func (st *State) pin(r *movableAttempt) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	r.pinned = !r.moved
	return r.pinned
}

// registerMovable registers an attempt that may be moved, until unregisterMovable.
func (st *State) registerMovable(r *movableAttempt) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.movable == nil {
		st.movable = map[string]map[*movableAttempt]bool{}
	}
	id := r.assigned.Endpoint.ID
	if st.movable[id] == nil {
		st.movable[id] = map[*movableAttempt]bool{}
	}
	st.attemptSeq++
	r.seq = st.attemptSeq
	st.movable[id][r] = true
}

// unregisterMovable removes an attempt and returns whether it was moved, and if so the next
// assignment.
func (st *State) unregisterMovable(r *movableAttempt) (Assignment, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	id := r.assigned.Endpoint.ID
	delete(st.movable[id], r)
	if len(st.movable[id]) == 0 {
		delete(st.movable, id)
	}
	return r.next, r.moved
}

// moveOffSlowEngines moves requests off engines that hold up their group. mu must be held.
//
// When one rank of a group becomes several times slower, all ranks wait for it in each pass, and
// the more requests it runs itself, the longer they wait. It gets no new requests, but those that
// it has prolong their own passes: seven streams on a rank that was twelve times slower took 6 s,
// during which a hundred streams on eleven other ranks had one event per 0.8 s. A moved request
// continues at another engine after its prompt has been read again there.
//
// Only resumable streams with an attempt and a second left are moved, within the retry budget, and
// only to an engine with a free slot. So no stream is lost by being moved.
func (st *State) moveOffSlowEngines(now time.Time) {
	for id, attempts := range st.movable {
		ep, ok := st.endpoints[id]
		if !ok {
			continue
		}
		for _, r := range newest(attempts, st.excess(ep, now)) {
			if !st.move(r, now) {
				break
			}
		}
	}
}

// excess returns how many of this entry's requests an engine has beyond the number with which it
// keeps up with its group.
func (st *State) excess(ep directory.Endpoint, now time.Time) int {
	s := st.table.Service(ep.Service)
	ownSlowdown, fastest := st.slowdowns(ep)
	slowdown := ownSlowdown / fastest
	if s == nil || s.Engine == nil || slowdown < minSlowdownToMove || now.Sub(st.loads[ep.ID].At) >= maxLoadAge {
		return 0
	}
	supported := batch.MaxBatchAtSlowdown(s.Engine, st.maxGaps[ep.Service], slowdown)
	running, _ := st.running(ep, now)
	if running <= supported || running <= 0 {
		return 0
	}
	mine := st.ownRunning[ep.ID]
	return mine - mine*supported/running
}

// newest returns the n attempts that started last, which have the most output left to produce.
func newest(attempts map[*movableAttempt]bool, n int) []*movableAttempt {
	if n <= 0 {
		return nil
	}
	out := make([]*movableAttempt, 0, len(attempts))
	for r := range attempts {
		if !r.moved && !r.pinned {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *movableAttempt) int { return cmp.Compare(b.seq, a.seq) })
	return out[:min(n, len(out))]
}

// move assigns a request to another engine and cancels its attempt. It returns false if no further
// request can be moved now.
func (st *State) move(r *movableAttempt, now time.Time) bool {
	if r.deadline.Sub(now) < minTimeToMove {
		return true
	}
	if !st.budget(r.service.Name, now).CanRetry(now) {
		return false
	}
	assigned, e := st.choose(r.service, r.query, now)
	if e != nil {
		return false
	}
	st.budget(r.service.Name, now).TrySpend(now)
	r.next, r.moved = assigned, true
	r.cancel(errMoved)
	return true
}

// runMovable runs an attempt, which may be moved meanwhile if the request permits it. It returns
// the assignment with which the request continues if it was moved.
func (j *job) runMovable(ctx context.Context, assigned Assignment) (Outcome, Assignment) {
	if !j.mayMove() {
		return j.attempt(ctx, assigned), Assignment{}
	}
	st := j.relay.State
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	movable := &movableAttempt{service: j.service, query: j.query(), assigned: assigned, deadline: j.deadline, cancel: cancel}
	st.registerMovable(movable)
	j.movable = movable
	o := j.attempt(attemptCtx, assigned)
	j.movable = nil
	next, moved := st.unregisterMovable(movable)
	if !moved {
		return o, Assignment{}
	}
	switch o.(type) {
	case Delivered, Failed, Unusable, NotRun:
		// The attempt completed at the moment at which it was moved.
	default:
		if ctx.Err() == nil {
			return Moved{}, next
		}
	}
	st.Release(next, Unused{}, j.relay.Now())
	return o, Assignment{}
}

// mayMove reports whether the request may continue at another endpoint once more.
func (j *job) mayMove() bool {
	r := j.route
	return r.RetrySemantics == routing.Stream && r.Resumable && j.attempts.Sent+1 < r.MaxAttempts && !j.unnumbered
}
