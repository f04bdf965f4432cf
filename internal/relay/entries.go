package relay

import "time"

const (
	// minEntriesAtStart is the least number of entries that is assumed until all have had time to
	// be listed, so that shares are too small rather than too large.
	minEntriesAtStart = 12
	// entryRetention is how long an entry counts after it was delisted. An entry that is cut off
	// from the store loses its listing there and goes on serving.
	entryRetention = 20 * time.Second
)

// SetEntry records that an entry is listed, or has been delisted.
func (st *State) SetEntry(name string, listed bool, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if listed {
		st.entries[name] = time.Time{}
		return
	}
	if _, ok := st.entries[name]; ok {
		st.entries[name] = now
		st.removeEntryLoad(name)
	}
}

// Entries returns the number of entries that share the capacity of the endpoints.
func (st *State) Entries(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.countEntries(now)
}

func (st *State) countEntries(now time.Time) int {
	n := 0
	for name, delistedAt := range st.entries {
		if !delistedAt.IsZero() && now.Sub(delistedAt) > entryRetention {
			delete(st.entries, name)
			continue
		}
		n++
	}
	if _, ok := st.entries[st.Name]; !ok {
		n++
	}
	if !st.endpointsListed || now.Sub(st.startedAt) < entryRetention {
		return max(n, minEntriesAtStart)
	}
	return n
}

// listedEntries returns the number of entries that are listed now, but at least 1.
func (st *State) listedEntries() int {
	n := 0
	for _, delistedAt := range st.entries {
		if delistedAt.IsZero() {
			n++
		}
	}
	return max(1, n)
}
