package fleet

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// maxLists is the largest number of lists of targets that a process caches: those of
// the groups whose messages it receives, before and after their members changed.
const maxLists = 16

// TargetLists caches lists of targets by hash, so that messages sent several times a
// second need not contain them. It is safe for concurrent use.
type TargetLists struct {
	mu     sync.Mutex
	byHash map[uint64][]*fleetpb.Target
}

// Resolve returns the targets of a message that identifies its list by hash. If the
// message contains targets, Resolve caches and returns them. Otherwise it returns the
// list cached under hash, or nil if there is none. A full cache is emptied first: the
// senders of the dropped lists send them again.
func (l *TargetLists) Resolve(hash uint64, targets []*fleetpb.Target) []*fleetpb.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(targets) == 0 {
		return l.byHash[hash]
	}
	if l.byHash == nil || len(l.byHash) >= maxLists {
		l.byHash = map[uint64][]*fleetpb.Target{}
	}
	l.byHash[hash] = targets
	return targets
}

// TargetListHash returns a hash of the targets in their order, which identifies the
// list.
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

// SentLists records the hash of the list that was last sent to each process. It is safe
// for concurrent use.
type SentLists struct {
	mu    sync.Mutex
	lists map[string]uint64
}

// MarkSent records that the list with the hash is sent to a process, and reports
// whether it already was the last one sent to it.
func (s *SentLists) MarkSent(process string, hash uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lists == nil {
		s.lists = map[string]uint64{}
	}
	known, ok := s.lists[process]
	s.lists[process] = hash
	return ok && known == hash
}

// Forget records that a process may not have the list that was sent to it.
func (s *SentLists) Forget(process string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lists, process)
}
