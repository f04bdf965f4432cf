package timeline

import (
	"sync"
	"time"
)

// logicalBits is how many low bits of a stamp count events in a microsecond.
const logicalBits = 12

// maxAhead bounds how far a peer's clock may pull this one forward. A VM whose
// clock is set wrongly by more would otherwise move every process's time line;
// its events sort wrongly instead.
const maxAhead = time.Hour

// Stamp is a reading of a hybrid logical clock. Later causes have greater
// stamps.
type Stamp uint64

// StampAt returns the least stamp of time t.
func StampAt(t time.Time) Stamp {
	return Stamp(t.UnixMicro()) << logicalBits
}

// Time returns the stamp's physical part.
func (s Stamp) Time() time.Time {
	return time.UnixMicro(int64(s >> logicalBits))
}

// Clock is a hybrid logical clock. Its zero value is ready for use. It may be
// used by several goroutines.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Next returns a stamp greater than all that the clock has returned or seen.
func (c *Clock) Next(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, StampAt(now))
	return c.last
}

// Observe moves the clock past a stamp that a message carried.
func (c *Clock) Observe(s Stamp, now time.Time) {
	if s > StampAt(now.Add(maxAhead)) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
