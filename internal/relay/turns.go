package relay

import (
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// turnTime is how long an entry's start takes to be known to the others, with
// room: two messages' pauses and the way between data centres.
const turnTime = 50 * time.Millisecond

// turns remembers this entry's latest starts by endpoint.
type turns struct {
	starts map[string][]time.Time
}

func (t *turns) took(endpoint string, now time.Time) {
	if t.starts == nil {
		t.starts = map[string][]time.Time{}
	}
	t.starts[endpoint] = append(t.recent(endpoint, now), now)
}

// recent returns the starts of which the others may not know yet.
func (t *turns) recent(endpoint string, now time.Time) []time.Time {
	starts := t.starts[endpoint]
	for len(starts) > 0 && now.Sub(starts[0]) > turnTime {
		starts = starts[1:]
	}
	return starts
}

// quota returns how many of free places an entry may take within one turn, when
// it is number i of n entries that all have requests waiting. The parts of all
// add up to the free places; what doesn't divide goes to each in turn.
func quota(free, i, n int, now time.Time) int {
	if n <= 1 || free <= 0 {
		return max(0, free)
	}
	q := free / n
	turn := int(now.UnixNano() / int64(turnTime) % int64(n))
	if (i+turn)%n < free%n {
		q++
	}
	return q
}

// leaveToOthers keeps a request off endpoints of whose free places this entry
// has had its part.
//
// The load is a fleet with requests waiting at each entry, and an endpoint that
// becomes free: it ends a stream, or it was slow and no longer is. All entries
// hear of its places in the same moment, and without parts each would fill them
// all; one endpoint was seen with 23 requests queued while others had none.
func (b *Belief) leaveToOthers(service *routing.Service, q *placement.Query, now time.Time) {
	others := b.othersWaiting(service.Name, now)
	if len(others) == 0 {
		return
	}
	others = append(others, b.Name)
	slices.Sort(others)
	i := slices.Index(others, b.Name)
	for id, ep := range b.endpoints {
		if ep.Service != service.Name {
			continue
		}
		allowance, _ := b.bears(ep)
		running, _ := b.running(ep, now)
		taken := len(b.turns.recent(id, now))
		if taken >= quota(allowance-running+taken, i, len(others), now) {
			q.Tried = append(q.Tried, id)
		}
	}
}

// othersWaiting names the other entries at which requests of a service wait.
func (b *Belief) othersWaiting(service string, now time.Time) []string {
	var out []string
	for name, w := range b.works {
		if now.Sub(w.At) < workStale && slices.Contains(w.Waiting, service) {
			out = append(out, name)
		}
	}
	return out
}
