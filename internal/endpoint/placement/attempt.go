package placement

import "time"

// Attempt is one attempt of this entry that has been placed and not ended.
type Attempt struct {
	endpoint    *endpoint
	incarnation uint64
	tokens      int
	started     time.Time
	// heard is the start, or when the last piece came.
	heard    time.Time
	answered bool
	ended    bool
	set      *routeSet
	// prev and next link the endpoint's attempts by heard.
	prev, next *Attempt
}

// Endpoint returns the name of the attempt's endpoint.
func (a *Attempt) Endpoint() string { return a.endpoint.name }

// attempts lists the open attempts of an endpoint, longest silent first.
type attempts struct{ first, last *Attempt }

func (l *attempts) add(a *Attempt) {
	a.prev, a.next = l.last, nil
	if l.last != nil {
		l.last.next = a
	} else {
		l.first = a
	}
	l.last = a
}

func (l *attempts) remove(a *Attempt) {
	if a.prev != nil {
		a.prev.next = a.next
	} else {
		l.first = a.next
	}
	if a.next != nil {
		a.next.prev = a.prev
	} else {
		l.last = a.prev
	}
	a.prev, a.next = nil, nil
}

// Started commits an attempt to the chosen endpoint. Its work counts from now
// until Ended, whatever the reports say. It returns nil when the endpoint has
// been removed since the choice.
func (p *Picture) Started(c Choice, q Query, now time.Time) *Attempt {
	e := p.endpoints[c.Endpoint]
	if e == nil {
		return nil
	}
	a := &Attempt{
		endpoint: e, incarnation: e.incarnation, tokens: max(0, q.Tokens),
		started: now, heard: now, set: p.routes[q.Route],
	}
	p.noteTokens(a.tokens)
	e.attempts.add(a)
	e.commit(1, a.tokens, now)
	return a
}

func (e *endpoint) commit(streams, tokens int, now time.Time) {
	e.own += streams
	e.ownTokens += tokens
	e.history.add(now, e.own, e.ownTokens)
}

// Piece records that a piece of the answer has come.
func (p *Picture) Piece(a *Attempt, now time.Time) {
	if a == nil || a.ended {
		return
	}
	e := a.endpoint
	p.Accepted(a)
	if !a.answered {
		a.answered = true
		e.failures = 0
		e.observe(now.Sub(a.started).Seconds(), a)
	}
	a.heard = now
	e.attempts.remove(a)
	e.attempts.add(a)
}

// Ended takes the attempt's work off its endpoint. Ending twice does no harm.
func (p *Picture) Ended(a *Attempt, now time.Time) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.endpoint.attempts.remove(a)
	a.endpoint.commit(-1, -a.tokens, now)
}

// Refused records that the agent has refused the attempt as not run, and ends
// it. The endpoint counts as full until a report from after the refusal says
// otherwise or an own attempt ends there. Reports may be seconds old, so that
// one attempt may also ask again after a pause: retryAfter or leastBackOff,
// whichever is longer, doubled with each refusal in a row.
//
// The load is saturation: each entry has waiting requests and asks for each
// place that a lagging report shows. Without the pause most of what agents do
// would be to refuse.
func (p *Picture) Refused(a *Attempt, retryAfter time.Duration, now time.Time) {
	if a == nil || a.ended {
		return
	}
	p.Ended(a, now)
	e := a.endpoint
	pause := min(max(retryAfter, leastBackOff<<min(e.refusals, 10)), mostBackOff)
	if !a.started.Before(e.refused) {
		e.refusals++
	}
	e.backOff = now.Add(pause)
	e.refused = now
	e.others = max(e.others, float64(e.allowance-e.own))
}

// Failed records that the endpoint has failed the attempt, and ends it. The
// endpoint is left alone for a pause that doubles with each failure in a row.
//
// The load is an endpoint that fails each request within moments. It never has
// work, so by committed load it is always the best choice, and a fleet sends
// it a large part of all requests. After the pause one failure is enough to
// pause it again for longer, so it costs few callers until it is healthy.
//
// Attempts that began before the last failure say nothing new: an engine that
// restarts breaks all its streams at once. Without that rule six broken streams
// made a pause of 8 s for an engine that was back at once.
func (p *Picture) Failed(a *Attempt, now time.Time) {
	if a == nil || a.ended {
		return
	}
	p.Ended(a, now)
	e := a.endpoint
	if a.incarnation != e.incarnation || a.started.Before(e.failedAt) {
		return
	}
	e.failedAt = now
	e.failedUntil = now.Add(leastFailPause << min(e.failures, mostFailDoublings))
	e.failures++
}

// Bounds of the pause after a failure: a quarter of a second, doubled up to 16
// seconds. A request or two of a healthy endpoint fail for their own reasons,
// which must not cost its capacity for long.
const (
	leastFailPause    = 250 * time.Millisecond
	mostFailDoublings = 6
)

// Accepted records that the agent has accepted the attempt.
func (p *Picture) Accepted(a *Attempt) {
	if a != nil && a.incarnation == a.endpoint.incarnation {
		a.endpoint.refusals = 0
	}
}

// Bounds of the pause after a refusal. Reports usually come sooner than the
// lower one; the upper one is what a caller hardly notices.
const (
	leastBackOff = 250 * time.Millisecond
	mostBackOff  = time.Second
)
