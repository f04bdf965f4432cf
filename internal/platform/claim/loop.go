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
	// MaxBatchOps is the maximum number of operations per transaction: the
	// service's limit less the operations of the largest nested transaction,
	// which the service counts too.
	MaxBatchOps = platform.MaxTxnOps - nestedOps

	// maxBatchBytes keeps a transaction below the service's request size limit
	// of a megabyte and a half.
	maxBatchBytes = 768 << 10
)

// The wait after a failed transaction doubles from minBackoff up to maxBackoff.
// It limits the load on a failing service. A recovered service is used again
// within a second, which is less than DispatchWindow.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Run sends queued operations until ctx ends. Claims that still wait then get
// NotClaimed if none of their sends may have had an effect, otherwise Unknown.
// It returns ErrMissingFields if a required field is not set.
func (b *Batcher) Run(ctx context.Context) error {
	if b.KV == nil || b.Now == nil || b.DispatchWindow <= 0 || b.Retention <= 0 || b.MaxQueue <= 0 || b.MaxBacklog <= 0 {
		return ErrMissingFields
	}
	b.init()
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		batch, wait := b.nextBatch(b.Now())
		if len(batch) == 0 {
			b.waitForWork(ctx, wait)
			continue
		}
		if b.sendBatch(ctx, batch) {
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

// waitForWork waits until signal is called, ctx ends or, if d is positive, d
// has passed.
func (b *Batcher) waitForWork(ctx context.Context, d time.Duration) {
	var timeout <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-b.wake:
	case <-timeout:
	case <-ctx.Done():
	}
}

// nextBatch removes the next batch from the queues. If there is nothing to send
// yet, it returns how long the oldest outcome may still wait.
//
// There may be more claims and outcomes than the service can handle writes, so
// they share transactions: writes grow with the number of agents and not with the
// number of requests. Claims go first, because callers wait for them. Half of
// the batch is reserved for outcomes, because a backlog that only grows would
// eventually drop outcomes. A batch holds each key at most once: the service
// rejects a transaction that writes a key twice, and with it all operations of
// the batch.
func (b *Batcher) nextBatch(now time.Time) ([]*op, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait := b.lingerRemaining(now); len(b.pendingClaims) == 0 && (len(b.pendingOutcomes) == 0 || wait > 0) {
		return nil, wait
	}
	builder := batchBuilder{keys: make(map[Key]bool)}
	reservedForOutcomes := min(len(b.pendingOutcomes), MaxBatchOps/2)
	b.pendingClaims = builder.addOps(b.pendingClaims, MaxBatchOps-reservedForOutcomes)
	b.pendingOutcomes = builder.addOps(b.pendingOutcomes, MaxBatchOps)
	for _, o := range builder.batch {
		o.inFlight = true
		if _, ok := o.mutation.(createClaim); !ok {
			b.inFlightOutcomes++
		}
	}
	return builder.batch, 0
}

// lingerRemaining returns how long the oldest outcome may still wait for a
// claim. Zero or less means that outcomes are due or that there are none.
func (b *Batcher) lingerRemaining(now time.Time) time.Duration {
	if len(b.pendingOutcomes) == 0 || len(b.pendingOutcomes) >= MaxBatchOps {
		return 0
	}
	return b.pendingOutcomes[0].queuedAt.Add(b.Linger).Sub(now)
}

// batchBuilder collects the operations of a batch within its limits.
type batchBuilder struct {
	batch []*op
	keys  map[Key]bool
	bytes int
}

// addOps moves operations into the batch until it holds limit operations, and
// returns the others. It leaves out operations whose key is already in the
// batch or that would exceed maxBatchBytes. The size of an operation is an
// estimate: its answer in base64 and an allowance for the rest.
func (b *batchBuilder) addOps(ops []*op, limit int) []*op {
	var remaining []*op
	for _, o := range ops {
		r := recordOf(o.mutation)
		size := len(r.answer.Body)*4/3 + maxRecordBytes/16
		if len(b.batch) >= limit || b.keys[r.key] || b.bytes+size > maxBatchBytes {
			remaining = append(remaining, o)
			continue
		}
		b.keys[r.key] = true
		b.bytes += size
		b.batch = append(b.batch, o)
	}
	return remaining
}

// sendBatch sends one transaction and reports whether it succeeded.
func (b *Batcher) sendBatch(ctx context.Context, batch []*op) bool {
	id, err := b.lease.leaseFor(ctx, b, batch)
	if err != nil {
		batch = b.requeueLeaseOps(batch)
		if len(batch) == 0 {
			return false
		}
	}
	t := platform.Txn{}
	now := b.Now()
	for _, o := range batch {
		if o.firstSentAt.IsZero() {
			o.firstSentAt = now
		}
		t.Then = append(t.Then, mutationTxn(o.mutation, id))
	}
	b.counters.txns.Inc(1)
	b.counters.ops.Inc(int64(len(batch)))
	r, err := b.KV.Txn(ctx, t)
	if err == nil && len(r.Ops()) != len(batch) {
		err = errors.New("claim: reply and transaction differ in the number of operations")
	}
	if platform.IsLeaseMissing(err) {
		b.lease = bucketLease{}
	}
	b.applyReply(batch, r, err)
	return err == nil
}

// requeueLeaseOps requeues the operations that need a lease and returns the
// others.
func (b *Batcher) requeueLeaseOps(batch []*op) []*op {
	b.mu.Lock()
	defer b.mu.Unlock()
	var remaining []*op
	for _, o := range batch {
		if needsLease(o.mutation) {
			b.requeue(o)
			continue
		}
		remaining = append(remaining, o)
	}
	return remaining
}

// stop answers all waiting claims. The claims of outcomes that are not stored
// stay open.
func (b *Batcher) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, o := range b.pendingClaims {
		if o.mayHaveApplied {
			o.resultCh <- Unknown{Err: errors.New("the agent stopped before the platform answered")}
			continue
		}
		o.resultCh <- NotClaimed{Err: result.New(result.ShuttingDown, "claims have stopped")}
	}
	b.pendingClaims = nil
	if n := len(b.pendingOutcomes); n > 0 {
		b.counters.dropped.Inc(int64(n))
		b.Log.WithField("outcomes", n).Warn("stopped before all outcomes were stored; their claims stay open")
	}
}
