package fleet

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

const (
	// listRetention is how long a list that no message refers to stays cached. Messages
	// refer to theirs several times a second.
	listRetention = 5 * time.Second
	// maxCachedTargets bounds the targets of all cached lists, some 200 bytes each. It is
	// more than twice as many as the largest fleet has engines, so that the lists from
	// before and after a change of all groups fit.
	maxCachedTargets = 1 << 16
)

// TargetLists caches lists of targets by hash, so that messages sent several times a
// second need not contain them. It is safe for concurrent use.
type TargetLists struct {
	mu     sync.Mutex
	byHash map[uint64]cachedList
	// targets is the number of targets of all lists.
	targets int
}

// cachedList is a list and the time of the last message that referred to it.
type cachedList struct {
	targets []*fleetpb.Target
	usedAt  time.Time
}

// Resolve returns the targets of a message that identifies its list by hash. If the
// message contains targets, Resolve caches and returns them. Otherwise it returns the
// list cached under hash, or nil if there is none.
//
// A process caches the lists of all groups whose messages it receives, however many they
// are. If there were room for some of them alone, all groups would send their lists with
// every second message.
func (l *TargetLists) Resolve(hash uint64, targets []*fleetpb.Target, now time.Time) []*fleetpb.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	cached, ok := l.byHash[hash]
	if len(targets) > 0 && !ok {
		cached.targets = targets
		l.makeRoom(len(targets), now)
		l.targets += len(targets)
	}
	if cached.targets == nil {
		return nil
	}
	cached.usedAt = now
	l.byHash[hash] = cached
	return cached.targets
}

// makeRoom drops the lists that are no longer used and, while n further targets don't fit,
// the one that was used least recently. mu must be held.
func (l *TargetLists) makeRoom(n int, now time.Time) {
	if l.byHash == nil {
		l.byHash = map[uint64]cachedList{}
	}
	for hash, c := range l.byHash {
		if now.Sub(c.usedAt) > listRetention {
			l.drop(hash)
		}
	}
	for l.targets+n > maxCachedTargets && len(l.byHash) > 0 {
		l.drop(l.leastRecentlyUsed())
	}
}

func (l *TargetLists) drop(hash uint64) {
	l.targets -= len(l.byHash[hash].targets)
	delete(l.byHash, hash)
}

// leastRecentlyUsed returns the hash of a list. There must be one.
func (l *TargetLists) leastRecentlyUsed() uint64 {
	return slices.MinFunc(slices.Collect(maps.Keys(l.byHash)), func(a, b uint64) int {
		return l.byHash[a].usedAt.Compare(l.byHash[b].usedAt)
	})
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
