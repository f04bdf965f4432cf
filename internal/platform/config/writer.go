package config

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Keys of the configuration in the platform's service.
const (
	HeadKey     = "/hyssoprelay/config/head"
	PartsPrefix = "/hyssoprelay/config/parts/"
)

// retryPause is the wait before a change is tried again after a race or a lost
// answer: long enough that a service in trouble is not asked without end, short
// against the seconds that an operator waits.
const retryPause = 20 * time.Millisecond

// Writer changes the document in the platform's service. Set the fields before
// the first call. It may be used by several goroutines.
type Writer struct {
	// KV is the platform's service.
	KV platform.KV
	// Store is the process's configuration.
	Store *Store
	// Refresh, when set, exchanges with peers. It is called before each change,
	// so that a service that came back from an older copy is noticed also by a
	// process that was away while the newer changes were made.
	Refresh func(ctx context.Context)

	mu   sync.Mutex // guards lost
	lost map[string]bool
}

// attempt is the state of one Submit.
type attempt struct {
	w     *Writer
	order Order
	now   time.Time
	// unknown says that a write of this attempt has an unknown outcome; pending
	// is the revision of the head that it was conditional on.
	unknown bool
	pending int64
}

// Submit makes a change and returns the document that holds it. A change whose
// id the document lists already is not made again. ctx limits the time.
//
// Errors are results: Conflict when IfGeneration is set and not the current
// one; WriteUnknown when the change may have been made and the service does not
// tell; PlatformRefused when it was truly not made; HeldLocally, with the newest
// known document, when an order to take a target out (or to bring in a target
// that is only held) could not reach the service and holds here meanwhile; and
// those of Apply; DocumentUnreadable, with nothing changed, when the stored
// document can't be read.
func (w *Writer) Submit(ctx context.Context, o Order, now time.Time) (Head, error) {
	if err := o.check(); err != nil {
		return Head{}, err
	}
	if w.Refresh != nil {
		w.Refresh(ctx)
	}
	a := &attempt{w: w, order: o, now: now}
	for {
		h, done, err := a.try(ctx)
		if done {
			return h, err
		}
		hopeless := err != nil && !platform.IsUnknown(err) && !a.unknown
		if hopeless || !wait(ctx) {
			return a.unreached(err)
		}
	}
}

