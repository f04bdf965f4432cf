package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
)

// limit is what an endpoint said last of how many requests it takes.
type limit struct {
	// perSecond is for all entries together; none says that it named no limit.
	perSecond float64
	none      bool
	// at is when that was true at the latest.
	at time.Time
	// born is the start of the endpoint that said so.
	born uint64
}

// limits holds what endpoints said of how many requests they take, by id.
type limits map[string]limit

// note takes in an answer to a request that was given to the endpoint at given, and
// reports whether it changed what is known.
//
// Guard: an answer that was made before the endpoint named its limit may come after one
// that names it, and must not end it.
func (l limits) note(ep directory.Endpoint, perSecond float64, given, now time.Time) bool {
	old, ok := l.of(ep)
	switch {
	case perSecond >= 0:
		l[ep.ID] = limit{perSecond: perSecond, at: now, born: ep.Born}
		return !ok || old.perSecond != perSecond
	case ok && given.After(old.at):
		l[ep.ID] = limit{none: true, at: now, born: ep.Born}
		return true
	default:
		return false
	}
}

// of returns the limit that an endpoint names, or false if it names none.
func (l limits) of(ep directory.Endpoint) (limit, bool) {
	known, ok := l[ep.ID]
	if !ok || known.none || known.born != ep.Born {
		return limit{}, false
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

// LimitedEndpoints returns how many endpoints name a limit.
func (b *Belief) LimitedEndpoints() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, ep := range b.endpoints {
		if _, ok := b.limits.of(ep); ok {
			n++
		}
	}
	return n
}
