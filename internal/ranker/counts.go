package ranker

import (
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// maxCountSnapshots is how many of its last counts an agent keeps as a base for
// differences. A leader has one of the last two, unless replies were lost.
const maxCountSnapshots = 4

// countHistory holds the counts that an agent has reported, so that later ones can be
// encoded as differences. It is safe for concurrent use.
//
// For a group of 63 ranks with 8 sets of 252 experts, whose leader polls ten times a
// second over an 8 Mbit/s link, a count since the engine's start takes three bytes
// and a difference one. Three times as many ranks can thus be polled for counts in
// the same time, and a jump of popularity is distinguished from noise that much
// sooner.
type countHistory struct {
	mu        sync.Mutex
	lastID    uint64
	snapshots map[uint64][]uint64
}

// newCountHistory returns an empty history. Its ids start from the current time, so
// that ids from an earlier run of the process match no snapshot.
func newCountHistory(now time.Time) *countHistory {
	return &countHistory{lastID: uint64(now.UnixNano()), snapshots: map[uint64][]uint64{}}
}

// encode adds counts to a reply: as differences from the snapshot with the given id
// if that snapshot is still kept and the engine has not restarted since, or else in
// full.
func (h *countHistory) encode(resp *fleetpb.LookReply, counts []uint64, id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	resp.Counts = counts
	if increments, ok := subtract(counts, h.snapshots[id]); ok {
		resp.Counts, resp.CountsSince = increments, id
	}
	h.lastID++
	resp.CountsId = h.lastID
	h.snapshots[h.lastID] = counts
	delete(h.snapshots, h.lastID-maxCountSnapshots)
}

// subtract returns the difference of two sets of counts. It reports false if a count
// has fallen or the lengths differ.
func subtract(counts, before []uint64) ([]uint64, bool) {
	if len(before) != len(counts) {
		return nil, false
	}
	out := make([]uint64, len(counts))
	for i, n := range counts {
		if n < before[i] {
			return nil, false
		}
		out[i] = n - before[i]
	}
	return out, true
}

// countDecoder holds the last counts received from each agent and restores full
// counts from differences. It is safe for concurrent use.
type countDecoder struct {
	mu        sync.Mutex
	snapshots map[string]countSnapshot
}

type countSnapshot struct {
	id     uint64
	counts []uint64
}

// lastID returns the id of the last counts received from an agent, or 0.
func (d *countDecoder) lastID(agent string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshots[agent].id
}

// decode returns the counts since the engine's start. It returns nil if the reply has
// no counts, or differences from counts other than the last ones received.
func (d *countDecoder) decode(agent string, resp *fleetpb.LookReply) []uint64 {
	counts := resp.GetCounts()
	if len(counts) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if since := resp.GetCountsSince(); since != 0 {
		before := d.snapshots[agent]
		if before.id != since || len(before.counts) != len(counts) {
			delete(d.snapshots, agent)
			return nil
		}
		for i, n := range before.counts {
			counts[i] += n
		}
	}
	if d.snapshots == nil {
		d.snapshots = map[string]countSnapshot{}
	}
	d.snapshots[agent] = countSnapshot{id: resp.GetCountsId(), counts: counts}
	return counts
}
