package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/silence"
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
	// extraMoved is how many requests beyond its allowance an endpoint may get because they leave one that
	// can't be heard. A full endpoint runs them when its next slots are free, before those that wait at
	// entries: the requests of one endpoint in twelve are one for each of the others.
	extraMoved = 1
)

// errMoved ends an attempt whose request continues at another endpoint.
var errMoved = errors.New("relay: request moved to another endpoint")

// MoveReason is why a request is moved to another endpoint.
type MoveReason int

const (
	// EngineSlow means that the engine holds up its group.
	EngineSlow MoveReason = iota
	// EndpointSilent means that the endpoint can't be heard while others of its group can.
	EndpointSilent
)

// String returns the reason as it is logged.
func (r MoveReason) String() string {
	switch r {
	case EndpointSilent:
		return "endpointSilent"
	default:
		return "engineSlow"
	}
}

// movableAttempt is a running attempt that may be moved to another endpoint.
type movableAttempt struct {
	service  *routing.Service
	query    placement.Query
	assigned Assignment
	class    routing.Class
	// receivedAt is when the request arrived, seq orders attempts by their start, and deadline is that of
	// the request.
	receivedAt time.Time
	seq        uint64
	deadline   time.Time
	// begin begins to move the attempt to the endpoint of an assignment. It is called with State.mu held.
	begin func(next Assignment, reason MoveReason)
	// moved means that the attempt is being moved, and pinned that it may no longer be. State.mu guards
	// both.
	moved, pinned bool

	mu sync.Mutex // guards the fields below; it may be locked while State.mu is held
	// at is what the caller has received, and handover the move in progress, or nil.
	at       position
	handover *handover
}

// waitingSince returns since when the caller has waited for the next part of the answer. State.mu must be held.
func (r *movableAttempt) waitingSince() time.Time {
	if last, begun := r.assigned.attempt.LastPartAt(); begun {
		return last
	}
	return r.receivedAt
}

// startHandover begins a move and returns what the caller has received.
func (r *movableAttempt) startHandover(h *handover) position {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handover = h
	return r.at
}

// currentHandover returns the move in progress, or nil. The attempt r may be nil.
func (r *movableAttempt) currentHandover() *handover {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handover
}

// advance records what the caller is about to receive. It returns false if a move is in progress, during
// which nothing may be forwarded. The attempt r may be nil.
func (r *movableAttempt) advance(at position) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handover != nil {
		return false
	}
	r.at = at
	return true
}

// pin keeps an attempt from being moved. It returns false if it is being moved already.
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

// unregisterMovable removes an attempt and returns whether it is being moved.
func (st *State) unregisterMovable(r *movableAttempt) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	id := r.assigned.Endpoint.ID
	delete(st.movable[id], r)
	if len(st.movable[id]) == 0 {
		delete(st.movable, id)
	}
	return r.moved
}

