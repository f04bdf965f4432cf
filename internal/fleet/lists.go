package fleet

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// maxLists is the number of lists of targets that a process caches: those of the
// groups that send to it, before and after their members changed.
const maxLists = 16

// TargetLists caches lists of targets by name, so that messages sent several times a
// second need not contain them. It is safe for concurrent use.
type TargetLists struct {
	mu     sync.Mutex
	byName map[uint64][]*fleetpb.Target
}

// Resolve returns the targets of a message that names its list by id. Targets
// contained in the message are cached under id; a message without targets gets those
// cached under id, or nil if there are none.
func (l *TargetLists) Resolve(id uint64, targets []*fleetpb.Target) []*fleetpb.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(targets) == 0 {
		return l.byName[id]
	}
	if l.byName == nil || len(l.byName) >= maxLists {
		l.byName = map[uint64][]*fleetpb.Target{}
	}
	l.byName[id] = targets
	return targets
}

// TargetListHash returns a hash of the targets, in their order, which names the list.
func TargetListHash(targets []*fleetpb.Target) uint64 {
	h := xxhash.New()
	writeString := func(s string) {
		var size [4]byte
		binary.LittleEndian.PutUint32(size[:], uint32(len(s)))
		// Writes to a hash never fail.
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(s)
	}
	for _, t := range targets {
		writeString(t.GetAgent())
		writeString(t.GetAddress())
		writeString(t.GetEndpoint())
	}
	return h.Sum64()
}

// SentLists records the list that was last sent to each process. It is safe for
// concurrent use.
type SentLists struct {
	mu    sync.Mutex
	lists map[string]uint64
}

// MarkSent reports whether the list was the last one sent to a process, and records it
// as sent.
func (s *SentLists) MarkSent(process string, list uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lists == nil {
		s.lists = map[string]uint64{}
	}
	known, ok := s.lists[process]
	s.lists[process] = list
	return ok && known == list
}

// Forget records that a process may not have the list that was sent to it.
func (s *SentLists) Forget(process string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lists, process)
}
