package rank

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// runEngine keeps the engine at what the member wants.
func (r *Runner) runEngine(ctx context.Context) error {
	for {
		r.tickEngine(ctx)
		r.observe()
		if !pause.For(ctx, r.Tick) {
			return nil
		}
	}
}

func (r *Runner) tickEngine(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	e, err := r.Engine.State(call)
	if err != nil {
		r.counts.failed.Inc(1)
		return
	}
	r.mu.Lock()
	orders := r.member.Tick(e)
	s := r.member.State()
	tell := r.changes()
	r.mu.Unlock()
	tell()
	r.counts.begun.Update(int64(s.Begun))
	r.counts.granted.Update(int64(s.Granted))
	for _, o := range orders {
		if err := r.orderEngine(call, o, s.Fence); err != nil {
			r.counts.failed.Inc(1)
			return
		}
	}
}

func (r *Runner) orderEngine(ctx context.Context, o naming.EngineOrder, fencing uint64) error {
	switch o := o.(type) {
	case naming.EngineStage:
		err := r.Engine.Stage(ctx, o.Map, fencing)
		if err == nil {
			r.emit(Event{Kind: EventStaged, Number: o.Map.Version()})
		}
		return err
	case naming.EngineActivate:
		return r.Engine.Activate(ctx, o.Entry, o.Restart, fencing)
	case naming.EngineAllow:
		return r.Engine.Allow(ctx, o.Step, fencing)
	default:
		return nil
	}
}

// runJoin asks the peers while the member has not joined.
func (r *Runner) runJoin(ctx context.Context) error {
	for {
		r.mu.Lock()
		j, ask := r.member.Joins()
		r.mu.Unlock()
		if ask {
			r.askPeers(ctx, j)
			r.observe()
		}
		if !pause.For(ctx, r.Resend) {
			return nil
		}
	}
}

func (r *Runner) askPeers(ctx context.Context, j naming.Join) {
	call, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	done := make(chan error, len(r.Peers))
	asked := 0
	for i := range r.Peers {
		if i == r.Index {
			continue
		}
		asked++
		go func() { done <- r.joinAt(call, i, j) }()
	}
	for range asked {
		if err := <-done; err != nil {
			r.counts.peerFailed.Inc(1)
		}
	}
}

func (r *Runner) joinAt(ctx context.Context, of int, j naming.Join) error {
	a, err := r.askJoin(ctx, of, j)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.member.HandleJoining(a)
	r.mu.Unlock()
	return nil
}

// silence returns how long this agent waits for a leader before it tries for
// the lease. Agents wait one after the other, so that a group whose leader is
// gone costs the platform one call each LeaseTime and not one for each agent.
func (r *Runner) silence() time.Duration {
	return r.LeaseTime + time.Duration(r.Index)*r.Resend
}
