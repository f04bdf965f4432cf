package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// minRefusals is the number of refusals in a row from which an endpoint is left alone for a
	// while. A single one only means that it was full.
	minRefusals = 2
	// minRefusingPause is the pause after minRefusals, which doubles with each further refusal up to
	// maxRefusingPause. The longest one bounds how late an entry notices that the endpoint has
	// recovered.
	minRefusingPause = 250 * time.Millisecond
	maxRefusingPause = 2 * time.Second
)

// refusalStreak counts the refusals of an endpoint since it last answered this entry.
type refusalStreak struct {
	refusals int
	last     time.Time
	// pausedUntil is until when the endpoint is left alone.
	pausedUntil time.Time
}

// refusalStreaks holds the streaks by endpoint ID.
type refusalStreaks struct {
	byEndpoint map[string]refusalStreak
}

// record counts a refusal of an attempt that was assigned at assignedAt. Attempts that were under
// way at the previous refusal don't count: a burst is refused as a whole.
func (s *refusalStreaks) record(id string, assignedAt, now time.Time) {
	if s.byEndpoint == nil {
		s.byEndpoint = map[string]refusalStreak{}
	}
	streak := s.byEndpoint[id]
	if assignedAt.Before(streak.last) {
		return
	}
	streak.refusals++
	streak.last = now
	if doublings := streak.refusals - minRefusals; doublings >= 0 {
		streak.pausedUntil = now.Add(refusingPause(doublings))
	}
	s.byEndpoint[id] = streak
}

// refusingPause returns the pause after a number of doublings.
func refusingPause(doublings int) time.Duration {
	pause := minRefusingPause
	for range doublings {
		if pause *= 2; pause >= maxRefusingPause {
			return maxRefusingPause
		}
	}
	return pause
}

func (s *refusalStreaks) forget(id string) { delete(s.byEndpoint, id) }

// Refusing returns how many requests in a row an endpoint has refused, and for how long it is left
// alone because of them.
func (st *State) Refusing(id string, now time.Time) (refusals int, pause time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	streak := st.refusing.byEndpoint[id]
	return streak.refusals, max(0, streak.pausedUntil.Sub(now))
}

// RefusingEndpoints returns the number of endpoints that are left alone because they have refused
// requests in a row.
func (st *State) RefusingEndpoints(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := 0
	for _, streak := range st.refusing.byEndpoint {
		if now.Before(streak.pausedUntil) {
			n++
		}
	}
	return n
}

// excludeRefusing excludes endpoints that have refused several requests in a row, and reports
// whether it excluded any. mu must be held.
//
// An endpoint that turns all requests away has no load, so it would get more requests than any
// other one, and callers use up their attempts there. While the whole service gives no answers,
// its endpoints refuse for a common reason, such as a closed group, and the pauses would only delay
// the first request after it.
func (st *State) excludeRefusing(service *routing.Service, q *placement.Query, now time.Time) bool {
	if since, down := st.outages.since[service.Name]; down && now.Sub(since) >= closedAfterSilence {
		return false
	}
	excluded := false
	for id, streak := range st.refusing.byEndpoint {
		if now.Before(streak.pausedUntil) && st.endpoints[id].Service == service.Name {
			q.Excluded = append(q.Excluded, id)
			excluded = true
		}
	}
	return excluded
}
