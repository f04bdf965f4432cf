package fleet

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// takeUnwritten returns keys to be written. A guest that may have registered elsewhere in
// the meantime is left out: its key there must not be replaced by an older one.
func (h *Host) takeUnwritten(now time.Time) []keyWrite {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []keyWrite
	for _, key := range slices.Sorted(maps.Keys(h.guests)) {
		g := h.guests[key]
		if !g.written && !g.leaving && now.Sub(g.confirmedAt) <= LeaseTTL/3+hostTimeout && len(out) < maxTxnKeys {
			out = append(out, keyWrite{key: key, value: g.value})
		}
	}
	return out
}

// write writes keys under the lease, which it requests first if there is none.
func (h *Host) write(ctx context.Context, batch []keyWrite) error {
	lease, err := h.ensureLease(ctx)
	if err != nil {
		return err
	}
	var ops []platform.Op
	for _, w := range batch {
		ops = append(ops, platform.Put{Key: w.key, Value: w.value, Lease: lease})
	}
	reply, err := h.Store.Txn(ctx, platform.Txn{Then: ops})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range batch {
		g, ok := h.guests[w.key]
		if !ok {
			h.gone = append(h.gone, writtenKey{key: w.key, revision: reply.Revision()})
			continue
		}
		g.written, g.revision = bytes.Equal(g.value, w.value), reply.Revision()
	}
	return nil
}

func (h *Host) ensureLease(ctx context.Context) (platform.LeaseID, error) {
	h.mu.Lock()
	lease := h.lease
	h.mu.Unlock()
	if lease != 0 {
		return lease, nil
	}
	now := h.Now()
	lease, err := h.Store.Grant(ctx, LeaseTTL)
	if err != nil {
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease, h.renewedAt, h.triedAt = lease, now, now
	return lease, nil
}

// notify tells the guests of a batch the outcome of writing it. A guest whose key could
// not be written is forgotten: it registers elsewhere.
func (h *Host) notify(batch []keyWrite, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range batch {
		g, ok := h.guests[w.key]
		if !ok {
			continue
		}
		for _, c := range g.waiting {
			c <- err
		}
		if len(g.waiting) > 0 && err != nil {
			h.forget(w.key, g)
		}
		g.waiting = nil
	}
}

// forget forgets a guest. Its key, if it is in the store, is to be deleted. mu must be
// held.
func (h *Host) forget(key string, g *guest) {
	delete(h.guests, key)
	if g.revision != 0 {
		h.gone = append(h.gone, writtenKey{key: key, revision: g.revision})
	}
}

// removeGone deletes the keys of guests that have left or no longer confirm, unless
// another host has written them since.
func (h *Host) removeGone(ctx context.Context, now time.Time) error {
	h.collectGone(now)
	for batch := h.firstGone(maxTxnKeys); len(batch) > 0; batch = h.firstGone(maxTxnKeys) {
		if err := h.deleteKeys(ctx, batch); err != nil {
			return err
		}
		h.mu.Lock()
		h.gone = h.gone[min(len(batch), len(h.gone)):]
		h.mu.Unlock()
	}
	return nil
}

// collectGone forgets the guests that are gone. Those of their keys that are in the store
// are to be deleted.
func (h *Host) collectGone(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(h.guests)) {
		g := h.guests[key]
		if !g.leaving && now.Sub(g.confirmedAt) <= LeaseTTL {
			continue
		}
		h.forget(key, g)
	}
}

// firstGone returns the first n keys that are to be deleted.
func (h *Host) firstGone(n int) []writtenKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.gone[:min(n, len(h.gone))])
}

// deleteKeys deletes those of several keys that are as the host wrote them. If others have
// changed, the store says which, and the rest follows in another transaction.
func (h *Host) deleteKeys(ctx context.Context, keys []writtenKey) error {
	for len(keys) > 0 {
		var t platform.Txn
		for _, w := range keys {
			t.If = append(t.If, platform.RevisionIs{Key: w.key, Revision: w.revision})
			t.Then = append(t.Then, platform.Delete{Key: w.key})
		}
		reply, err := h.Store.Txn(ctx, t)
		if err != nil || reply.Succeeded() {
			return err
		}
		n := len(keys)
		keys = slices.DeleteFunc(slices.Clone(keys), func(w writtenKey) bool { return reply.RevisionOf(w.key) != w.revision })
		if len(keys) == n {
			return platform.NewUnknownOutcomeError("the store refused to delete keys that are unchanged")
		}
	}
	return nil
}
