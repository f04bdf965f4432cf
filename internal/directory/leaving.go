package directory

import (
	"maps"
	"time"
)

// leavingRetention is how long it is remembered that an endpoint without an entry is leaving. Such
// endpoints exit within some seconds, and their entries may come back until then.
const leavingRetention = 10 * time.Minute

// leavingMarks holds the endpoints that have said that they are shutting down, by ID. They are kept
// apart from the entries, because an entry that lapses and comes back doesn't undo the shutdown.
type leavingMarks struct {
	byID map[string]leavingMark
}

type leavingMark struct {
	// startMillis is the start time of the instance that said so.
	startMillis uint64
	at          time.Time
}

// add records that an endpoint's instance is leaving.
func (m *leavingMarks) add(id string, startMillis uint64, now time.Time) {
	if m.byID == nil {
		m.byID = map[string]leavingMark{}
	}
	m.byID[id] = leavingMark{startMillis: max(startMillis, m.byID[id].startMillis), at: now}
}

// covers reports whether the endpoint's instance is leaving. One that has started later is not.
func (m *leavingMarks) covers(e Entry) bool {
	mark, ok := m.byID[e.ID]
	return ok && e.StartMillis <= mark.startMillis
}

// expire deletes the marks of endpoints that have not been listed for leavingRetention.
func (m *leavingMarks) expire(now time.Time, listed func(id string) bool) {
	maps.DeleteFunc(m.byID, func(id string, mark leavingMark) bool {
		return !listed(id) && now.Sub(mark.at) > leavingRetention
	})
}
