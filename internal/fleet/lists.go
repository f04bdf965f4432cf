package fleet

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// listsKept is how many lists of targets a process remembers: those of the groups
// that it hears of, before and after their members changed.
const listsKept = 16

// Lists remembers lists of targets by name, so that messages which come several
// times a second need not tell them. It is safe for concurrent use.
type Lists struct {
	mu     sync.Mutex
	byName map[uint64][]*fleetpb.Target
}

// Learn returns the targets of a message: those that it tells, which are remembered
// by the name, or else those that were told by that name before, or nil.
func (l *Lists) Learn(name uint64, told []*fleetpb.Target) []*fleetpb.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(told) == 0 {
		return l.byName[name]
	}
	if l.byName == nil || len(l.byName) >= listsKept {
		l.byName = map[uint64][]*fleetpb.Target{}
	}
	l.byName[name] = told
	return told
}

// ListName returns a name that follows from the targets.
func ListName(targets []*fleetpb.Target) uint64 {
	h := xxhash.New()
	text := func(s string) {
		var size [4]byte
		binary.LittleEndian.PutUint32(size[:], uint32(len(s)))
		// Writes to a hash never fail.
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(s)
	}
	for _, t := range targets {
		text(t.GetAgent())
		text(t.GetAddress())
		text(t.GetEndpoint())
	}
	return h.Sum64()
}

// Told remembers which list each process has been told. It is safe for concurrent
// use.
type Told struct {
	mu    sync.Mutex
	lists map[string]uint64
}

// Knows reports whether a process has a list, and notes that it will.
func (t *Told) Knows(process string, list uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lists == nil {
		t.lists = map[string]uint64{}
	}
	known, ok := t.lists[process]
	t.lists[process] = list
	return ok && known == list
}

// Forget notes that a process may not have its list.
func (t *Told) Forget(process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.lists, process)
}
