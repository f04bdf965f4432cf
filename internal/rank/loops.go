package rank

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// runEngine keeps the engine in the state that the member requires.
func (r *Runner) runEngine(ctx context.Context) error {
	for {
		r.syncEngine(ctx)
		r.reportChanges()
		if !pause.For(ctx, r.EngineInterval) {
			return nil
		}
	}
}

func (r *Runner) syncEngine(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	e, err := r.Engine.State(callCtx)
	if err != nil {
		r.stats.engineFailures.Inc(1)
		return
	}
	r.mu.Lock()
	orders := r.member.Tick(e)
	s := r.member.State()
	report := r.recordChanges()
	r.mu.Unlock()
	report()
	r.stats.lastStep.Update(int64(s.LastStep))
	r.stats.stepLimit.Update(int64(s.StepLimit))
	for _, o := range orders {
		if err := r.sendEngineOrder(callCtx, o, s.MaxToken); err != nil {
			r.stats.engineFailures.Inc(1)
			return
		}
	}
}

func (r *Runner) sendEngineOrder(ctx context.Context, o naming.EngineOrder, token uint64) error {
	switch o := o.(type) {
	case naming.EngineStage:
		err := r.Engine.Stage(ctx, o.Map, token)
		if err == nil {
			r.emit(Event{Kind: EventStaged, Number: o.Map.Version()})
		}
		return err
	case naming.EngineActivate:
		return r.Engine.Activate(ctx, o.Entry, o.Restart, token)
	case naming.EngineSetStepLimit:
		return r.Engine.SetStepLimit(ctx, o.Step, token)
	default:
		return nil
	}
}

// runJoin sends join requests to the peers while the member has not joined.
func (r *Runner) runJoin(ctx context.Context) error {
	for {
		r.mu.Lock()
		join, needed := r.member.JoinRequest()
		r.mu.Unlock()
		if needed {
			r.joinPeers(ctx, join)
			r.reportChanges()
		}
		if !pause.For(ctx, r.ResendInterval) {
			return nil
		}
	}
}

func (r *Runner) joinPeers(ctx context.Context, j naming.Join) {
	callCtx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	done := make(chan error, len(r.Peers))
	requests := 0
	for i := range r.Peers {
		if i == r.Index {
			continue
		}
		requests++
		go func() { done <- r.joinPeer(callCtx, i, j) }()
	}
	for range requests {
		if err := <-done; err != nil {
			r.stats.peerFailures.Inc(1)
		}
	}
}

func (r *Runner) joinPeer(ctx context.Context, peer int, j naming.Join) error {
	jr, err := r.requestJoin(ctx, peer, j)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.member.HandleJoinReply(jr)
	r.mu.Unlock()
	return nil
}

// electionTimeout returns how long this agent waits for a leader before it
// tries to acquire the lease. The timeouts are staggered by index, so that a
// group whose leader has failed costs the platform one call per LeaseTTL
// instead of one per agent.
func (r *Runner) electionTimeout() time.Duration {
	return r.LeaseTTL + time.Duration(r.Index)*r.ResendInterval
}
