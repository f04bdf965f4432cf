package frontend

import (
	"context"
	"strings"
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

// storedCase returns the case that an item of the store holds for a part, or false if it is malformed.
func storedCase(item kv.KeyValue) (*fleetpb.PartCase, bool) {
	part, ok := storedPart(item.Key())
	c := &fleetpb.PartCase{}
	if err := proto.Unmarshal(item.Value(), c); err != nil || !ok || c.GetPart() != part {
		return nil, false
	}
	return c, true
}

// restorePart applies a refused part from the store, unless this entry knows more about it.
func (f *Frontend) restorePart(item kv.KeyValue, now time.Time) {
	stored, ok := storedCase(item)
	if !ok {
		f.Log.WithField("key", item.Key()).Warn("malformed refused part in the store ignored")
		return
	}
	for _, c := range decodeCases([]*fleetpb.PartCase{stored}, now) {
		f.state.RestoreCase(c, now)
	}
}

// partsInStore returns the parts that the store names as refused.
func (f *Frontend) partsInStore() map[string]bool {
	parts := map[string]bool{}
	for _, item := range f.storeCopy.ItemsWith(refusedPartPrefix) {
		if c, ok := storedCase(item); ok {
			parts[c.GetPart()] = true
		}
	}
	return parts
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
	stored, refused := f.partsInStore(), map[string]bool{}
	for _, c := range encodeCases(lasting, now) {
		part := c.GetPart()
		refused[part] = true
		if stored[part] || !f.state.KeepsPart(part) {
			continue
		}
		value, err := proto.Marshal(c)
		if err != nil {
			f.Log.WithField("part", part).WithField("cause", err.Error()).Error("refused part not written")
			continue
		}
		ops = append(ops, kv.Put{Key: refusedPartPrefix + part, Value: value})
	}
	for part := range stored {
		if !refused[part] && f.state.KeepsPart(part) {
			ops = append(ops, kv.Delete{Key: refusedPartPrefix + part})
		}
	}
	return ops[:min(len(ops), maxPartChanges)]
}
