package mirror

import (
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// eventsKept is how many changes a Copy keeps: those of some seconds in which a
// fleet of hundreds starts. Who is further behind is told all there is.
const eventsKept = 1024

// Copy keeps what a Mirror is told, so that other processes can be told the same.
// It is safe for concurrent use.
//
// Load: 150 processes that each ask the service for what is new, several times
// each second while changes come. Harm prevented: the calls grow with the fleet,
// and in an outage all of them ask again and again.
type Copy struct {
	// Apart is a key that is not told with the others, as its value is large.
	Apart string

	mu    sync.Mutex // guards all below
	items map[string]platform.KeyValue
	// events are the changes after the revision floor, oldest first.
	events          []event
	floor, revision int64
	asked, returned time.Time
	// apart is the revision of the value of Apart that the process holds.
	apart int64
	taken chan struct{}
}

// event is a change of one key. Of a deletion the revision is not known; it is at
// most the one given.
type event struct {
	item     platform.KeyValue
	deleted  bool
	revision int64
}

// Take takes in an update in the order in which Apply gets them. If it says that the
// service has returned, it did so at returned.
func (c *Copy) Take(u Update, returned time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Whole {
		c.items, c.events, c.floor = map[string]platform.KeyValue{}, nil, u.Revision
	}
	for _, item := range u.KVs {
		if item.Key() == c.Apart {
			continue
		}
		c.items[item.Key()] = item
		if !u.Whole {
			c.events = append(c.events, event{item: item, revision: item.Revision()})
		}
	}
	for _, key := range u.Deleted {
		if key == c.Apart {
			continue
		}
		delete(c.items, key)
		c.events = append(c.events, event{item: platform.NewKeyValue(key, nil, u.Revision, 0), deleted: true, revision: u.Revision})
	}
	c.forget()
	c.revision = max(c.revision, u.Revision)
	if u.Returned {
		c.returned = returned
	}
	if u.Lacking {
		u.Asked = time.Time{}
	}
	c.catchUp(u.Asked, u.Apart)
}

// CatchUp notes that the process holds the value of Apart of a revision, and with it
// knows all that was changed before asked.
func (c *Copy) CatchUp(asked time.Time, apart int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catchUp(asked, apart)
}

func (c *Copy) catchUp(asked time.Time, apart int64) {
	if asked.After(c.asked) {
		c.asked = asked
	}
	c.apart = max(c.apart, apart)
	if c.taken != nil {
		close(c.taken)
		c.taken = nil
	}
}

// forget drops the oldest events.
func (c *Copy) forget() {
	for len(c.events) > eventsKept {
		c.floor = max(c.floor, c.events[0].revision)
		c.events = c.events[1:]
	}
}

// Since returns what has changed after a revision, or all there is if that is not
// known or too long ago. It reports false before anything was taken in.
//
// A reader that is ahead of the copy is told nothing new. The time of asking is
// still true for it: what was changed before that has a revision up to the copy's,
// and so up to the reader's.
func (c *Copy) Since(after int64, known bool) (Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil {
		return Update{}, false
	}
	u := Update{Revision: c.revision, Asked: c.asked, Apart: c.apart}
	if !known || after < c.floor {
		u.Whole = true
		for _, item := range c.items {
			u.KVs = append(u.KVs, item)
		}
		return u, true
	}
	var changed platform.Changed
	for _, e := range c.events {
		if e.revision > after {
			changed.Order(e.item, e.deleted)
		}
	}
	u.KVs, u.Deleted = changed.KVs, changed.Deleted
	return u, true
}

// Returned returns when the service was last known to come back, or zero.
func (c *Copy) Returned() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.returned
}

// Taken returns a channel that is closed when the next update is taken in.
func (c *Copy) Taken() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken == nil {
		c.taken = make(chan struct{})
	}
	return c.taken
}
