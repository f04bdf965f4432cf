package placement

import "time"

// Attempt is an attempt of this entry that has been placed on an endpoint.
type Attempt struct {
	endpoint    *endpoint
	incarnation uint64
	tokens      int
	// promptTokens counts as in progress until the first part of the response.
	promptTokens float64
	started      time.Time
	// lastProgress is when the last part of the response arrived, or started if
	// none has.
	lastProgress time.Time
	responded    bool
	ended        bool
	route        *route
	// prev and next link the attempts of an endpoint in order of lastProgress.
	prev, next *Attempt
}

// Endpoint returns the name of the attempt's endpoint.
func (a *Attempt) Endpoint() string { return a.endpoint.name }

// LastPartAt returns when the last part of the response arrived. It returns false if none has, or if a is nil.
func (a *Attempt) LastPartAt() (time.Time, bool) {
	if a == nil || !a.responded {
		return time.Time{}, false
	}
	return a.lastProgress, true
}

// attemptList is the list of the open attempts of an endpoint, ordered by
// lastProgress, oldest first.
type attemptList struct{ first, last *Attempt }

func (l *attemptList) add(a *Attempt) {
	a.prev, a.next = l.last, nil
	if l.last != nil {
		l.last.next = a
	} else {
		l.first = a
	}
	l.last = a
}

func (l *attemptList) remove(a *Attempt) {
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

// Start records that an attempt was placed on the selected endpoint. Its load
// counts from now until it ends, independent of reports. Start returns nil if
// the endpoint was removed after it was selected.
func (b *Balancer) Start(c Choice, q Query, now time.Time) *Attempt {
	e := b.endpoints[c.Endpoint]
	if e == nil {
		return nil
	}
	a := &Attempt{
		endpoint: e, incarnation: e.incarnation, tokens: max(0, q.Tokens), promptTokens: float64(max(0, q.PromptTokens)),
		started: now, lastProgress: now, route: b.routes[q.Route],
	}
	b.observeTokens(a.tokens)
	e.attempts.add(a)
	e.prompts.own += a.promptTokens
	e.addOwnLoad(1, a.tokens, now)
	return a
}

// addOwnLoad adds the given streams and tokens, which may be negative, to the
// load of this entry on the endpoint.
func (e *endpoint) addOwnLoad(streams, tokens int, now time.Time) {
	e.ownStreams += streams
	e.ownTokens += tokens
	e.history.add(now, e.ownStreams, e.ownTokens)
}

// Progress records that a part of the response has arrived. It does nothing if a
// is nil or has ended.
func (b *Balancer) Progress(a *Attempt, now time.Time) {
	if a == nil || a.ended {
		return
	}
	e := a.endpoint
	b.Accept(a)
	if !a.responded {
		a.responded = true
		e.prompts.own -= a.promptTokens
		e.consecutiveFailures = 0
		e.observeLatency(now.Sub(a.started).Seconds(), a)
	}
	a.lastProgress = now
	e.attempts.remove(a)
	e.attempts.add(a)
}

// End removes the load of the attempt from its endpoint. It does nothing if a
// is nil or has ended.
func (b *Balancer) End(a *Attempt, now time.Time) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	if !a.responded {
		a.endpoint.prompts.own -= a.promptTokens
	}
	a.endpoint.attempts.remove(a)
	a.endpoint.addOwnLoad(-1, -a.tokens, now)
}

// Refuse records that the agent refused the attempt without running it, and
// ends the attempt. The endpoint then counts as full until a report from after
// the refusal shows free capacity or an attempt of this entry ends there. As
// reports may be seconds old, attempts may also be placed after a backoff:
// minBackoff, doubled with each consecutive refusal, or retryAfter if that is
// longer, but at most maxBackoff. The refusal of an attempt that started before
// the last refusal doesn't double it.
//
// At saturation each entry has queued requests and tries each free slot that an
// outdated report shows. Without the backoff agents would spend most of their
// work on refusals.
func (b *Balancer) Refuse(a *Attempt, retryAfter time.Duration, now time.Time) {
	if a == nil || a.ended {
		return
	}
	b.End(a, now)
	e := a.endpoint
	backoff := min(max(retryAfter, minBackoff<<min(e.consecutiveRefusals, 10)), maxBackoff)
	if !a.started.Before(e.lastRefusal) {
		e.consecutiveRefusals++
	}
	e.backoffUntil = now.Add(backoff)
	e.lastRefusal = now
	e.otherStreams = max(e.otherStreams, float64(e.allowance-e.ownStreams))
}

// Fail records that the endpoint failed the attempt, and ends the attempt.
// The endpoint is ejected (not selected) for a time that doubles with each
// consecutive failure.
//
// An endpoint that fails each request immediately has no load and would always
// be preferred by committed load, so that it would receive a large part of all
// requests. After the ejection a single failure ejects it again for longer, so
// few requests are lost until it recovers.
//
// Failures of attempts that started before the last counted failure, or in an
// earlier incarnation, don't count, because an engine that restarts breaks all
// its streams at once. Without this rule, six broken streams ejected for 8 s an
// engine that was back immediately.
func (b *Balancer) Fail(a *Attempt, now time.Time) {
	if a == nil || a.ended {
		return
	}
	b.End(a, now)
	e := a.endpoint
	if a.incarnation != e.incarnation || a.started.Before(e.lastFailure) {
		return
	}
	e.lastFailure = now
	e.ejectedUntil = now.Add(minEjection << min(e.consecutiveFailures, maxEjectionDoublings))
	e.consecutiveFailures++
	e.respondedToFailed = a.responded
}

// Bounds of the ejection after a failure: 250 ms, doubled up to 16 s. The first is
// short because single requests also fail on healthy endpoints, which must not be
// ejected for long.
const (
	minEjection          = 250 * time.Millisecond
	maxEjectionDoublings = 6
)

// Accept records that the agent accepted the attempt. It does nothing if a is
// nil.
func (b *Balancer) Accept(a *Attempt) {
	if a != nil && a.incarnation == a.endpoint.incarnation {
		a.endpoint.consecutiveRefusals = 0
	}
}

// Bounds of the backoff after a refusal. A new report usually arrives before
// minBackoff has passed; maxBackoff is a delay that callers hardly notice.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
)
