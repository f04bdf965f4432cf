package mirror

import (
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// maxEvents is the number of changes that a Copy keeps: those of several seconds
// while a fleet of hundreds of processes starts. A process that is further behind
// gets the complete state.
const maxEvents = 1024

// Copy keeps the state and the recent changes received by a Mirror, so that they
// can be served to other processes. It is safe for concurrent use.
//
// If all processes polled the service (150 of them, several times a second while
// changes come), the calls would grow with the fleet, and in an outage all
// processes would retry continuously.
type Copy struct {
	// SeparateKey is a key left out of the copy because its large value is
	// transferred separately.
	SeparateKey string

	mu    sync.Mutex // guards all below
	items map[string]platform.KeyValue
	// events are the changes after the revision compacted, oldest first.
	events               []event
	compacted, revision  int64
	knownAt, recoveredAt time.Time
	// separateRevision is the revision of the value of SeparateKey that the process
	// holds.
	separateRevision int64
	// updated, unless nil, is closed by the next call of Apply or AdvanceSeparate.
	updated chan struct{}
}

// event is a change of one key. For a deletion, whose own revision isn't known,
// revision is an upper bound.
type event struct {
	item     platform.KeyValue
	deleted  bool
	revision int64
}

// Apply applies an update. Updates must come in the order in which Mirror.Apply gets
// them. If u.Recovered is set, recoveredAt is the time at which the service became
// reachable again.
func (c *Copy) Apply(u Update, recoveredAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Complete {
		c.items, c.events, c.compacted = map[string]platform.KeyValue{}, nil, u.Revision
	}
	for _, item := range u.KVs {
		if item.Key() == c.SeparateKey {
			continue
		}
		c.items[item.Key()] = item
		if !u.Complete {
			c.events = append(c.events, event{item: item, revision: item.Revision()})
		}
	}
	for _, key := range u.Deleted {
		if key == c.SeparateKey {
			continue
		}
		delete(c.items, key)
		c.events = append(c.events, event{item: platform.NewKeyValue(key, nil, u.Revision, 0), deleted: true, revision: u.Revision})
	}
	c.compact()
	c.revision = max(c.revision, u.Revision)
	if u.Recovered {
		c.recoveredAt = recoveredAt
	}
	if u.SeparateMissing {
		u.RequestedAt = time.Time{}
	}
	c.advance(u.RequestedAt, u.SeparateRevision)
}

// AdvanceSeparate records that the process holds the value of SeparateKey at a revision
// and therefore knows every change made before knownAt.
func (c *Copy) AdvanceSeparate(knownAt time.Time, separateRevision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(knownAt, separateRevision)
}

func (c *Copy) advance(knownAt time.Time, separateRevision int64) {
	if knownAt.After(c.knownAt) {
		c.knownAt = knownAt
	}
	c.separateRevision = max(c.separateRevision, separateRevision)
	if c.updated != nil {
		close(c.updated)
		c.updated = nil
	}
}

// compact drops the oldest events beyond maxEvents.
func (c *Copy) compact() {
	for len(c.events) > maxEvents {
		c.compacted = max(c.compacted, c.events[0].revision)
		c.events = c.events[1:]
	}
}

// Since returns the changes after a revision, or the complete state if known is
// false, which means that the process has no state yet, or if the changes are no longer
// kept. It reports false before the first update.
//
// A process that is ahead of the copy gets no changes. RequestedAt still holds for
// it: all changes made before RequestedAt have revisions up to that of the copy, and
// so up to that of the process.
func (c *Copy) Since(after int64, known bool) (Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil {
		return Update{}, false
	}
	u := Update{Revision: c.revision, RequestedAt: c.knownAt, SeparateRevision: c.separateRevision}
	if !known || after < c.compacted {
		u.Complete = true
		for _, item := range c.items {
			u.KVs = append(u.KVs, item)
		}
		return u, true
	}
	var changed platform.Changed
	for _, e := range c.events {
		if e.revision > after {
			changed.Apply(e.item, e.deleted)
		}
	}
	u.KVs, u.Deleted = changed.KVs, changed.Deleted
	return u, true
}

// RecoveredAt returns the time at which the service last became reachable again
// after failed calls, or the zero time.
func (c *Copy) RecoveredAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recoveredAt
}

// Updated returns a channel that is closed by the next call of Apply or AdvanceSeparate.
func (c *Copy) Updated() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.updated == nil {
		c.updated = make(chan struct{})
	}
	return c.updated
}
