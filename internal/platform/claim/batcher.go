package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Errors returned by Batcher.Run and Batcher.StoreOutcome.
var (
	ErrMissingFields = errors.New("claim: Batcher requires KV, Now, DispatchWindow, Retention, MaxQueue and MaxBacklog")
	ErrBacklogFull   = errors.New("claim: too many outcomes are waiting to be stored")
)

// Batcher makes claims and stores outcomes for one agent. Set the fields, then
// call Run. It is safe for concurrent use.
//
// Batcher.mu is its only lock and is not held while the platform is called.
type Batcher struct {
	// KV is the platform's key-value service.
	KV platform.KV
	// Agent is the agent's address, Endpoint the name of its endpoint, and
	// Incarnation distinguishes the starts of the agent's process. They go into
	// each record.
	Agent       string
	Endpoint    string
	Incarnation uint64
	// DispatchWindow is the dispatch window: how long after its claim was first
	// sent a request may be dispatched.
	DispatchWindow time.Duration
	// Retention is the minimum time that closed records are kept.
	// BucketDuration is how long one lease is used for new records; zero means
	// an eighth of Retention.
	Retention      time.Duration
	BucketDuration time.Duration
	// Interval is the minimum time between two transactions. An idle Batcher
	// sends at once.
	Interval time.Duration
	// Linger is how long an outcome may wait to share a transaction with a
	// claim. Claims are not delayed by it.
	Linger time.Duration
	// MaxQueue bounds the waiting claims, MaxBacklog the outcomes that are not
	// stored yet, for example during an outage.
	MaxQueue   int
	MaxBacklog int
	// Now returns the current time.
	Now func() time.Time
	// Log receives warnings; nil means the standard logger.
	Log *logrus.Logger
	// Metrics receives the metrics; nil means the default registry.
	Metrics metrics.Registry

	once     sync.Once
	wake     chan struct{}
	counters counters
	lease    bucketLease // used only by the goroutine of Run

	mu               sync.Mutex // guards the fields below and those of each op
	pendingClaims    []*op      // claims that wait to be sent
	pendingOutcomes  []*op      // storeOutcome and closeKey operations that wait to be sent
	inFlightOutcomes int        // storeOutcome and closeKey operations in the current transaction
	drained          chan struct{}
	stopped          bool
}

// op is a queued operation. Batcher.mu guards its fields, but Run uses mutation
// and firstSentAt of an operation in flight without it.
type op struct {
	mutation       mutation
	queuedAt       time.Time // when it was queued
	firstSentAt    time.Time // first send of a createClaim that may take effect
	mayHaveApplied bool      // the outcome of a send is unknown
	inFlight       bool      // part of the current transaction
	abandoned      bool      // the caller no longer waits for the result
	resultCh       chan Result
}

// Request describes the request to claim.
type Request struct {
	Key        Key
	BodyDigest string
	RequestID  string
	AttemptID  string
}

func (b *Batcher) init() {
	b.once.Do(func() {
		b.wake = make(chan struct{}, 1)
		b.counters = newCounters(b.Metrics)
		if b.Log == nil {
			b.Log = logrus.StandardLogger()
		}
		if b.BucketDuration == 0 {
			b.BucketDuration = b.Retention / 8
		}
	})
}

// Claim claims a request and waits for the result until ctx ends. An attempt
// id must not be used twice.
func (b *Batcher) Claim(ctx context.Context, r Request) Result {
	b.init()
	o, refused := b.enqueue(r)
	if refused != nil {
		return b.counters.countResult(NotClaimed{Err: refused})
	}
	select {
	case v := <-o.resultCh:
		return b.counters.countResult(v)
	case <-ctx.Done():
		return b.counters.countResult(b.cancelClaim(o))
	}
}

