package mirror

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// minEvents is the number of changes that a Copy keeps in any case. It keeps more, as
// many as it has keys, where the complete state is larger: a process that is further
// behind gets the complete state, which then is no more than its changes.
const minEvents = 1024

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
	// keys are the keys of items, sorted, or nil if they have changed since.
	keys []string
	// events are the changes after the revision compacted, oldest first.
	events              []event
	compacted, revision int64
	// coverage is what the process knows of all keys. Its SeparateRevision is the
	// revision of the value of SeparateKey that the process holds.
	coverage    Coverage
	recoveredAt time.Time
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

// Apply applies an update. u.SeparateRevision is the revision of the value of
// SeparateKey that the process holds. Updates must come in the order in which
// Mirror.Apply gets them. If u.Recovered is set, recoveredAt is the time at which the
// service became reachable again.
func (c *Copy) Apply(u Update, recoveredAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Complete {
		c.items, c.keys, c.events, c.compacted = map[string]platform.KeyValue{}, nil, nil, u.Revision
	}
	for _, item := range u.KVs {
		if item.Key() == c.SeparateKey {
			continue
		}
		c.put(item)
		if !u.Complete {
			c.events = append(c.events, event{item: item, revision: item.Revision()})
		}
	}
	for _, key := range u.Deleted {
		if key == c.SeparateKey {
			continue
		}
		c.remove(key)
		c.events = append(c.events, event{item: platform.NewKeyValue(key, nil, u.Revision, 0), deleted: true, revision: u.Revision})
	}
	c.compact()
	c.revision = max(c.revision, u.Revision)
	if u.Recovered {
		c.recoveredAt = recoveredAt
	}
	if u.SeparateMissing {
		u.Coverage = Coverage{SeparateRevision: u.SeparateRevision}
	}
	c.advance(u.Coverage)
}

// AdvanceSeparate records that the process now holds the value of SeparateKey at
// covered.SeparateRevision, and that covered holds therefore.
func (c *Copy) AdvanceSeparate(covered Coverage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(covered)
}

func (c *Copy) advance(covered Coverage) {
	c.coverage.advance(covered)
	if c.updated != nil {
		close(c.updated)
		c.updated = nil
	}
}

// WithoutOlder returns an update without the changes that are older than what the copy
// holds. A complete state is returned as it is.
//
// The pages of a complete state are of different ages, and the changes since the oldest
// one may come from a process that is behind the newest one. Without this, an endpoint
// that is known to be leaving would count as in service again for a moment.
func (c *Copy) WithoutOlder(u Update) Update {
	if u.Complete {
		return u
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u.KVs = slices.DeleteFunc(slices.Clone(u.KVs), func(item platform.KeyValue) bool {
		return c.items[item.Key()].Revision() > item.Revision()
	})
	u.Deleted = slices.DeleteFunc(slices.Clone(u.Deleted), func(key string) bool {
		return c.items[key].Revision() > u.Revision
	})
	return u
}

// ItemsWith returns the items whose keys begin with a prefix, in no particular order.
func (c *Copy) ItemsWith(prefix string) []platform.KeyValue {
	c.mu.Lock()
	defer c.mu.Unlock()
	var items []platform.KeyValue
	for key, item := range c.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items
}

func (c *Copy) put(item platform.KeyValue) {
	if _, ok := c.items[item.Key()]; !ok {
		c.keys = nil
	}
	c.items[item.Key()] = item
}

func (c *Copy) remove(key string) {
	if _, ok := c.items[key]; ok {
		c.keys = nil
	}
	delete(c.items, key)
}

// compact drops the oldest events beyond those that are kept.
func (c *Copy) compact() {
	for len(c.events) > max(minEvents, len(c.items)) {
		c.compacted = max(c.compacted, c.events[0].revision)
		c.events = c.events[1:]
	}
}

// Request is a process's request for what it is missing.
type Request struct {
	// After is the revision up to which the process knows all changes. Known is false
	// if it has no state yet and needs the complete one.
	After int64
	Known bool
	// AfterKey is the last key that the process has received in a transfer that isn't
	// finished, or "". Complete reports that the complete state is being transferred.
	AfterKey string
	Complete bool
	// PageBytes is the size of keys and values, in bytes, from which on a page ends. 0
	// means that the answer is not divided into pages.
	PageBytes int
}

// Page is the answer to a Request, or a part of it in the order of keys. More reports
// that further keys follow.
type Page struct {
	Update
	More bool
}

// lastKey returns the last key of a page, or "" if it contains none.
func (p *Page) lastKey() string {
	var last string
	if n := len(p.KVs); n > 0 {
		last = p.KVs[n-1].Key()
	}
	if n := len(p.Deleted); n > 0 {
		last = max(last, p.Deleted[n-1])
	}
	return last
}

// Since returns a page of the changes after a revision, or of the complete state if the
// process has none yet, has received a part of it, or needs changes that are no longer
// kept. It reports false before the first update.
//
// A process that is ahead of the copy gets no changes. RequestedAt still holds for
// it: all changes made before RequestedAt have revisions up to that of the copy, and
// so up to that of the process.
func (c *Copy) Since(q Request) (Page, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil {
		return Page{}, false
	}
	p := Page{Update: Update{Revision: c.revision, Coverage: c.coverage}}
	// A process that began the transfer with another copy, and knows more than this one,
	// must not go back to its state.
	continued := q.Complete && q.After <= c.revision
	p.Complete = !q.Known || q.After < c.compacted || continued
	afterKey := q.AfterKey
	if p.Complete != q.Complete {
		afterKey = ""
	}
	if p.Complete {
		c.addItems(&p, afterKey, q.PageBytes)
	} else {
		c.addChanges(&p, q.After, afterKey, q.PageBytes)
	}
	return p, true
}

// addChanges adds the changes after a revision to a page, from the first key after
// afterKey on.
func (c *Copy) addChanges(p *Page, after int64, afterKey string, pageBytes int) {
	newest := map[string]event{}
	for _, e := range c.events {
		if e.revision > after && e.item.Key() > afterKey {
			newest[e.item.Key()] = e
		}
	}
	p.fill(slices.Sorted(maps.Keys(newest)), func(key string) event { return newest[key] }, pageBytes)
}

// addItems adds items of the complete state to a page, from the first key after afterKey
// on.
func (c *Copy) addItems(p *Page, afterKey string, pageBytes int) {
	if c.keys == nil {
		c.keys = slices.Sorted(maps.Keys(c.items))
	}
	first, found := slices.BinarySearch(c.keys, afterKey)
	if found {
		first++
	}
	p.fill(c.keys[first:], func(key string) event { return event{item: c.items[key]} }, pageBytes)
}

// fill adds keys to a page until it is full, each as of its newest change.
func (p *Page) fill(keys []string, newest func(key string) event, pageBytes int) {
	size := 0
	for _, key := range keys {
		if pageBytes > 0 && size >= pageBytes {
			p.More = true
			return
		}
		e := newest(key)
		size += len(key) + len(e.item.Value())
		if e.deleted {
			p.Deleted = append(p.Deleted, key)
		} else {
			p.KVs = append(p.KVs, e.item)
		}
	}
}

// Revision returns the revision of the newest update, or 0 before the first one.
func (c *Copy) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Covered returns the revision up to which all changes are known, those of SeparateKey
// included.
func (c *Copy) Covered() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coverage.CoveredRevision
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
