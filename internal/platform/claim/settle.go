package claim

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// applyReply passes each operation of a batch its part of the reply, or the
// error of the transaction.
func (b *Batcher) applyReply(batch []*op, r platform.TxnReply, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, o := range batch {
		if err != nil {
			b.handleError(o, err)
			continue
		}
		b.handleReply(o, r.Ops()[i].Txn())
	}
	b.counters.backlog.Update(int64(len(b.pendingOutcomes)))
	if b.drained != nil && len(b.pendingOutcomes)+b.inFlightOutcomes == 0 {
		close(b.drained)
		b.drained = nil
	}
}

// requeue returns an operation to the front of its queue. The caller must hold
// mu.
func (b *Batcher) requeue(o *op) {
	o.inFlight = false
	if _, ok := o.mutation.(createClaim); ok {
		b.pendingClaims = append([]*op{o}, b.pendingClaims...)
		return
	}
	b.inFlightOutcomes--
	b.pendingOutcomes = append([]*op{o}, b.pendingOutcomes...)
}

// handleError handles an operation whose transaction was rejected or got no
// reply. The caller must hold mu.
//
// A claim gets NotClaimed only if each of its sends is known to have had no
// effect. After a send whose outcome is unknown, the claim stays queued until a
// reply settles it or its caller stops waiting.
func (b *Batcher) handleError(o *op, err error) {
	hadNoEffect := result.CodeOf(err) == result.PlatformDown
	if !hadNoEffect {
		o.mayHaveApplied = true
	}
	if _, ok := o.mutation.(createClaim); !ok {
		b.requeue(o)
		return
	}
	switch {
	case o.mayHaveApplied && o.abandoned:
		b.abandon(o)
	case o.mayHaveApplied, platform.IsLeaseMissing(err) && !o.abandoned:
		b.requeue(o)
	case !o.abandoned:
		o.inFlight = false
		o.resultCh <- NotClaimed{Err: err}
	}
}

// handleReply handles an operation whose transaction got a reply. The caller
// must hold mu.
func (b *Batcher) handleReply(o *op, r platform.TxnReply) {
	switch m := o.mutation.(type) {
	case createClaim:
		b.finishClaim(o, m, r)
	case storeOutcome:
		b.inFlightOutcomes--
		stored, next := m.interpretReply(r)
		b.finishOutcome(o, stored, next)
	case closeKey:
		b.inFlightOutcomes--
		if next := m.interpretReply(r); next != nil {
			b.enqueueBackground(next, o.queuedAt)
		}
	}
}

func (b *Batcher) finishOutcome(o *op, stored bool, next mutation) {
	switch {
	case stored:
		b.counters.concluded.Inc(1)
	case next != nil:
		b.enqueueBackground(next, o.queuedAt)
	default:
		b.counters.superseded.Inc(1)
	}
}

func (b *Batcher) finishClaim(o *op, c createClaim, r platform.TxnReply) {
	v, next := c.interpretReply(r)
	if v == nil {
		// The reply proves that no earlier send took effect or still can, so
		// the window starts again with the next send.
		o.mutation = next
		o.mayHaveApplied = false
		o.firstSentAt = time.Time{}
		if o.abandoned {
			return
		}
		b.requeue(o)
		return
	}
	g, granted := v.(Granted)
	if granted {
		g.Grant.firstSentAt = o.firstSentAt
		g.Grant.dispatchWindow = b.DispatchWindow
		v = g
	}
	o.inFlight = false
	if !o.abandoned {
		o.resultCh <- v
		return
	}
	if granted {
		rec := g.Grant.record.withState(NotRun, Answer{}, o.queuedAt)
		b.enqueueBackground(storeOutcome{record: rec, revision: g.Grant.revision}, o.queuedAt)
	}
}
