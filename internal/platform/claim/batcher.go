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

// Errors of Batcher.Run and Batcher.Conclude.
var (
	ErrFields  = errors.New("claim: Batcher needs KV, Now, Window, Retention, MaxQueue and MaxBacklog")
	ErrBacklog = errors.New("claim: too many outcomes wait to be stored")
)

// Batcher makes claims and stores outcomes for one agent. Set the fields, then
// Run it. It may be used by several goroutines.
//
// State lock order: Batcher.mu is its only lock and is not held while the
// platform is called.
type Batcher struct {
	// KV is the platform's service.
	KV platform.KV
	// Agent is the agent's address, Endpoint its endpoint's name, Incarnation
	// its start; they go into each record.
	Agent       string
	Endpoint    string
	Incarnation uint64
	// Window is how long after its claim was sent a request may be dispatched.
	Window time.Duration
	// Retention is how long closed records are kept at least, and Bucket for how
	// long one lease is given to new ones; zero means an eighth of Retention.
	Retention time.Duration
	Bucket    time.Duration
	// Interval is the least time between two transactions. An idle batcher sends
	// at once.
	Interval time.Duration
	// Linger is how long an outcome may wait for a claim to share a transaction
	// with. A claim never waits for it.
	Linger time.Duration
	// MaxQueue bounds the claims that wait, MaxBacklog the outcomes that are
	// kept through an outage.
	MaxQueue   int
	MaxBacklog int
	// Now is the clock.
	Now func() time.Time
	// Log receives changes of state; nil means the standard logger.
	Log *logrus.Logger
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry

	once   sync.Once
	wake   chan struct{}
	counts counts
	lease  bucketLease // of the goroutine that runs Run

	mu      sync.Mutex // guards all below and the fields of each op
	claims  []*op      // wait to be sent
	closes  []*op      // conclude and closeKey steps that wait to be sent
	flight  int        // closes that are on their way
	idle    chan struct{}
	stopped bool
}

// op is one operation on its way to a verdict.
type op struct {
	step    step
	since   time.Time // when it was queued
	sentAt  time.Time // when a create that may take effect was first sent
	maybe   bool      // a send got no answer
	inUse   bool      // it is in the batch on its way
	left    bool      // nobody waits for the verdict any more
	verdict chan Verdict
}

// Request is what is to be claimed.
type Request struct {
	Key        Key
	BodyDigest string
	RequestID  string
	AttemptID  string
}

func (b *Batcher) init() {
	b.once.Do(func() {
		b.wake = make(chan struct{}, 1)
		b.counts = newCounts(b.Metrics)
		if b.Log == nil {
			b.Log = logrus.StandardLogger()
		}
		if b.Bucket == 0 {
			b.Bucket = b.Retention / 8
		}
	})
}

// Claim claims a request and waits for the verdict until ctx ends. An attempt
// id must not be used twice.
func (b *Batcher) Claim(ctx context.Context, r Request) Verdict {
	b.init()
	o, refused := b.enqueue(r)
	if refused != nil {
		return b.counts.verdict(NotMade{Err: refused})
	}
	select {
	case v := <-o.verdict:
		return b.counts.verdict(v)
	case <-ctx.Done():
		return b.counts.verdict(b.leave(o))
	}
}

// enqueue decides whether a claim may wait. Its load is a burst of orders or a
// slow service; without the bound callers would wait past their deadlines in a
// queue that the service's few hundred writes a second can't empty. MaxQueue
// should be what the service takes within the shortest deadline.
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
		step:    create{record: rec.with(Claimed, Answer{}, now)},
		since:   now,
		verdict: make(chan Verdict, 1),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return nil, result.New(result.ShuttingDown, "claims have stopped")
	}
	if len(b.claims) >= b.MaxQueue {
		return nil, result.New(result.PlatformDown, "too many claims wait for the platform").WithRetryAfter(b.Window)
	}
	b.claims = append(b.claims, o)
	b.signal()
	return o, nil
}

// leave is called when a caller waits no longer. A claim that was never sent is
// truly not made. One that was sent may take effect; it is abandoned in the
// background, so that it does not stay open for operators to settle.
func (b *Batcher) leave(o *op) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case v := <-o.verdict:
		return v
	default:
	}
	if !o.inUse && !o.maybe {
		b.claims = remove(b.claims, o)
		return NotMade{Err: result.New(result.PlatformDown, "the request ended before its claim was sent")}
	}
	o.left = true
	if !o.inUse {
		b.claims = remove(b.claims, o)
		b.abandon(o)
	}
	return Unknown{Err: errors.New("the platform has not told whether the claim was made")}
}

func remove(ops []*op, o *op) []*op {
	for i, p := range ops {
		if p == o {
			return append(ops[:i], ops[i+1:]...)
		}
	}
	return ops
}

// Conclude stores the outcome of a granted claim, in the background and through
// outages. The state is Completed, Failed, Unsettled or NotRun; NotRun gives
// the claim up and is only true when the request was not dispatched. When the
// backlog is full the claim stays open for operators and ErrBacklog is
// returned.
func (b *Batcher) Conclude(g Grant, s State, a Answer) error {
	b.init()
	now := b.Now()
	o := &op{step: conclude{record: g.record.with(s, a, now), revision: g.revision}, since: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped || len(b.closes)+b.flight >= b.MaxBacklog {
		b.counts.dropped.Inc(1)
		return ErrBacklog
	}
	b.closes = append(b.closes, o)
	b.signal()
	return nil
}

// Pending returns how many outcomes are not stored yet.
func (b *Batcher) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.closes) + b.flight
}

// Flush waits until all outcomes are stored, or returns the error of ctx.
func (b *Batcher) Flush(ctx context.Context) error {
	b.init()
	for {
		b.mu.Lock()
		if len(b.closes)+b.flight == 0 {
			b.mu.Unlock()
			return nil
		}
		if b.idle == nil {
			b.idle = make(chan struct{})
		}
		idle := b.idle
		b.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// signal wakes Run.
func (b *Batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// abandon queues the end of a claim that nobody waits for. The caller holds mu.
func (b *Batcher) abandon(o *op) {
	c, ok := o.step.(create)
	if !ok {
		return
	}
	b.counts.abandoned.Inc(1)
	r := c.record.with(NotRun, Answer{}, o.since)
	b.background(closeKey{record: r, guard: c.guard}, o.since)
}

// background queues a step that no caller waits for. Beyond the backlog's bound
// the claim stays open, which is safe. The caller holds mu.
func (b *Batcher) background(s step, now time.Time) {
	if len(b.closes)+b.flight >= b.MaxBacklog {
		b.counts.dropped.Inc(1)
		return
	}
	b.closes = append(b.closes, &op{step: s, since: now})
	b.signal()
}
