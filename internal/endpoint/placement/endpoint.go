package placement

import (
	"math"
	"time"
)

// endpoint is what is known about one endpoint.
type endpoint struct {
	name        string
	hash        uint64
	dataCentre  string
	local       bool
	incarnation uint64
	routes      []string

	reported  time.Time
	allowance int
	capacity  int
	cold      bool
	leaving   bool
	// out is what the agent says and ordered what this entry's configuration
	// says. Either may lag behind the other, and out of service wins.
	out     bool
	ordered bool
	// others and otherTokens are the reported work that is not this entry's.
	others      float64
	otherTokens float64

	own       int
	ownTokens int
	history   history
	attempts  attempts

	// returned is when the endpoint began to be available again.
	returned time.Time
	// refused is the last refusal, backOff when it may be asked again, and
	// refusals how many came in a row.
	refused  time.Time
	backOff  time.Time
	refusals int
	// failures counts the failures since the last answer, failedAt is the time
	// of the last one that counted, and failedUntil is when the endpoint may be
	// chosen again after it.
	failures    int
	failedAt    time.Time
	failedUntil time.Time
	chosen      time.Time
	// probes counts the probes since the endpoint last answered in usual time.
	probes int
	// firstPiece is the smoothed time to the first piece in seconds.
	firstPiece float64
}

func (e *endpoint) restart(incarnation uint64, now time.Time) {
	e.incarnation = incarnation
	e.returned = now
	e.reported = time.Time{}
	e.refused, e.backOff = time.Time{}, time.Time{}
	e.refusals = 0
	e.failures, e.failedAt, e.failedUntil = 0, time.Time{}, time.Time{}
	e.firstPiece = 0
}

func (e *endpoint) unavailable() bool { return e.leaving || e.out || e.ordered }

// take copies the report and subtracts the entry's own part as it was when the
// report was true. Own attempts started since then are counted at once, those
// of other entries appear with the next report.
func (e *endpoint) take(r Report, dataCentre string) {
	e.dataCentre = r.DataCentre
	e.local = r.DataCentre == dataCentre
	e.allowance = max(0, r.Allowance)
	e.capacity = max(1, r.Capacity, r.Allowance)
	e.cold, e.leaving, e.out = r.Cold, r.Leaving, r.Out
	e.reported = r.At
	own, tokens := e.history.before(r.At)
	others := math.Max(0, float64(r.Running-own))
	if !r.At.After(e.refused) {
		others = math.Max(others, e.others)
	}
	e.others = others
	e.otherTokens = math.Max(0, float64(r.CommittedTokens)-float64(tokens))
}

func (e *endpoint) fresh(now time.Time, stale time.Duration) bool {
	return !e.reported.IsZero() && now.Sub(e.reported) <= stale
}

// streams returns the committed streams: own ones as of now, others as of the
// last report.
func (e *endpoint) streams() float64 { return e.others + float64(e.own) }

// state returns eligible, or why the endpoint can't be chosen.
func (p *Picture) state(e *endpoint, s *routeSet, now time.Time) int {
	switch {
	case e.out || e.ordered:
		return outOfService
	case e.leaving:
		return leaving
	case now.Before(e.failedUntil):
		return busy
	case !e.fresh(now, p.StaleAfter):
		return p.stateUnknown(e, now)
	case e.cold:
		return p.stateCold(e, now)
	case e.streams() >= e.bears(s, now) && !e.mayAskAgain(now):
		return busy
	}
	return eligible
}

// mayAskAgain reports whether an endpoint that is full by an own refusal, and
// of which no newer report has come, may be asked again.
func (e *endpoint) mayAskAgain(now time.Time) bool {
	return e.refusals > 0 && !e.reported.After(e.refused) && !now.Before(e.backOff)
}

// stateUnknown lets one own attempt at a time through to an endpoint whose
// load is unknown. The harm prevented is a crowd on an endpoint that looks
// idle because its reports have stopped; one attempt finds out, because the
// agent still answers for what the endpoint can bear.
func (p *Picture) stateUnknown(e *endpoint, now time.Time) int {
	if e.own > 0 || now.Before(e.backOff) {
		return busy
	}
	return eligible
}

// stateCold keeps to the entry's part of a cold endpoint's allowance. The load
// is the moment when an endpoint or data centre returns and all entries see
// the same free allowance in the same lagging report. The agent would refuse
// the excess, but each refusal costs the caller a round trip.
func (p *Picture) stateCold(e *endpoint, now time.Time) int {
	free := float64(e.allowance) - e.others
	part := math.Ceil(free / float64(p.Entries))
	if now.Before(e.backOff) || float64(e.own) >= part || free <= 0 {
		return cold
	}
	return eligible
}

// history remembers the entry's own work at an endpoint over the last changes,
// so that a lagging report can be compared with its own moment.
type history struct {
	events [historySize]event
	next   int
	n      int
	// first is the work before the oldest remembered change.
	first event
}

const historySize = 32

// event is the own work from a moment on.
type event struct {
	at     time.Time
	own    int
	tokens int
}

// add records the own work from at on.
func (h *history) add(at time.Time, own, tokens int) {
	if h.n == historySize {
		h.first = h.events[h.next]
	}
	h.events[h.next] = event{at, own, tokens}
	h.next = (h.next + 1) % historySize
	h.n = min(h.n+1, historySize)
}

// before returns the own work at the given time; for a time before the oldest
// remembered change, the work before that change.
func (h *history) before(at time.Time) (own, tokens int) {
	for i := 1; i <= h.n; i++ {
		ev := &h.events[(h.next-i+historySize)%historySize]
		if !ev.at.After(at) {
			return ev.own, ev.tokens
		}
	}
	return h.first.own, h.first.tokens
}
