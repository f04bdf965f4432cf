package relay

import "time"

const (
	// minEntriesAtStart is the number of entries assumed at least until all have had the time to be
	// listed, so that shares are rather too small than too large.
	minEntriesAtStart = 12
	// entryRetention is how long an entry counts after it was delisted. An entry that is cut off
	// from the store loses its listing there and goes on serving.
	entryRetention = 20 * time.Second
)

// SetEntry records that another entry is listed, or has been delisted.
func (b *Belief) SetEntry(name string, listed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed {
		b.entries[name] = time.Time{}
		return
	}
	if _, ok := b.entries[name]; ok {
		b.entries[name] = now
		b.removeWork(name)
	}
}

// Entries returns the number of entries that share the capacity of the endpoints.
func (b *Belief) Entries(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.countEntries(now)
}

func (b *Belief) countEntries(now time.Time) int {
	n := 0
	for name, delistedAt := range b.entries {
		if !delistedAt.IsZero() && now.Sub(delistedAt) > entryRetention {
			delete(b.entries, name)
			continue
		}
		n++
	}
	if _, ok := b.entries[b.Name]; !ok {
		n++
	}
	if !b.endpointsListed || now.Sub(b.startedAt) < entryRetention {
		return max(n, minEntriesAtStart)
	}
	return n
}

// listedEntries returns the number of entries that are listed now, and at least 1.
func (b *Belief) listedEntries() int {
	n := 0
	for _, delistedAt := range b.entries {
		if delistedAt.IsZero() {
			n++
		}
	}
	return max(1, n)
}
