package placement

import (
	"math"
	"time"
)

// endpoint is the state of one endpoint as known to this entry.
type endpoint struct {
	name       string
	hash       uint64
	dataCentre string
	// local is whether the endpoint is in the data centre of the entry.
	local       bool
	incarnation uint64
	routes      []string

	reportedAt time.Time
	allowance  int
	capacity   int
	cold       bool
	draining   bool
	// reportedOutOfService is whether the agent reports the endpoint as out of
	// service, and configuredOut whether the entry's configuration says so.
	// Either may lag behind the other; the endpoint is out of service if one of
	// them is set.
	reportedOutOfService bool
	configuredOut        bool
	// otherStreams and otherTokens are the reported load from other entries.
	otherStreams float64
	otherTokens  float64

	// ownStreams and ownTokens are the current load from this entry.
	ownStreams int
	ownTokens  int
	history    loadHistory
	prompts    promptLoad
	attempts   attemptList

	// availableSince is when the endpoint last became available.
	availableSince time.Time
	// lastRefusal is the time of the last refusal, backoffUntil is when an
	// attempt may be placed again in spite of it, and consecutiveRefusals
	// counts the refusals since the agent last accepted an attempt, without
	// those of attempts that started before the previous refusal.
	lastRefusal         time.Time
	backoffUntil        time.Time
	consecutiveRefusals int
	// consecutiveFailures counts the failures since the last response,
	// lastFailure is the time of the last one that was counted, and
	// ejectedUntil is when the endpoint may be selected again.
	consecutiveFailures int
	lastFailure         time.Time
	ejectedUntil        time.Time
	// respondedToFailed is whether a part of the response to the attempt that last
	// failed had arrived: the endpoint was running then.
	respondedToFailed bool
	// lastChosen is when the endpoint was last selected.
	lastChosen time.Time
	// probes counts the probes since the endpoint last responded in normal
	// time.
	probes int
	// latency is the smoothed time to the first part of a response, in seconds,
	// or zero if it is unknown.
	latency float64
}

// reset discards what is known about earlier incarnations of the endpoint.
func (e *endpoint) reset(incarnation uint64, now time.Time) {
	e.incarnation = incarnation
	e.availableSince = now
	e.reportedAt = time.Time{}
	e.lastRefusal, e.backoffUntil = time.Time{}, time.Time{}
	e.consecutiveRefusals = 0
	e.consecutiveFailures, e.lastFailure, e.ejectedUntil = 0, time.Time{}, time.Time{}
	e.respondedToFailed = false
	e.latency = 0
}

// unavailable reports whether the endpoint is draining or out of service.
func (e *endpoint) unavailable() bool { return e.draining || e.reportedOutOfService || e.configuredOut }

// applyReport copies the report and subtracts the load that this entry had on
// the endpoint at the time of the report. Attempts that this entry starts later
// are added immediately; those of other entries appear in the next report. A
// report from before the last refusal doesn't lower the load from other
// entries.
func (e *endpoint) applyReport(r Report, dataCentre string) {
	e.dataCentre = r.DataCentre
	e.local = r.DataCentre == dataCentre
	e.allowance = max(0, r.Allowance)
	e.capacity = max(1, r.Capacity, r.Allowance)
	e.cold, e.draining, e.reportedOutOfService = r.Cold, r.Draining, r.OutOfService
	e.reportedAt = r.ValidAt
	own, tokens := e.history.loadAt(r.ValidAt)
	others := math.Max(0, float64(r.Running-own))
	if !r.ValidAt.After(e.lastRefusal) {
		others = math.Max(others, e.otherStreams)
	}
	e.otherStreams = others
	e.otherTokens = math.Max(0, float64(r.CommittedTokens)-float64(tokens))
}

// hasRecentReport reports whether the last report is at most staleAfter old.
func (e *endpoint) hasRecentReport(now time.Time, staleAfter time.Duration) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= staleAfter
}

// streams returns the number of committed streams: those of this entry as of
// now, and those of other entries as of the last report.
func (e *endpoint) streams() float64 { return e.otherStreams + float64(e.ownStreams) }

