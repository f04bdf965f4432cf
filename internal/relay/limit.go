package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// limitMemory is how long a limit holds of which nothing more is heard: an endpoint
	// names it in each answer, and gets some requests by it.
	limitMemory = 30 * time.Second
	// limitTold is for how long others are told of what an endpoint said, which it
	// repeats in its next answer: longer than the pause between two regular messages.
	// mostTold is how many limits they are told of at once, the newest ones.
	limitTold = 1500 * time.Millisecond
	mostTold  = 16
	// leastLimit is the least rate at which an endpoint is sent requests, a second, so
	// that the end of its limit is heard of.
	leastLimit = 0.1
	// Requests that entries have saved up may come to an endpoint at once. It takes
	// savedEach for each request a second of its limit and savedMore besides; both leave
	// some of what it takes to entries that count each other differently.
	savedEach = 2
	savedMore = 3
)

// Limit is what an endpoint said last of how many requests it takes.
type Limit struct {
	// Endpoint is its id, and Born the start of the endpoint that said so.
	Endpoint string
	Born     uint64
	// PerSecond is the requests a second that it takes from all entries together.
	// None says that it names no limit.
	PerSecond float64
	None      bool
	// At is when that was true at the latest.
	At time.Time
}

// rate returns how many requests a second are sent by the limit, from all entries together.
func (l Limit) rate() float64 { return max(l.PerSecond, leastLimit) }

// limits holds what endpoints said of how many requests they take, by id.
type limits struct {
	// known are the newest, and own those that endpoints told this entry itself.
	known map[string]Limit
	own   map[string]Limit
}

// note takes in an answer to a request that was given to the endpoint at given, and
// reports whether it changed what is known. A negative rate says that it names no limit.
//
// Guard: an answer that was made before the endpoint named its limit may come after one
// that names it, and must not end it.
func (l *limits) note(ep directory.Endpoint, perSecond float64, given, now time.Time) bool {
	old, ok := l.of(ep, now)
	none := perSecond < 0
	if none && (!ok || !given.After(old.At)) {
		return false
	}
	told := Limit{Endpoint: ep.ID, Born: ep.Born, PerSecond: max(0, perSecond), None: none, At: now}
	if l.own == nil {
		l.own = map[string]Limit{}
	}
	l.own[ep.ID] = told
	return l.hear(told)
}

// hear takes in what an endpoint told some entry, and reports whether it is another limit
// than was known.
func (l *limits) hear(told Limit) bool {
	old, ok := l.known[told.Endpoint]
	if ok && !told.At.After(old.At) {
		return false
	}
	if l.known == nil {
		l.known = map[string]Limit{}
	}
	l.known[told.Endpoint] = told
	if !ok {
		return !told.None
	}
	return old.None != told.None || old.PerSecond != told.PerSecond || old.Born != told.Born
}

// forget forgets an endpoint.
func (l *limits) forget(id string) {
	delete(l.known, id)
	delete(l.own, id)
}

// of returns the limit that an endpoint names, or false if it names none.
func (l *limits) of(ep directory.Endpoint, now time.Time) (Limit, bool) {
	known, ok := l.known[ep.ID]
	if !ok || known.None || known.Born != ep.Born || now.Sub(known.At) > limitMemory {
		return Limit{}, false
	}
	return known, true
}

// Limited notes the limit that an endpoint names in an answer of its own, in requests a
// second; a negative one says that it names none. It reports whether that is new.
func (b *Belief) Limited(p Place, perSecond float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.limits.note(p.Endpoint, perSecond, p.given, now)
	if changed {
		b.changed()
	}
	return changed
}

// dropOld forgets what was told too long ago to hold.
func (l *limits) dropOld(now time.Time) {
	old := func(_ string, told Limit) bool { return now.Sub(told.At) > limitMemory }
	maps.DeleteFunc(l.known, old)
	maps.DeleteFunc(l.own, old)
}

// OwnLimits returns what endpoints have told this entry of their limits just now, so that
// the others can be told.
//
// Load: a thousand endpoints in need, and a message to the others each 20 ms. Harm
// prevented: what an entry sends grows with the number of endpoints.
func (b *Belief) OwnLimits(now time.Time) []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.dropOld(now)
	var out []Limit
	for _, l := range b.limits.own {
		if now.Sub(l.At) <= limitTold {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return b.At.Compare(a.At) })
	return out[:min(len(out), mostTold)]
}

// HearLimits takes in what endpoints have told another entry, and returns what was new.
//
// Load: an endpoint in need, and a fleet of which each entry sends it a request now and
// then. Harm prevented: each entry learns of the limit only by sending one more.
func (b *Belief) HearLimits(told []Limit) []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changed []Limit
	for _, l := range told {
		if b.limits.hear(l) {
			changed = append(changed, l)
		}
	}
	return changed
}

// LimitedEndpoints returns how many endpoints name a limit.
func (b *Belief) LimitedEndpoints(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, ep := range b.dir.Endpoints(now) {
		if _, ok := b.limits.of(ep, now); ok {
			n++
		}
	}
	return n
}

// limitation is what limits leave of a service's endpoints for this entry.
type limitation struct {
	// barred says that an endpoint is not asked for its limit, and wait is the least time
	// until one may be, or 0 if none may.
	barred bool
	wait   time.Duration
}

// avoidLimited keeps the request off endpoints of whose limit this entry has no share, or
// has used it up, with mu held.
func (b *Belief) avoidLimited(service *routing.Service, q *placement.Query, now time.Time) limitation {
	var out limitation
	for id := range b.limits.known {
		ep, ok := b.endpoints[id]
		if !ok || ep.Service != service.Name {
			continue
		}
		l, ok := b.limits.of(ep, now)
		if !ok {
			continue
		}
		n, mine := b.limitSharers(l)
		rate := l.rate()
		if mine && b.limited.Ready(id, rate, n, now) {
			continue
		}
		out.barred = true
		q.Tried = append(q.Tried, id)
		if w := b.limited.Wait(id, rate, n, now); mine && (out.wait == 0 || w < out.wait) {
			out.wait = w
		}
	}
	return out
}

// takeLimited spends a share of the endpoint's limit, with mu held.
func (b *Belief) takeLimited(ep directory.Endpoint, now time.Time) {
	if l, ok := b.limits.of(ep, now); ok {
		n, _ := b.limitSharers(l)
		b.limited.Take(ep.ID, l.rate(), n, now)
	}
}

// limitSharers returns how many entries share a limit, and whether this one does.
//
// Load: 150 entries and an endpoint that takes one request a second. Harm prevented: each
// has saved up a request after a while, and all come in the same moment. So only as many
// share it as the endpoint takes at once, and which ones follows from the names alone.
func (b *Belief) limitSharers(l Limit) (int, bool) {
	rank := func(name string) uint64 { return xxhash.Sum64String(name + " " + l.Endpoint) }
	own, before, entries := rank(b.Name), 0, 1
	for name := range b.entries {
		if name == b.Name {
			continue
		}
		entries++
		if rank(name) < own {
			before++
		}
	}
	n := int(min(float64(entries), savedEach*l.PerSecond+savedMore))
	return n, before < n
}
