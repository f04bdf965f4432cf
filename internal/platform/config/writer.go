package config

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Keys of the configuration in the platform's key-value service.
const (
	HeadKey     = "/hyssoprelay/config/head"
	PartsPrefix = "/hyssoprelay/config/parts/"
)

// retryDelay is the delay before a change is retried after a conflicting write
// or a lost response. It limits the calls to a service with faults and is short
// compared with the seconds that an operator waits.
const retryDelay = 20 * time.Millisecond

// Writer changes the document in the platform's service. Its fields must be set
// before the first call. It is safe for concurrent use.
type Writer struct {
	// KV is the client of the platform's service.
	KV platform.KV
	// Store holds the configuration known to the process.
	Store *Store
	// SyncPeers, if set, exchanges the configuration with peers. It is called
	// before each change, so that even a process that was disconnected while
	// newer changes were made detects a service restored from an older copy.
	SyncPeers func(ctx context.Context)

	mu        sync.Mutex      // guards lostParts
	lostParts map[string]bool // digests of parts missing in the service
}

// attempt is the state of one call of Submit.
type attempt struct {
	w     *Writer
	order Order
	now   time.Time
	// outcomeUnknown reports that a write of the change got no response and may
	// have taken effect; pendingRevision is the revision of the head on which
	// that write was conditional.
	outcomeUnknown  bool
	pendingRevision int64
}

// Submit applies a change and returns the document that contains it. A change
// whose id the document already lists is not applied again. Submit retries
// until ctx is done.
//
// Errors have result codes:
//
//   - Conflict: IfGeneration is set and is not the current generation.
//   - WriteUnknown: the change may have been made, and the service did not
//     confirm it.
//   - PlatformRefused: the change was definitely not made.
//   - HeldLocally: the service did not answer, or the stored document cannot be
//     decoded, and the order takes effect in this process: an order to take a
//     target out of service becomes a local hold, and an order to return a
//     target that only local holds keep out of service releases them. The
//     newest known document is returned with it.
//   - DocumentUnreadable: the stored document cannot be decoded, and the order
//     cannot be held locally; nothing was changed.
//   - The codes of Apply.
func (w *Writer) Submit(ctx context.Context, o Order, now time.Time) (Head, error) {
	if err := o.validate(); err != nil {
		return Head{}, err
	}
	if w.SyncPeers != nil {
		w.SyncPeers(ctx)
	}
	a := &attempt{w: w, order: o, now: now}
	for {
		h, done, err := a.try(ctx)
		if done {
			return h, err
		}
		notMade := err != nil && !platform.IsUnknown(err) && !a.outcomeUnknown
		if notMade || !waitRetryDelay(ctx) {
			return a.failureResult(err)
		}
	}
}

