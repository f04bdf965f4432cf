package claim

import (
	"context"
	"errors"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// MaxBatch is how many operations one transaction holds: what the service
	// allows less what each of them holds itself.
	MaxBatch = platform.MaxTxnOps - nestedOps

	// maxBatchBytes keeps a transaction below the request size that the service
	// takes, which is a megabyte and a half.
	maxBatchBytes = 768 << 10
)

// After a failed transaction the next one waits, from minBackoff up to
// maxBackoff: a service in trouble is not asked without end, and one that is
// back is found within a second, inside the usual window.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Run sends what is queued until ctx ends. Claims that wait then are answered:
// not made when they were never sent, else unknown.
func (b *Batcher) Run(ctx context.Context) error {
	if b.KV == nil || b.Now == nil || b.Window <= 0 || b.Retention <= 0 || b.MaxQueue <= 0 || b.MaxBacklog <= 0 {
		return ErrFields
	}
	b.init()
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		batch, wait := b.take(b.Now())
		if len(batch) == 0 {
			b.sleep(ctx, wait)
			continue
		}
		if b.send(ctx, batch) {
			backoff = 0
			pause.For(ctx, b.Interval)
			continue
		}
		backoff = min(max(2*backoff, minBackoff), maxBackoff)
		pause.For(ctx, backoff)
	}
	b.stop()
	return nil
}

// sleep waits for a signal, at most d when d is positive.
func (b *Batcher) sleep(ctx context.Context, d time.Duration) {
	var after <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		after = t.C
	}
	select {
	case <-b.wake:
	case <-after:
	case <-ctx.Done():
	}
}

// take picks the next batch, or says how long the next outcome may linger.
//
// Its load is more claims and outcomes than the service takes writes: they
// share transactions, so writes grow with the number of agents and not with the
// number of requests. Claims go first, because callers wait for them; outcomes
// keep half of the places, because a backlog that only grew would in the end
// drop outcomes. A key is in a batch once at most: the service refuses a
// transaction that writes a key twice, and everyone in it would be refused.
func (b *Batcher) take(now time.Time) ([]*op, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait := b.lingers(now); len(b.claims) == 0 && (len(b.closes) == 0 || wait > 0) {
		return nil, wait
	}
	p := picker{keys: make(map[Key]bool)}
	forCloses := min(len(b.closes), MaxBatch/2)
	b.claims = p.pick(b.claims, MaxBatch-forCloses)
	b.closes = p.pick(b.closes, MaxBatch)
	for _, o := range p.batch {
		o.inUse = true
		if _, ok := o.step.(create); !ok {
			b.flight++
		}
	}
	return p.batch, 0
}

// lingers returns how long the oldest outcome still may wait.
func (b *Batcher) lingers(now time.Time) time.Duration {
	if len(b.closes) == 0 || len(b.closes) >= MaxBatch {
		return 0
	}
	return b.closes[0].since.Add(b.Linger).Sub(now)
}

type picker struct {
	batch []*op
	keys  map[Key]bool
	bytes int
}

// pick moves operations into the batch until it holds limit and returns the
// rest.
func (p *picker) pick(ops []*op, limit int) []*op {
	var rest []*op
	for _, o := range ops {
		r := recordOf(o.step)
		size := len(r.answer.Body)*4/3 + maxRecord/16
		if len(p.batch) >= limit || p.keys[r.key] || p.bytes+size > maxBatchBytes {
			rest = append(rest, o)
			continue
		}
		p.keys[r.key] = true
		p.bytes += size
		p.batch = append(p.batch, o)
	}
	return rest
}

// send does one transaction and reports whether the service answered.
func (b *Batcher) send(ctx context.Context, batch []*op) bool {
	id, err := b.lease.get(ctx, b, batch)
	if err != nil {
		batch = b.postpone(batch)
		if len(batch) == 0 {
			return false
		}
	}
	t := platform.Txn{}
	now := b.Now()
	for _, o := range batch {
		if o.sentAt.IsZero() {
			o.sentAt = now
		}
		t.Then = append(t.Then, txnOf(o.step, id))
	}
	b.counts.txns.Inc(1)
	b.counts.ops.Inc(int64(len(batch)))
	r, err := b.KV.Txn(ctx, t)
	if err == nil && len(r.Ops()) != len(batch) {
		err = errors.New("claim: the answer does not fit the transaction")
	}
	if platform.IsLeaseMissing(err) {
		b.lease = bucketLease{}
	}
	b.settle(batch, r, err)
	return err == nil
}

// postpone puts the operations that need a lease back into the queue.
func (b *Batcher) postpone(batch []*op) []*op {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rest []*op
	for _, o := range batch {
		if needsLease(o.step) {
			b.requeue(o)
			continue
		}
		rest = append(rest, o)
	}
	return rest
}

// stop answers everyone who waits.
func (b *Batcher) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, o := range b.claims {
		if o.maybe {
			o.verdict <- Unknown{Err: errors.New("the agent stopped before the platform answered")}
			continue
		}
		o.verdict <- NotMade{Err: result.New(result.ShuttingDown, "claims have stopped")}
	}
	b.claims = nil
	if n := len(b.closes); n > 0 {
		b.counts.dropped.Inc(int64(n))
		b.Log.WithField("outcomes", n).Warn("stopped before all outcomes were stored; their claims stay open")
	}
}
