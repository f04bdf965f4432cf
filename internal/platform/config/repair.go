package config

import (
	"context"
	"time"
)

// Repair brings the service's document up to all that this process knows: the
// newest document, when the service was restored from an older copy, and local
// holds. It returns nil when the service holds all of it. It costs one read
// when there is nothing to do.
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
		if !wait(ctx) {
			return ctx.Err()
		}
	}
}

// repair returns the service's document after all that this process knows has
// been written into it, or false when another writer came first and the
// document must be read again.
//
// It guards accepted changes against a restore from an older copy: without it
// the next change would be made on the older document, its generation would
// repeat one that other processes have seen with other contents, and the
// changes in between would be undone. It holds because every writer repairs
// before it changes, and by the same compare-and-swap.
func (w *Writer) repair(ctx context.Context, cur stored, now time.Time) (stored, bool, error) {
	w.Store.Offer(cur.head)
	next, err := repaired(cur.head, w.Store.Current(), now)
	if err != nil {
		return stored{}, false, err
	}
	if next.equal(cur.head) {
		return cur, true, nil
	}
	if err := w.writeParts(ctx, next); err != nil {
		return stored{}, false, err
	}
	done, ok, err := w.swap(ctx, cur, next)
	if ok && err == nil {
		w.Store.Offer(next)
	}
	return done, ok, err
}

// repaired returns the document that holds what the service has and what is
// known here. A join of heads that forked gets a generation of its own, so that
// no two written documents share one.
func repaired(inService Head, known *Snapshot, now time.Time) (Head, error) {
	h := Newer(inService, known.head)
	if h.joined {
		n, err := Apply(h, Order{ChangeID: joinID(h), By: "join", Change: absorb{}}, now)
		if err != nil {
			return Head{}, err
		}
		h = n
	}
	for _, d := range known.holds {
		n, err := settle(h, d)
		if err != nil {
			// The document is full. The hold stays in force here; were it an
			// error, no change could be made any more, nor one that makes room.
			continue
		}
		h = n
	}
	return h, nil
}

// joinID is the same in every process that joins the same heads, so that two
// of them write the same document.
func joinID(h Head) string { return "join-" + Digest(h.Encode())[:32] }

// settle writes a hold, or its release, into the document. It uses the hold's
// own time, so that processes that settle the same hold write the same.
func settle(h Head, d Hold) (Head, error) {
	if d.settledBy(h) {
		return h, nil
	}
	o := Order{ChangeID: d.changeID, By: d.by, Change: TakeOut{Target: d.target}}
	if d.Released() {
		o = Order{ChangeID: d.release.changeID, By: d.release.by, Change: endHold{holdID: d.changeID}}
	}
	return Apply(h, o, d.at)
}