// wait returns false when ctx ended.
func wait(ctx context.Context) bool {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try goes once through read, repair, apply and compare-and-swap. It returns
// done when the outcome is known. Without done, an error is the platform's.
func (a *attempt) try(ctx context.Context) (h Head, done bool, err error) {
	cur, err := a.w.read(ctx)
	if err != nil {
		return Head{}, false, err
	}
	cur, ok, err := a.w.repair(ctx, cur, a.now)
	if err != nil || !ok {
		return Head{}, false, err
	}
	if cur.head.Accepted(a.order.ChangeID) {
		return cur.head, true, nil
	}
	if cur.revision != a.pending {
		// The condition of the write that got no answer can't hold any more,
		// and the document does not list the change: it was not made.
		a.unknown = false
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
		a.w.Store.keep(p.Body)
	}
	_, ok, err = a.w.swap(ctx, cur, next)
	if platform.IsUnknown(err) {
		a.unknown = true
		a.pending = cur.revision
	}
	if err != nil || !ok {
		return Head{}, false, err
	}
	a.offer(next)
	return next, true, nil
}

func (a *attempt) offer(h Head) {
	if p, put := a.order.Change.(PutPreset); put {
		a.w.Store.Offer(h, p.Body)
		return
	}
	a.w.Store.Offer(h)
}

// unreached says what became of a change when the service did not answer. It
// guards the truth of PlatformRefused: an operator who hears it will give the
// order again, perhaps changed; were the first one made after all, it would
// undo the second. So it is said only when no write of the change has left
// this process without an answer.
func (a *attempt) unreached(err error) (Head, error) {
	switch c := a.order.Change.(type) {
	case TakeOut:
		return a.hold(c.Target)
	case BringIn:
		if h, err := a.endHolds(c.Target); err != nil {
			return h, err
		}
	}
	if a.unknown {
		return Head{}, result.New(result.WriteUnknown, a.order.ChangeID)
	}
	if unreadable(err) {
		return Head{}, err
	}
	detail := "the time limit passed"
	if err != nil {
		detail = err.Error()
	}
	return Head{}, result.New(result.PlatformRefused, detail)
}

// hold enforces an order to take out here at once. When a write of the same
// order took effect after all, the document lists its id and the hold is
// dropped as soon as the document arrives.
func (a *attempt) hold(t Target) (Head, error) {
	c := a.w.Store.Current()
	if g := a.order.IfGeneration; g != 0 && g != c.head.Generation() {
		return Head{}, result.Newf(result.Conflict, "the newest known generation is %d, not %d", c.head.Generation(), g)
	}
	if len(c.holds) == maxHolds {
		return Head{}, result.Newf(result.PlatformRefused, "there are %d local holds already", maxHolds)
	}
	a.w.Store.hold(newHold(a.order, t, a.now))
	return c.head, result.New(result.HeldLocally, t.String())
}

// endHolds releases the holds of a target that the document does not keep out.
// Its error is nil when there is nothing that can be released here.
func (a *attempt) endHolds(t Target) (Head, error) {
	c := a.w.Store.Current()
	if a.unknown || c.head.IsOut(t) {
		return Head{}, nil
	}
	r := release{changeID: a.order.ChangeID, by: a.order.By}
	if !a.w.Store.releaseHolds(t, r) {
		return Head{}, nil
	}
	return c.head, result.New(result.HeldLocally, t.String())
}

// stored is a head as the service has it; revision 0 means that it has none.
type stored struct {
	head     Head
	revision int64
}

func unreadable(err error) bool {
	return result.CodeOf(err) == result.DocumentUnreadable
}

// read reads the head from the service. A head that can't be read is a
// result.DocumentUnreadable.
func (w *Writer) read(ctx context.Context) (stored, error) {
	r, err := w.KV.Get(ctx, HeadKey)
	if err != nil {
		return stored{}, err
	}
	kv, ok := r.First()
	if !ok {
		return stored{}, nil
	}
	h, err := DecodeHead(kv.Value())
	if err != nil {
		return stored{}, result.New(result.DocumentUnreadable, err.Error())
	}
	return stored{head: h, revision: kv.Revision()}, nil
}

// swap writes next where the service still has cur.
func (w *Writer) swap(ctx context.Context, cur stored, next Head) (stored, bool, error) {
	var c platform.Compare = platform.Absent{Key: HeadKey}
	if cur.revision != 0 {
		c = platform.RevisionIs{Key: HeadKey, Revision: cur.revision}
	}
	b := next.Encode()
	if len(b) > MaxHead {
		return stored{}, false, result.Newf(result.MalformedOrder, "the document would have %d bytes, at most %d", len(b), MaxHead)
	}
	r, err := w.KV.Txn(ctx, platform.Txn{
		If:   []platform.Compare{c},
		Then: []platform.Op{platform.Put{Key: HeadKey, Value: b}},
	})
	if err != nil {
		return stored{}, false, err
	}
	return stored{head: next, revision: r.Revision()}, r.Succeeded(), nil
}

// putPart writes a part unless the service has it. A repeat is harmless.
func (w *Writer) putPart(ctx context.Context, body []byte) error {
	key := PartsPrefix + Digest(body)
	_, err := w.KV.Txn(ctx, platform.Txn{
		If:   []platform.Compare{platform.Absent{Key: key}},
		Then: []platform.Op{platform.Put{Key: key, Value: body}},
	})
	return eris.Wrap(err, "write part")
}

// writeParts writes the parts that a head names and that are known here. A part
// that is known nowhere does not hold the head back: every later order, also
// one to take a data centre out, would wait for it without end, while without
// its body a preset only leaves the one before in use (Snapshot.Preset).
// FetchParts writes it when it has come from a peer.
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