// waitRetryDelay waits for retryDelay and returns false if ctx was done first.
func waitRetryDelay(ctx context.Context) bool {
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try performs one read, repair, apply and compare-and-swap. It returns done if
// the outcome is final. Without done, a non-nil error is that of a failed read,
// repair or write, and a nil error means that another writer changed the
// document first.
func (a *attempt) try(ctx context.Context) (h Head, done bool, err error) {
	cur, err := a.w.read(ctx)
	if err != nil {
		return Head{}, false, err
	}
	cur, ok, err := a.w.repair(ctx, cur, a.now)
	if err != nil || !ok {
		return Head{}, false, err
	}
	if cur.head.ListsChange(a.order.ChangeID) {
		return cur.head, true, nil
	}
	if cur.revision != a.pendingRevision {
		// The document has changed since the unconfirmed write, so the write's
		// condition can no longer hold; the document does not list the change,
		// so it was not made.
		a.outcomeUnknown = false
	}
	if g := a.order.IfGeneration; g != 0 && g != cur.head.Generation() {
		return Head{}, true, result.Newf(result.Conflict, "the generation is %d, not %d", cur.head.Generation(), g)
	}
	next, err := Apply(cur.head, a.order, a.now)
	if err != nil {
		return Head{}, true, err
	}
	if p, put := a.order.Change.(PutPreset); put {
		if err := a.w.putPart(ctx, p.Body); err != nil {
			return Head{}, false, err
		}
		a.w.Store.retainPart(p.Body)
	}
	_, ok, err = a.w.compareAndSwap(ctx, cur, next)
	if platform.IsUnknown(err) {
		a.outcomeUnknown = true
		a.pendingRevision = cur.revision
	}
	if err != nil || !ok {
		return Head{}, false, err
	}
	a.mergeIntoStore(next)
	return next, true, nil
}

func (a *attempt) mergeIntoStore(h Head) {
	if p, put := a.order.Change.(PutPreset); put {
		a.w.Store.Merge(h, p.Body)
		return
	}
	a.w.Store.Merge(h)
}

// failureResult returns the result of a change that could not be written, where
// err is the error of the last attempt, if any. It returns PlatformRefused only
// if no write of the change was left without a response: an operator who gets
// PlatformRefused submits the order again, perhaps modified, and if the first
// one took effect after all it would undo the second.
func (a *attempt) failureResult(err error) (Head, error) {
	switch c := a.order.Change.(type) {
	case TakeOutOfService:
		return a.holdLocally(c.Target)
	case ReturnToService:
		if h, err := a.releaseHolds(c.Target); err != nil {
			return h, err
		}
	}
	if a.outcomeUnknown {
		return Head{}, result.New(result.WriteUnknown, a.order.ChangeID)
	}
	if isUnreadable(err) {
		return Head{}, err
	}
	detail := "the time limit passed"
	if err != nil {
		detail = err.Error()
	}
	return Head{}, result.New(result.PlatformRefused, detail)
}

// holdLocally enforces an order to take a target out of service in this process
// at once. If an unconfirmed write of the same order did take effect, the
// document lists its id, and the hold is dropped when the document is received.
func (a *attempt) holdLocally(t Target) (Head, error) {
	c := a.w.Store.Current()
	if g := a.order.IfGeneration; g != 0 && g != c.head.Generation() {
		return Head{}, result.Newf(result.Conflict, "the newest known generation is %d, not %d", c.head.Generation(), g)
	}
	if len(c.holds) == maxHolds {
		return Head{}, result.Newf(result.PlatformRefused, "there are %d local holds already", maxHolds)
	}
	a.w.Store.addHold(newHold(a.order, t, a.now))
	return c.head, result.New(result.HeldLocally, t.String())
}

// releaseHolds releases the holds on a target that the document does not keep
// out of service. Its error is nil if there is no hold that can be released.
func (a *attempt) releaseHolds(t Target) (Head, error) {
	c := a.w.Store.Current()
	if a.outcomeUnknown || c.head.IsOutOfService(t) {
		return Head{}, nil
	}
	r := release{changeID: a.order.ChangeID, by: a.order.By}
	if !a.w.Store.releaseHolds(t, r) {
		return Head{}, nil
	}
	return c.head, result.New(result.HeldLocally, t.String())
}

// storedHead is the head read from the service; revision 0 means that the
// service has none.
type storedHead struct {
	head     Head
	revision int64
}

func isUnreadable(err error) bool {
	return result.CodeOf(err) == result.DocumentUnreadable
}

// read reads the head from the service. It returns a result.DocumentUnreadable
// error if the head cannot be decoded.
func (w *Writer) read(ctx context.Context) (storedHead, error) {
	r, err := w.KV.Get(ctx, HeadKey)
	if err != nil {
		return storedHead{}, err
	}
	kv, ok := r.First()
	if !ok {
		return storedHead{}, nil
	}
	h, err := DecodeHead(kv.Value())
	if err != nil {
		return storedHead{}, result.New(result.DocumentUnreadable, err.Error())
	}
	return storedHead{head: h, revision: kv.Revision()}, nil
}

// compareAndSwap writes next if the service still has cur, and reports whether
// it did.
func (w *Writer) compareAndSwap(ctx context.Context, cur storedHead, next Head) (storedHead, bool, error) {
	var c platform.Compare = platform.Absent{Key: HeadKey}
	if cur.revision != 0 {
		c = platform.RevisionIs{Key: HeadKey, Revision: cur.revision}
	}
	b := next.Encode()
	if len(b) > MaxHeadBytes {
		return storedHead{}, false, result.Newf(result.MalformedOrder, "the document would have %d bytes, at most %d", len(b), MaxHeadBytes)
	}
	r, err := w.KV.Txn(ctx, platform.Txn{
		If:   []platform.Compare{c},
		Then: []platform.Op{platform.Put{Key: HeadKey, Value: b}},
	})
	if err != nil {
		return storedHead{}, false, err
	}
	return storedHead{head: next, revision: r.Revision()}, r.Succeeded(), nil
}

// putPart writes a part unless the service has it. It is idempotent.
func (w *Writer) putPart(ctx context.Context, body []byte) error {
	key := PartsPrefix + Digest(body)
	_, err := w.KV.Txn(ctx, platform.Txn{
		If:   []platform.Compare{platform.Absent{Key: key}},
		Then: []platform.Op{platform.Put{Key: key, Value: body}},
	})
	return eris.Wrap(err, "write part")
}

// writeParts writes the known parts that a head references. A part that is not
// known does not block the head: otherwise every later order, including one to
// take a data centre out of service, would wait for it indefinitely, while a
// preset without its body only leaves the previous preset in use
// (Snapshot.Preset). FetchParts writes the part once a peer has sent it.
func (w *Writer) writeParts(ctx context.Context, h Head) error {
	c := w.Store.Current()
	for _, p := range h.presets {
		b, ok := c.Part(p.digest)
		if !ok {
			w.markLost(p.digest)
			continue
		}
		if err := w.putPart(ctx, b); err != nil {
			return err
		}
	}
	return nil
}
