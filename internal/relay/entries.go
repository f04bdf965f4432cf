package relay

import "time"

const (
	// leastEntries is how many entries are assumed at least until all have had the
	// time to be listed: shares are too small then rather than too large.
	leastEntries = 12
	// entriesMemory is how long entries count that are no longer listed. One
	// that is cut off from the store lapses there and goes on serving.
	entriesMemory = 20 * time.Second
)

// SetEntry notes that another entry is listed, or no longer is.
func (b *Belief) SetEntry(name string, listed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed {
		b.entries[name] = time.Time{}
		return
	}
	if _, ok := b.entries[name]; ok {
		b.entries[name] = now
		b.dropWork(name)
	}
}

// Entries returns how many entries share what endpoints bear.
func (b *Belief) Entries(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.countEntries(now)
}

func (b *Belief) countEntries(now time.Time) int {
	n := 0
	for name, gone := range b.entries {
		if !gone.IsZero() && now.Sub(gone) > entriesMemory {
			delete(b.entries, name)
			continue
		}
		n++
	}
	if _, ok := b.entries[b.Name]; !ok {
		n++
	}
	if !b.listed || now.Sub(b.began) < entriesMemory {
		return max(n, leastEntries)
	}
	return n
}

// listedEntries returns how many entries share the endpoints' places now.
func (b *Belief) listedEntries() int {
	n := 0
	for _, gone := range b.entries {
		if gone.IsZero() {
			n++
		}
	}
	return max(1, n)
}
