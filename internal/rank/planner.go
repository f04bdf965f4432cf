package rank

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// planner says when a leader proposes which map.
type planner struct {
	runner *Runner
	next   time.Time
	// busy says that counts are being gathered.
	busy bool
	pop  *expertmap.Popularity
}

// step gives a group without a map its first one, and starts a plan when it is
// time. Nothing is planned while a name is on its way.
func (p *planner) step(ctx context.Context, t *term, now time.Time) {
	r := p.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.leader.Lost() {
		t.leader.Propose(r.Initial.WithVersion(version(t.leader.Token, r.Initial)))
		return
	}
	ref, ok := t.leader.Current()
	if !ok || p.busy || r.PlanEvery <= 0 || now.Before(p.next) {
		return
	}
	current, ok := r.member.Map(ref)
	if !ok {
		return
	}
	p.busy = true
	p.next = now.Add(r.PlanEvery)
	t.call(ctx, func(ctx context.Context) { p.plan(ctx, t, current) })
}

// versionsPerToken bounds the maps of one leader, so that versions of different
// leaders differ and grow.
const versionsPerToken = 1 << 20

func version(token uint64, after *expertmap.Map) uint64 {
	return max(token*versionsPerToken, after.Version()) + 1
}

// plan gathers the counts of all members and proposes the next map.
func (p *planner) plan(ctx context.Context, t *term, current *expertmap.Map) {
	r := p.runner
	next, err := p.propose(ctx, current)
	r.mu.Lock()
	defer r.mu.Unlock()
	p.busy = false
	if err != nil || next == nil {
		return
	}
	if ref, ok := t.leader.Current(); ok && ref == naming.RefOf(current) {
		t.leader.Propose(next.WithVersion(version(t.leader.Token, current)))
	}
}

// propose returns the next map, or nil when nothing is worth a change.
func (p *planner) propose(ctx context.Context, current *expertmap.Map) (*expertmap.Map, error) {
	r := p.runner
	counts, err := p.gather(ctx, current)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if p.pop == nil || p.pop.Layers() != current.Layers() {
		p.pop = expertmap.NewPopularity(current.Layers(), current.Layer(0).Shape().Experts, r.Memory)
	}
	for i, c := range counts {
		if err := p.pop.Observe(i, c, now); err != nil {
			return nil, err
		}
	}
	plan, err := expertmap.NewPlan(current, p.pop, r.Limits, now)
	if err != nil {
		return nil, err
	}
	r.counts.skewBefore.Update(plan.Before())
	r.counts.skew.Update(plan.After())
	if plan.Next() == current {
		return nil, nil
	}
	r.counts.plans.Inc(1)
	r.counts.moves.Inc(int64(len(plan.Moves())))
	return plan.Next(), nil
}

// reported is the counts of one member.
type reported struct {
	counts []Count
	err    error
}

// gather returns the load of each expert in each layer, summed over all
// members. A member that does not answer makes it fail, because a sum without
// its part would look like a fall of its experts' popularity.
func (p *planner) gather(ctx context.Context, current *expertmap.Map) ([][]float64, error) {
	r := p.runner
	done := make(chan reported, len(r.Peers))
	for i := range r.Peers {
		go func() {
			c, err := r.count(ctx, i)
			done <- reported{counts: c, err: err}
		}()
	}
	sums := make([][]float64, current.Layers())
	for i := range sums {
		sums[i] = make([]float64, current.Layer(i).Shape().Experts)
	}
	var first error
	for range r.Peers {
		c := <-done
		if c.err != nil && first == nil {
			first = c.err
		}
		add(sums, c.counts)
	}
	return sums, first
}

func add(sums [][]float64, counts []Count) {
	for _, c := range counts {
		if c.Layer >= 0 && c.Layer < len(sums) && c.Expert >= 0 && c.Expert < len(sums[c.Layer]) {
			sums[c.Layer][c.Expert] += c.Tokens
		}
	}
}
