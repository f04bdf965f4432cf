package relay

import (
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// quotaPeriod is how long it takes, with a margin, until the other entries know that this one has
// started a request: two intervals between messages and the latency between data centres.
const quotaPeriod = 50 * time.Millisecond

// startHistory holds the times of this entry's latest assignments, by endpoint.
type startHistory struct {
	starts map[string][]time.Time
}

func (t *startHistory) record(endpoint string, now time.Time) {
	if t.starts == nil {
		t.starts = map[string][]time.Time{}
	}
	t.starts[endpoint] = append(t.recent(endpoint, now), now)
}

// recent returns the times of the assignments that the other entries may not know yet.
func (t *startHistory) recent(endpoint string, now time.Time) []time.Time {
	starts := t.starts[endpoint]
	for len(starts) > 0 && now.Sub(starts[0]) > quotaPeriod {
		starts = starts[1:]
	}
	return starts
}

// quota returns how many of the free slots an entry may take within one quotaPeriod, when it is
// number i of n entries that all have waiting requests. The quotas of all entries add up to the
// free slots; the remainder of the division goes to each entry in turn.
func quota(free, i, n int, now time.Time) int {
	if n <= 1 || free <= 0 {
		return max(0, free)
	}
	q := free / n
	turn := int(now.UnixNano() / int64(quotaPeriod) % int64(n))
	if (i+turn)%n < free%n {
		q++
	}
	return q
}

// excludeBeyondQuota excludes endpoints of whose free slots this entry has already taken its quota.
//
// When requests wait at each entry of a fleet and an endpoint has free slots again, because it ends
// a stream or is no longer slow, all entries learn of it at the same moment. Without quotas each
// would fill all the slots; one endpoint was seen with 23 queued requests while others had none.
func (st *State) excludeBeyondQuota(service *routing.Service, q *placement.Query, now time.Time) {
	others := st.othersWaiting(service.Name, now)
	if len(others) == 0 {
		return
	}
	others = append(others, st.Name)
	slices.Sort(others)
	i := slices.Index(others, st.Name)
	for id, ep := range st.endpoints {
		if ep.Service != service.Name {
			continue
		}
		allowance, _ := st.endpointCapacity(ep)
		running, _ := st.running(ep, now)
		taken := len(st.recentStarts.recent(id, now))
		if taken >= quota(allowance-running+taken, i, len(others), now) {
			q.Excluded = append(q.Excluded, id)
		}
	}
}

// othersWaiting returns the names of the other entries with waiting requests of a service.
func (st *State) othersWaiting(service string, now time.Time) []string {
	var out []string
	for name, l := range st.entryLoads {
		if now.Sub(l.At) < maxEntryLoadAge && slices.Contains(l.Waiting, service) {
			out = append(out, name)
		}
	}
	return out
}
