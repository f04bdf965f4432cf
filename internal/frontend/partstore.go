package frontend

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
)

const (
	// refusedPartPrefix is the prefix of the store's keys of refused parts of prompts. The value is
	// the case at the time of the write.
	refusedPartPrefix = fleet.Prefix + "refusedPart/"
	// savePartsInterval is the time between two looks whether the store holds what is refused.
	savePartsInterval = time.Second
)

// storedPart returns the part that a key of the store refers to, or false for another key.
func storedPart(key string) (string, bool) { return strings.CutPrefix(key, refusedPartPrefix) }

// partSet holds the parts of prompts that the store names as refused.
type partSet struct {
	mu    sync.Mutex
	parts map[string]bool
}

func (s *partSet) put(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts == nil {
		s.parts = map[string]bool{}
	}
	s.parts[part] = true
}

func (s *partSet) remove(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.parts, part)
}

func (s *partSet) has(part string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts[part]
}

// all returns the parts in no particular order.
func (s *partSet) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.parts))
	for part := range s.parts {
		out = append(out, part)
	}
	return out
}

// retain removes the parts that are not in listed.
func (s *partSet) retain(listed map[string]bool) {
	for _, part := range s.all() {
		if !listed[part] {
			s.remove(part)
		}
	}
}

// restorePart applies a refused part from the store, unless this entry knows more about it.
func (f *Frontend) restorePart(part string, value []byte, now time.Time) {
	var stored fleetpb.PartCase
	if err := proto.Unmarshal(value, &stored); err != nil || stored.GetPart() != part {
		f.Log.WithField("part", part).Warn("malformed refused part in the store ignored")
		return
	}
	f.storedParts.put(part)
	for _, c := range decodeCases([]*fleetpb.PartCase{&stored}, now) {
		f.state.RestoreCase(c, now)
	}
}

// saveParts keeps the refused parts of prompts in the store until ctx is done, so that they outlive a
// restart of all entries at once. One entry of the fleet writes each of them.
func (f *Frontend) saveParts(ctx context.Context) error {
	t := time.NewTicker(savePartsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := boottime.Now()
		if ops := f.partChanges(f.state.LastingCases(now), now); len(ops) > 0 {
			if _, err := f.store.Txn(ctx, kv.Txn{Then: ops}); err != nil {
				f.callFailed(err)
			}
		}
	}
}

// maxPartChanges bounds the changes in one transaction.
const maxPartChanges = 16

// partChanges returns the writes with which the store holds the given cases, of those parts that this
// entry is to write.
func (f *Frontend) partChanges(lasting []quarantine.Case, now time.Time) []kv.Op {
	var ops []kv.Op
	refused := map[string]bool{}
	for _, c := range encodeCases(lasting, now) {
		part := c.GetPart()
		refused[part] = true
		if f.storedParts.has(part) || !f.state.KeepsPart(part) {
			continue
		}
		value, err := proto.Marshal(c)
		if err != nil {
			f.Log.WithField("part", part).WithField("cause", err.Error()).Error("refused part not written")
			continue
		}
		ops = append(ops, kv.Put{Key: refusedPartPrefix + part, Value: value})
	}
	for _, part := range f.storedParts.all() {
		if !refused[part] && f.state.KeepsPart(part) {
			ops = append(ops, kv.Delete{Key: refusedPartPrefix + part})
		}
	}
	return ops[:min(len(ops), maxPartChanges)]
}