// state returns eligible, or the index in rejectionCodes of the reason that the
// endpoint can't be selected.
func (b *Balancer) state(e *endpoint, rt *route, now time.Time) int {
	if !e.unavailable() && now.Before(e.ejectedUntil) {
		return busy
	}
	return b.stateWithoutEjection(e, rt, now)
}

// lastResortState is state for when no endpoint can be selected: it makes endpoints
// eligible that can't be selected only because they were ejected, if they had begun
// to respond to the attempt that failed.
//
// Endpoints that all break off some responses would otherwise all be ejected in
// turn, and requests refused that most of them would answer.
func (b *Balancer) lastResortState(e *endpoint, rt *route, now time.Time) int {
	if !e.respondedToFailed || !now.Before(e.ejectedUntil) {
		return busy
	}
	return b.stateWithoutEjection(e, rt, now)
}

// stateWithoutEjection is state for an endpoint whose ejection doesn't count.
func (b *Balancer) stateWithoutEjection(e *endpoint, rt *route, now time.Time) int {
	switch {
	case e.reportedOutOfService || e.configuredOut:
		return outOfService
	case e.draining:
		return draining
	case !e.hasRecentReport(now, b.StaleAfter):
		return b.stateUnknown(e, now)
	case e.cold:
		return b.stateCold(e, now)
	case e.streams() >= e.streamLimit(rt, now) && !e.mayRetry(now):
		return busy
	}
	return eligible
}

// mayRetry reports whether attempts may be placed on an endpoint although it
// counts as full because of a refusal: its backoff has passed, and no newer report
// has arrived.
func (e *endpoint) mayRetry(now time.Time) bool {
	return e.consecutiveRefusals > 0 && !e.reportedAt.After(e.lastRefusal) && !now.Before(e.backoffUntil)
}

// stateUnknown is the state of an endpoint without a recent report. It allows
// one attempt of this entry at a time, so that an endpoint that looks idle only
// because its reports have stopped isn't flooded. One attempt is enough to get
// new information, because the agent still refuses what the endpoint can't run.
func (b *Balancer) stateUnknown(e *endpoint, now time.Time) int {
	if e.ownStreams > 0 || now.Before(e.backoffUntil) {
		return busy
	}
	return eligible
}

// stateCold is the state of an endpoint in cold start. It limits this entry to
// an equal share of the free allowance. When an endpoint or a data centre comes
// back, all entries see the same free allowance in the same outdated report.
// The agent would refuse the excess, but each refusal costs the caller a round
// trip.
func (b *Balancer) stateCold(e *endpoint, now time.Time) int {
	free := float64(e.allowance) - e.otherStreams
	quota := math.Ceil(free / float64(b.Entries))
	if now.Before(e.backoffUntil) || float64(e.ownStreams) >= quota || free <= 0 {
		return cold
	}
	return eligible
}

// loadHistory holds the last changes of this entry's load on an endpoint in a
// ring buffer, so that a report can be compared with the load at the time of
// the report.
type loadHistory struct {
	samples [historySize]loadSample
	next    int
	count   int
	// evicted is the load before the oldest sample.
	evicted loadSample
}

const historySize = 32

// loadSample is the load of this entry from a point in time on.
type loadSample struct {
	at      time.Time
	streams int
	tokens  int
}

// add records the load from the given time on.
func (h *loadHistory) add(at time.Time, streams, tokens int) {
	if h.count == historySize {
		h.evicted = h.samples[h.next]
	}
	h.samples[h.next] = loadSample{at, streams, tokens}
	h.next = (h.next + 1) % historySize
	h.count = min(h.count+1, historySize)
}

// loadAt returns the load at time t. For a time before the oldest sample it
// returns the load before that sample.
func (h *loadHistory) loadAt(t time.Time) (streams, tokens int) {
	for i := 1; i <= h.count; i++ {
		sample := &h.samples[(h.next-i+historySize)%historySize]
		if !sample.at.After(t) {
			return sample.streams, sample.tokens
		}
	}
	return h.evicted.streams, h.evicted.tokens
}
