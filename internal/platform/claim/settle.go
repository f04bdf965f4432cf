package claim

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// settle hands each operation its part of the answer.
func (b *Batcher) settle(batch []*op, r platform.TxnReply, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, o := range batch {
		if err != nil {
			b.failed(o, err)
			continue
		}
		b.answered(o, r.Ops()[i].Txn())
	}
	b.counts.backlog.Update(int64(len(b.closes)))
	if b.idle != nil && len(b.closes)+b.flight == 0 {
		close(b.idle)
		b.idle = nil
	}
}

// requeue puts an operation first in its queue again. The caller holds mu.
func (b *Batcher) requeue(o *op) {
	o.inUse = false
	if _, ok := o.step.(create); ok {
		b.claims = append([]*op{o}, b.claims...)
		return
	}
	b.flight--
	b.closes = append([]*op{o}, b.closes...)
}

// failed handles an operation whose transaction has no answer or was refused.
//
// It guards the truth of NotMade: a claim is answered so only if no send of it
// is without an answer. A claim with such a send stays queued until an answer
// settles it or its caller leaves.
func (b *Batcher) failed(o *op, err error) {
	notSent := result.CodeOf(err) == result.PlatformDown
	if !notSent {
		o.maybe = true
	}
	if _, ok := o.step.(create); !ok {
		b.requeue(o)
		return
	}
	switch {
	case o.maybe && o.left:
		b.abandon(o)
	case o.maybe, platform.IsLeaseMissing(err) && !o.left:
		b.requeue(o)
	case !o.left:
		o.inUse = false
		o.verdict <- NotMade{Err: err}
	}
}

// answered handles an operation whose transaction was answered.
func (b *Batcher) answered(o *op, r platform.TxnReply) {
	switch s := o.step.(type) {
	case create:
		b.created(o, s, r)
	case conclude:
		b.flight--
		stored, next := s.judge(r)
		b.concluded(o, stored, next)
	case closeKey:
		b.flight--
		if next := s.judge(r); next != nil {
			b.background(next, o.since)
		}
	}
}

func (b *Batcher) concluded(o *op, stored bool, next step) {
	switch {
	case stored:
		b.counts.concluded.Inc(1)
	case next != nil:
		b.background(next, o.since)
	default:
		b.counts.superseded.Inc(1)
	}
}

func (b *Batcher) created(o *op, c create, r platform.TxnReply) {
	v, next := c.judge(r)
	if v == nil {
		// The answer proves that no earlier send took effect or can any more,
		// so the window begins anew with the next one.
		o.step = next
		o.maybe = false
		o.sentAt = time.Time{}
		if o.left {
			return
		}
		b.requeue(o)
		return
	}
	g, granted := v.(Granted)
	if granted {
		g.Grant.sentAt = o.sentAt
		g.Grant.window = b.Window
		v = g
	}
	o.inUse = false
	if !o.left {
		o.verdict <- v
		return
	}
	if granted {
		rec := g.Grant.record.with(NotRun, Answer{}, o.since)
		b.background(conclude{record: rec, revision: g.Grant.revision}, o.since)
	}
}