// keep ends the move of an attempt that goes on where it is. again means that it may be moved once more,
// with the query q.
func (st *State) keep(r *movableAttempt, q placement.Query, again bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.query, r.moved, r.pinned, r.handover = q, false, !again, nil
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
// only to an engine with a free slot. A stream goes on where it is if the next engine turns it down
// within Relay.HandoverTime; if that engine fails later, the stream is resumed or broken off as after any
// other failure.
func (st *State) moveOffSlowEngines(now time.Time) {
	for id, attempts := range st.movable {
		ep, ok := st.endpoints[id]
		if !ok {
			continue
		}
		for _, r := range newest(attempts, st.excess(ep, now)) {
			if !st.move(r, EngineSlow, now) {
				break
			}
		}
	}
}

// moveOffSilentEndpoints moves requests off endpoints that can't be heard while others of their group can. mu
// must be held.
//
// Nothing ends such a request but its caller's patience, and nothing tells the endpoint that the caller has
// left: on a VM that stood still for 3 s, eight callers waited for 2 s each, and their work went on after they
// had left, while eleven other engines had free slots. The conditions are those of moveOffSlowEngines, but where
// all slots are taken, endpoints may get extraMoved requests each. The attempt is kept until the next endpoint
// has an event of the stream; if it is heard before, the stream goes on there. Those go first whose callers have
// waited longest, as these leave first.
func (st *State) moveOffSilentEndpoints(now time.Time) {
	for id, m := range st.silences.marks {
		if m.verdict != silence.Silent {
			continue
		}
		waiting := movableNow(st.movable[id])
		slices.SortFunc(waiting, func(a, b *movableAttempt) int { return a.waitingSince().Compare(b.waitingSince()) })
		for _, r := range waiting {
			if !st.move(r, EndpointSilent, now) {
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
	leaving := st.beingMoved(ep.ID)
	running -= leaving
	if running <= supported || running <= 0 {
		return 0
	}
	mine := st.ownRunning[ep.ID] - leaving
	return mine - mine*supported/running
}

// beingMoved returns how many of this entry's requests are being moved off an endpoint.
func (st *State) beingMoved(id string) int {
	n := 0
	for r := range st.movable[id] {
		if r.moved {
			n++
		}
	}
	return n
}

// newest returns the n attempts that started last, which have the most output left to produce.
func newest(attempts map[*movableAttempt]bool, n int) []*movableAttempt {
	if n <= 0 {
		return nil
	}
	out := movableNow(attempts)
	slices.SortFunc(out, func(a, b *movableAttempt) int { return cmp.Compare(b.seq, a.seq) })
	return out[:min(n, len(out))]
}

// movableNow returns the attempts that can be moved, in unspecified order.
func movableNow(attempts map[*movableAttempt]bool) []*movableAttempt {
	out := make([]*movableAttempt, 0, len(attempts))
	for r := range attempts {
		if !r.moved && !r.pinned {
			out = append(out, r)
		}
	}
	return out
}

// move begins to move a request to another endpoint. It returns false if no further request can be moved
// now.
func (st *State) move(r *movableAttempt, reason MoveReason, now time.Time) bool {
	if st.endBy(r.deadline).Sub(now) < minTimeToMove {
		return true
	}
	if !st.budget(r.service.Name, now).CanRetry(now) {
		return false
	}
	q := r.query
	q.Excluded = slices.Concat(q.Excluded, st.lastFailed(r.service.Name))
	assigned, e := st.choose(r.service, q, now)
	if e != nil && reason == EndpointSilent {
		assigned, e = st.chooseBeyond(r.service, q, extraMoved, now)
	}
	if e != nil {
		return false
	}
	st.budget(r.service.Name, now).TrySpend(now)
	r.moved = true
	r.begin(assigned, reason)
	return true
}

// lastFailed returns the endpoints of a service whose last answer to this entry was a failure. A move is
// never necessary, so it does not take the risk of another one.
func (st *State) lastFailed(service string) []string {
	var ids []string
	for id, n := range st.failures {
		if n > 0 && st.endpoints[id].Service == service {
			ids = append(ids, id)
		}
	}
	return ids
}

// runMovable runs an attempt, which may be moved meanwhile if the request permits it. from is the move
// with which it began, or nil. It returns the move with which the request goes on, or nil.
func (j *job) runMovable(ctx context.Context, assigned Assignment, from *handover) (Outcome, *handover) {
	attemptCtx, cancel := attemptContext(ctx, from)
	defer cancel(nil)
	if !j.mayMove() {
		return j.attempt(attemptCtx, assigned, from), nil
	}
	st := j.relay.State
	r := &movableAttempt{service: j.service, query: j.query(), assigned: assigned, class: j.class(), receivedAt: j.raw.ReceivedAt, deadline: j.deadline, at: j.position}
	r.begin = j.beginHandover(ctx, r, cancel)
	st.registerMovable(r)
	j.movable = r
	o := j.attempt(attemptCtx, assigned, from)
	j.movable = nil
	if !st.unregisterMovable(r) {
		return o, nil
	}
	next := j.endHandover(ctx, r.currentHandover())
	if next != nil && errors.Is(context.Cause(attemptCtx), errMoved) {
		return movedOutcome(o, next.reason), next
	}
	return o, next
}

// movedOutcome returns the outcome of an attempt that was ended for a move, and otherwise ended with o.
func movedOutcome(o Outcome, reason MoveReason) Outcome {
	switch o.(type) {
	case Failed, Unusable, NotRun:
		return o // it had ended before
	default:
		return Moved{Reason: reason}
	}
}

// attemptContext returns the context of an attempt. That of one which began with a move is that of the
// move.
func attemptContext(ctx context.Context, from *handover) (context.Context, context.CancelCauseFunc) {
	if from != nil {
		return from.ctx, from.cancel
	}
	return context.WithCancelCause(ctx)
}

// mayMove reports whether the request may continue at another endpoint once more.
func (j *job) mayMove() bool {
	r := j.route
	return r.RetrySemantics == routing.Stream && r.Resumable && j.attempts.Sent+1 < r.MaxAttempts && !j.unnumbered
}
