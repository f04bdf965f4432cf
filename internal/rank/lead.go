package rank

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// term is the time that this agent leads under one token.
type term struct {
	runner *Runner
	leader *naming.Leader
	// calls counts calls under way, each of which reports its end on done.
	calls int
	done  chan struct{}
	plans planner
	// The lease's end, when it is renewed next and whether a call for that is
	// under way; guarded by the runner's mu.
	until, renewAt time.Time
	renews         bool
}

// runLeader tries for the lease when no leader is heard of, and leads while it
// has it.
func (r *Runner) runLeader(ctx context.Context) error {
	r.mu.Lock()
	r.heard = time.Now()
	r.mu.Unlock()
	for pause.For(ctx, r.Resend) {
		r.mu.Lock()
		quiet := time.Since(r.heard)
		r.mu.Unlock()
		if quiet < r.silence() {
			continue
		}
		t := r.acquire(ctx)
		if t == nil {
			r.mu.Lock()
			r.heard = time.Now()
			r.mu.Unlock()
			continue
		}
		t.run(ctx)
	}
	return nil
}

// acquire tries for the lease and returns nil when it can't be had.
func (r *Runner) acquire(ctx context.Context) *term {
	call, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	token, until, err := r.Lease.Acquire(call, time.Now())
	if err != nil {
		return nil
	}
	l := &naming.Leader{
		Members: len(r.Peers), Token: token, Resend: r.Resend, Refresh: r.Refresh,
		HoldTime: r.HoldTime, Margin: r.Lookahead,
	}
	l.Extend(until)
	r.leads.Store(true)
	r.counts.leads.Inc(1)
	r.emit(Event{Kind: EventLead, Number: token})
	return &term{
		runner: r, leader: l, until: until, done: make(chan struct{}, 1),
		renewAt: time.Now().Add(r.LeaseTime / 3),
		plans:   planner{runner: r, next: time.Now().Add(r.PlanEvery)},
	}
}

// run leads until a newer leader is seen or ctx ends. A leader whose lease has
// lapsed goes on with the name at hand but starts no new one, and takes the
// lease anew under a new token when it is free.
func (t *term) run(ctx context.Context) {
	r := t.runner
	ctx, cancel := context.WithCancel(ctx)
	ticker := time.NewTicker(max(r.Resend/4, time.Millisecond))
	defer ticker.Stop()
	for ctx.Err() == nil && !t.over(time.Now()) {
		t.step(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-t.done:
			t.calls--
		}
	}
	cancel()
	for ; t.calls > 0; t.calls-- {
		<-t.done
	}
	r.leads.Store(false)
	r.counts.deposed.Inc(1)
	r.emit(Event{Kind: EventDeposed, Number: t.leader.Token})
}

// over reports whether the term has ended: another leader has been seen, or the
// lease has lapsed with nothing left to finish.
func (t *term) over(now time.Time) bool {
	r := t.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.leader.Deposed() || now.After(t.until) && t.leader.Settled()
}

func (t *term) step(ctx context.Context, now time.Time) {
	r := t.runner
	r.mu.Lock()
	for _, m := range r.member.Needed() {
		t.leader.Learn(m)
	}
	r.mu.Unlock()
	t.plans.step(ctx, t, now)
	r.mu.Lock()
	actions := t.leader.Step(now)
	renew := !t.renews && now.After(t.renewAt) && now.Before(t.until)
	t.renews = t.renews || renew
	r.mu.Unlock()
	for _, a := range actions {
		t.act(ctx, a)
	}
	if renew {
		t.call(ctx, t.renew)
	}
}

// call starts a call that reports its end to the loop of run.
func (t *term) call(ctx context.Context, f func(context.Context)) {
	t.calls++
	limit := t.runner.CallTimeout
	go func() {
		c, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		f(c)
		t.done <- struct{}{}
	}()
}

func (t *term) renew(ctx context.Context) {
	now := time.Now()
	until, err := t.runner.Lease.Renew(ctx, now)
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	t.renews = false
	t.renewAt = now.Add(t.runner.LeaseTime / 3)
	if err == nil {
		t.until = until
		t.leader.Extend(until)
	}
}

func (t *term) act(ctx context.Context, a naming.Action) {
	switch a := a.(type) {
	case naming.Send:
		t.call(ctx, func(ctx context.Context) { t.send(ctx, a) })
	case naming.ReadRecord:
		t.call(ctx, t.read)
	case naming.WriteRecord:
		t.call(ctx, func(ctx context.Context) { t.write(ctx, a) })
	}
}

func (t *term) send(ctx context.Context, a naming.Send) {
	r := t.runner
	var s naming.State
	var err error
	if a.To == r.Index {
		s, _ = r.give(a.Order, time.Now())
	} else {
		s, err = r.order(ctx, a.To, a.Order)
	}
	if err != nil {
		r.counts.peerFailed.Inc(1)
		return
	}
	r.mu.Lock()
	t.leader.HandleState(s, time.Now())
	r.mu.Unlock()
}

func (t *term) read(ctx context.Context) {
	r := t.runner
	record, revision, err := r.Lease.Read(ctx)
	r.mu.Lock()
	t.leader.HandleRecord(record, revision, err == nil)
	r.mu.Unlock()
}

func (t *term) write(ctx context.Context, a naming.WriteRecord) {
	r := t.runner
	err := r.Lease.CAS(ctx, a.Revision, a.Record)
	r.mu.Lock()
	t.leader.HandleWritten(outcomeOf(err))
	r.mu.Unlock()
}