// enqueue queues a claim, or refuses it if Run has ended or MaxQueue claims
// wait. Without that limit, a burst of requests or a slow service would make
// callers wait past their deadlines in a queue that the service, at a few
// hundred writes per second, can't drain. MaxQueue should be the number of
// claims that the service handles within the shortest deadline.
func (b *Batcher) enqueue(r Request) (*op, error) {
	now := b.Now()
	rec := Record{
		key:         r.Key,
		bodyDigest:  r.BodyDigest,
		requestID:   r.RequestID,
		attemptID:   r.AttemptID,
		agent:       b.Agent,
		endpoint:    b.Endpoint,
		incarnation: b.Incarnation,
	}
	o := &op{
		mutation: createClaim{record: rec.withState(Claimed, Answer{}, now)},
		queuedAt: now,
		resultCh: make(chan Result, 1),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return nil, result.New(result.ShuttingDown, "claims have stopped")
	}
	if len(b.pendingClaims) >= b.MaxQueue {
		return nil, result.New(result.PlatformDown, "too many claims wait for the platform").WithRetryAfter(b.DispatchWindow)
	}
	b.pendingClaims = append(b.pendingClaims, o)
	b.signal()
	return o, nil
}

// cancelClaim returns the result for a caller that stops waiting. A claim that
// was never sent is certainly not made. One that was sent may take effect; it
// is abandoned in the background, so that it does not stay open until an
// operator releases it.
func (b *Batcher) cancelClaim(o *op) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case v := <-o.resultCh:
		return v
	default:
	}
	if !o.inFlight && !o.mayHaveApplied {
		b.pendingClaims = removeOp(b.pendingClaims, o)
		return NotClaimed{Err: result.New(result.PlatformDown, "the request ended before its claim was sent")}
	}
	o.abandoned = true
	if !o.inFlight {
		b.pendingClaims = removeOp(b.pendingClaims, o)
		b.abandon(o)
	}
	return Unknown{Err: errors.New("the platform has not told whether the claim was made")}
}

func removeOp(ops []*op, o *op) []*op {
	for i, p := range ops {
		if p == o {
			return append(ops[:i], ops[i+1:]...)
		}
	}
	return ops
}

// StoreOutcome queues the outcome of a granted claim, which is stored in the
// background and retried through outages. The state is Completed, Failed,
// Unsettled or NotRun. NotRun gives the claim up and is valid only if the
// request was not dispatched. StoreOutcome returns ErrBacklogFull, and the
// claim stays open for operators, when the backlog is full or Run has ended.
func (b *Batcher) StoreOutcome(g Grant, s State, a Answer) error {
	b.init()
	now := b.Now()
	o := &op{mutation: storeOutcome{record: g.record.withState(s, a, now), revision: g.revision}, queuedAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped || len(b.pendingOutcomes)+b.inFlightOutcomes >= b.MaxBacklog {
		b.counters.dropped.Inc(1)
		return ErrBacklogFull
	}
	b.pendingOutcomes = append(b.pendingOutcomes, o)
	b.signal()
	return nil
}

// Pending returns the number of outcomes that are not stored yet.
func (b *Batcher) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pendingOutcomes) + b.inFlightOutcomes
}

// Flush waits until no outcome waits to be stored, or returns the error of ctx
// if that ends first.
func (b *Batcher) Flush(ctx context.Context) error {
	b.init()
	for {
		b.mu.Lock()
		if len(b.pendingOutcomes)+b.inFlightOutcomes == 0 {
			b.mu.Unlock()
			return nil
		}
		if b.drained == nil {
			b.drained = make(chan struct{})
		}
		drained := b.drained
		b.mu.Unlock()
		select {
		case <-drained:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// signal wakes up Run. It does not block.
func (b *Batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// abandon queues a closeKey that ends a claim no caller waits for. The caller
// must hold mu.
func (b *Batcher) abandon(o *op) {
	c, ok := o.mutation.(createClaim)
	if !ok {
		return
	}
	b.counters.abandoned.Inc(1)
	r := c.record.withState(NotRun, Answer{}, o.queuedAt)
	b.enqueueBackground(closeKey{record: r, precondition: c.precondition}, o.queuedAt)
}

// enqueueBackground queues a mutation that no caller waits for. When the
// backlog is full the mutation is dropped and the claim stays open, which is
// safe. The caller must hold mu.
func (b *Batcher) enqueueBackground(m mutation, queuedAt time.Time) {
	if len(b.pendingOutcomes)+b.inFlightOutcomes >= b.MaxBacklog {
		b.counters.dropped.Inc(1)
		return
	}
	b.pendingOutcomes = append(b.pendingOutcomes, &op{mutation: m, queuedAt: queuedAt})
	b.signal()
}
