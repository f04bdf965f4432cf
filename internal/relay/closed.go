package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// wordStale is the age from which what a group's leader told of it counts no
	// more. It tells several times in that time.
	wordStale = 500 * time.Millisecond
	// silentFrom is how long a group's engines must have answered nothing to one
	// entry, after a failure, to be taken for closed without its leader's word: two
	// of the longest passes.
	silentFrom = 250 * time.Millisecond
	// probeEvery is the pause between requests that find out whether a group is
	// open again of which no leader tells.
	probeEvery = 150 * time.Millisecond
)

// closure is a group that takes no requests.
type closure struct {
	// lasted is for how long it has taken none.
	lasted  time.Duration
	forming bool
	// told says that its leader said so; else it was concluded from failures.
	told bool
	// engines are those of closed groups, as far as leaders told of them, also while
	// others are open.
	engines []string
}

// closure returns whether the service's groups of engines take no requests, with mu
// held. What their leaders tell goes before what failures say.
func (b *Belief) closure(s *routing.Service, now time.Time) (closure, bool) {
	if !lockstep(s) {
		return closure{}, false
	}
	since, failing := b.outages.since[s.Name]
	c := closure{}
	if failing {
		c.lasted = now.Sub(since)
	}
	open := 0
	for id, ep := range b.endpoints {
		l := b.loads[id]
		if ep.Service != s.Name || now.Sub(l.At) >= wordStale {
			continue
		}
		if !l.Closed {
			open++
			continue
		}
		c.engines = append(c.engines, id)
		c.forming = c.forming || l.Forming
	}
	c.told = open+len(c.engines) > 0
	if c.told {
		return c, open == 0
	}
	return c, failing && c.lasted >= silentFrom
}

// lockstep reports whether the engines of a service work in groups.
func lockstep(s *routing.Service) bool { return s.Engine != nil && s.Engine.Experts.Sets > 0 }

// mayProbe reports whether a request may be sent to a group that is taken for
// closed, to find out whether it still is. Only one that was not sent before is:
// a second sending costs the fleet's retry budget.
func (b *Belief) mayProbe(s *routing.Service, c closure, sent bool, now time.Time) bool {
	if c.told || sent || now.Sub(b.probed[s.Name]) < probeEvery {
		return false
	}
	b.probed[s.Name] = now
	return true
}

// awaitsGroup decides whether a request may wait for a closed group to open, and
// returns its refusal if not.
//
// Load: all engines of a group stop at once, because a rank or the way to a data
// centre is lost or all VMs lost power, and callers have one more try. How long it
// will take is best guessed by how long it has taken so far; once no rank is
// missing it is a matter of a second. Harm prevented: callers who have come back as
// they were asked to are refused while the group forms, for the last time, though
// they would wait for longer than that. Limits: one who asks for the first time is
// asked back, when the group has most likely opened, and does not wait: with them
// the crowd that meets the group as it opens is twice as large, and those who come
// then and could be on time become late behind it. Nobody is held through an outage
// of which nobody knows the end.
func (b *Belief) awaitsGroup(a Ask, now time.Time) *result.Error {
	c, closed := b.closure(a.Service, now)
	if !closed {
		return nil
	}
	b.rest(a.Service, now)
	room := b.lastStart(a, now).Sub(now)
	if a.CameBack && room > 0 && (c.forming || c.lasted <= room) {
		return nil
	}
	return b.refusal(a.Service.Name, result.GroupClosed, now)
}
