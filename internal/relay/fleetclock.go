package relay

import "time"

// fleetClock is a clock on which the entries agree without a clock of their own in common: the clocks
// of their VMs count from different moments. Each report tells what its sender's fleetClock read, and
// an entry whose clock is behind advances it. The clocks of all entries then differ by about the
// latency of a message. A clock never goes back, and goes on by itself without reports.
type fleetClock struct {
	// ahead is how far the clock is ahead of this VM's.
	ahead time.Duration
}

// read returns the reading at now.
func (c *fleetClock) read(now time.Time) time.Time { return now.Add(c.ahead) }

// period returns the number of the present quotaPeriod.
func (c *fleetClock) period(now time.Time) uint64 {
	return uint64(max(0, c.read(now).UnixNano()) / int64(quotaPeriod))
}

// maxAhead bounds how far a reading may be ahead. VMs don't run for longer; without the bound, one
// corrupt report would stop the clocks of all entries at the end of their range.
const maxAhead = 10 * 365 * 24 * time.Hour

// observe advances the clock to the reading that a report tells.
func (c *fleetClock) observe(l EntryLoad) {
	if l.Incarnation > uint64(maxAhead) || l.Sequence > uint64(maxAhead/time.Microsecond) {
		return
	}
	reading := time.Unix(0, int64(l.Incarnation)).Add(time.Duration(l.Sequence) * time.Microsecond)
	c.ahead = max(c.ahead, reading.Sub(l.At))
}

// NextSequence returns the number of this entry's next report after the one with the number last. It
// is the number of microseconds from incarnation, in nanoseconds, to the reading of the fleet's clock,
// so that a report tells the reading and later reports have larger numbers.
func (st *State) NextSequence(last, incarnation uint64, now time.Time) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	sinceStart := st.clock.read(now).Sub(time.Unix(0, int64(incarnation))).Microseconds()
	return max(last+1, uint64(max(0, sinceStart)))
}
