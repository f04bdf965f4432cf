package config

import (
	"context"
	"time"
)

// Repair writes into the service's document what this process knows and the
// document lacks: newer changes, if the service was restored from an older
// copy, and local holds. It returns nil once the document is complete. If there
// is nothing to write it costs one read.
func (w *Writer) Repair(ctx context.Context, now time.Time) error {
	for {
		cur, err := w.read(ctx)
		if err != nil {
			return err
		}
		_, ok, err := w.repair(ctx, cur, now)
		if ok || err != nil {
			return err
		}
		if !waitRetryDelay(ctx) {
			return ctx.Err()
		}
	}
}

// repair writes everything known to this process into the service's document
// and returns the resulting document. It returns false if another process
// changed the document first, so that it must be read again.
//
// This keeps accepted changes when the service is restored from an older copy.
// Without it the next change would be applied to the older document and reuse a
// generation that other processes have seen with other contents, and the
// changes in between would be undone. Every writer repairs before it applies a
// change, by the same compare-and-swap.
func (w *Writer) repair(ctx context.Context, cur storedHead, now time.Time) (storedHead, bool, error) {
	w.Store.Merge(cur.head)
	next, err := mergeKnown(cur.head, w.Store.Current(), now)
	if err != nil {
		return storedHead{}, false, err
	}
	if next.equal(cur.head) {
		return cur, true, nil
	}
	if err := w.writeParts(ctx, next); err != nil {
		return storedHead{}, false, err
	}
	written, ok, err := w.compareAndSwap(ctx, cur, next)
	if ok && err == nil {
		w.Store.Merge(next)
	}
	return written, ok, err
}

// mergeKnown returns the stored document joined with what this process knows. A
// join of concurrent heads gets a generation of its own, so that no two written
// documents share one.
func mergeKnown(stored Head, known *Snapshot, now time.Time) (Head, error) {
	h := JoinHeads(stored, known.head)
	if h.joined {
		n, err := Apply(h, Order{ChangeID: joinChangeID(h), By: "join", Change: recordJoin{}}, now)
		if err != nil {
			return Head{}, err
		}
		h = n
	}
	for _, hold := range known.holds {
		n, err := applyHold(h, hold)
		if err != nil {
			// The document is full, and the hold stays in force locally. Returning
			// the error would block all changes, even one that makes room.
			continue
		}
		h = n
	}
	return h, nil
}

// joinChangeID returns the change id of a join. It is the same in every process
// that joins the same heads, so that they all write the same document.
func joinChangeID(h Head) string { return "join-" + Digest(h.Encode())[:32] }

// applyHold records a hold, or its release, in the document. It uses the time
// of the hold, so that all processes that record the same hold write the same
// document.
func applyHold(h Head, hold Hold) (Head, error) {
	if hold.recordedIn(h) {
		return h, nil
	}
	o := Order{ChangeID: hold.changeID, By: hold.by, Change: TakeOutOfService{Target: hold.target}}
	if hold.Released() {
		o = Order{ChangeID: hold.release.changeID, By: hold.release.by, Change: releaseHold{holdID: hold.changeID}}
	}
	return Apply(h, o, hold.at)
}
