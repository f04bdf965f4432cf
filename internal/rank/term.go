package rank

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// term is a period of leadership of this agent under one token.
type term struct {
	runner *Runner
	leader *naming.Leader
	// pendingCalls is the number of calls in progress. Each sends on callDone
	// when it ends.
	pendingCalls int
	callDone     chan struct{}
	planner      planner
	// leaseUntil is the end of the lease, renewAt the time of the next renewal,
	// and renewing whether a renewal is in progress. They are guarded by the
	// runner's mu.
	leaseUntil, renewAt time.Time
	renewing            bool
}

// runLeader tries to acquire the lease when the member has accepted no order of
// a leader for the election timeout, and leads the group while it holds the
// lease.
func (r *Runner) runLeader(ctx context.Context) error {
	r.mu.Lock()
	r.lastOrderAt = time.Now()
	r.mu.Unlock()
	for pause.For(ctx, r.ResendInterval) {
		r.mu.Lock()
		elapsed := time.Since(r.lastOrderAt)
		r.mu.Unlock()
		if elapsed < r.electionTimeout() {
			continue
		}
		t := r.acquire(ctx)
		if t == nil {
			r.mu.Lock()
			r.lastOrderAt = time.Now()
			r.mu.Unlock()
			continue
		}
		t.run(ctx)
	}
	return nil
}

// acquire tries to acquire the lease and returns nil on failure.
func (r *Runner) acquire(ctx context.Context) *term {
	callCtx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	token, until, err := r.Lease.Acquire(callCtx, time.Now())
	if err != nil {
		return nil
	}
	l := &naming.Leader{
		Members: len(r.Peers), Token: token, ResendInterval: r.ResendInterval, RefreshInterval: r.RefreshInterval,
		HoldTime: r.HoldTime, StepMargin: r.Lookahead,
	}
	l.ExtendLease(until)
	r.leading.Store(true)
	r.stats.leads.Inc(1)
	r.emit(Event{Kind: EventLead, Number: token})
	return &term{
		runner: r, leader: l, leaseUntil: until, callDone: make(chan struct{}, 1),
		renewAt: time.Now().Add(r.LeaseTTL / 3),
		planner: planner{runner: r, nextPlanAt: time.Now().Add(r.PlanEvery)},
	}
}

// run leads the group until a newer leader is seen or ctx ends. A leader whose
// lease has expired completes the pending map change but starts no new one, and
// acquires the lease again under a new token when it is free.
func (t *term) run(ctx context.Context) {
	r := t.runner
	ctx, cancel := context.WithCancel(ctx)
	ticker := time.NewTicker(max(r.ResendInterval/4, time.Millisecond))
	defer ticker.Stop()
	for ctx.Err() == nil && !t.ended(time.Now()) {
		t.tick(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-t.callDone:
			t.pendingCalls--
		}
	}
	cancel()
	for ; t.pendingCalls > 0; t.pendingCalls-- {
		<-t.callDone
	}
	r.leading.Store(false)
	r.stats.deposed.Inc(1)
	r.emit(Event{Kind: EventDeposed, Number: t.leader.Token})
}

// ended reports whether the term has ended: another leader has been seen, or
// the lease has expired with no change pending.
func (t *term) ended(now time.Time) bool {
	r := t.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.leader.Deposed() || now.After(t.leaseUntil) && t.leader.NoActivationInProgress()
}

func (t *term) tick(ctx context.Context, now time.Time) {
	r := t.runner
	r.mu.Lock()
	for _, m := range r.member.RequiredMaps() {
		t.leader.AddKnownMap(m)
	}
	r.mu.Unlock()
	t.planner.tick(ctx, t, now)
	r.mu.Lock()
	actions := t.leader.Tick(now)
	renew := !t.renewing && now.After(t.renewAt) && now.Before(t.leaseUntil)
	t.renewing = t.renewing || renew
	r.mu.Unlock()
	for _, a := range actions {
		t.perform(ctx, a)
	}
	if renew {
		t.startCall(ctx, t.renew)
	}
}

// startCall starts a call that signals its end to the loop of run.
func (t *term) startCall(ctx context.Context, f func(context.Context)) {
	t.pendingCalls++
	timeout := t.runner.CallTimeout
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		f(callCtx)
		t.callDone <- struct{}{}
	}()
}

func (t *term) renew(ctx context.Context) {
	now := time.Now()
	until, err := t.runner.Lease.Renew(ctx, now)
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	t.renewing = false
	t.renewAt = now.Add(t.runner.LeaseTTL / 3)
	if err == nil {
		t.leaseUntil = until
		t.leader.ExtendLease(until)
	}
}

func (t *term) perform(ctx context.Context, a naming.Action) {
	switch a := a.(type) {
	case naming.Send:
		t.startCall(ctx, func(ctx context.Context) { t.send(ctx, a) })
	case naming.ReadRecord:
		t.startCall(ctx, t.readRecord)
	case naming.WriteRecord:
		t.startCall(ctx, func(ctx context.Context) { t.writeRecord(ctx, a) })
	}
}

func (t *term) send(ctx context.Context, a naming.Send) {
	r := t.runner
	var s naming.State
	var err error
	if a.To == r.Index {
		s, _ = r.handleOrder(a.Order, time.Now())
	} else {
		s, err = r.sendOrder(ctx, a.To, a.Order)
	}
	if err != nil {
		r.stats.peerFailures.Inc(1)
		return
	}
	r.mu.Lock()
	t.leader.HandleState(s, time.Now())
	r.mu.Unlock()
}

func (t *term) readRecord(ctx context.Context) {
	r := t.runner
	record, revision, err := r.Lease.Read(ctx)
	r.mu.Lock()
	t.leader.HandleRecord(record, revision, err == nil)
	r.mu.Unlock()
}

func (t *term) writeRecord(ctx context.Context, a naming.WriteRecord) {
	r := t.runner
	err := r.Lease.CAS(ctx, a.Revision, a.Record)
	r.mu.Lock()
	t.leader.HandleWritten(writeOutcome(err))
	r.mu.Unlock()
}
