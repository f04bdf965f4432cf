package rank

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// planner decides when the leader proposes a map, and which one.
type planner struct {
	runner     *Runner
	nextPlanAt time.Time
	// gathering reports whether a call that gathers counts and computes the
	// next map is in progress.
	gathering  bool
	popularity *expertmap.PopularityEstimator
}

// tick proposes the initial map to a group without a map, and starts a plan
// when one is due. No plan starts while a map change is pending or the members'
// maps differ.
func (p *planner) tick(ctx context.Context, t *term, now time.Time) {
	r := p.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.leader.AllMapsLost() {
		t.leader.Propose(r.Initial.WithVersion(nextVersion(t.leader.Token, r.Initial)))
		return
	}
	ref, ok := t.leader.CurrentMap()
	if !ok || p.gathering || r.PlanEvery <= 0 || now.Before(p.nextPlanAt) {
		return
	}
	current, ok := r.member.Map(ref)
	if !ok {
		return
	}
	p.gathering = true
	p.nextPlanAt = now.Add(r.PlanEvery)
	t.startCall(ctx, func(ctx context.Context) { p.planAndPropose(ctx, t, current) })
}

// versionsPerToken is the number of versions reserved for each token, so that
// versions of different leaders are distinct and increase with the token.
const versionsPerToken = 1 << 20

func nextVersion(token uint64, after *expertmap.Map) uint64 {
	return max(token*versionsPerToken, after.Version()) + 1
}

// planAndPropose gathers the counts of all members and proposes the next map.
func (p *planner) planAndPropose(ctx context.Context, t *term, current *expertmap.Map) {
	r := p.runner
	next, err := p.computeNext(ctx, current)
	r.mu.Lock()
	defer r.mu.Unlock()
	p.gathering = false
	if err != nil || next == nil {
		return
	}
	if ref, ok := t.leader.CurrentMap(); ok && ref == naming.RefOf(current) {
		t.leader.Propose(next.WithVersion(nextVersion(t.leader.Token, current)))
	}
}

// computeNext returns the next map, or nil when no change is worth its cost.
func (p *planner) computeNext(ctx context.Context, current *expertmap.Map) (*expertmap.Map, error) {
	r := p.runner
	counts, err := p.gather(ctx, current)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if p.popularity == nil || p.popularity.Layers() != current.Layers() {
		p.popularity = expertmap.NewPopularityEstimator(current.Layers(), current.Layer(0).Shape().Experts, r.PopularityWindow)
	}
	for i, c := range counts {
		if err := p.popularity.Observe(i, c, now); err != nil {
			return nil, err
		}
	}
	plan, err := expertmap.NewPlan(current, p.popularity, r.Limits, now)
	if err != nil {
		return nil, err
	}
	r.stats.skewBefore.Update(plan.SkewBefore())
	r.stats.skewPlanned.Update(plan.SkewAfter())
	if plan.Next() == current {
		return nil, nil
	}
	r.stats.plans.Inc(1)
	r.stats.moves.Inc(int64(len(plan.Moves())))
	return plan.Next(), nil
}

// memberCounts is the result of a request for the counts of one member.
type memberCounts struct {
	counts []ExpertLoad
	err    error
}

// gather returns the load of each expert in each layer, summed over all
// members. It fails if any member does not reply, because a sum without that
// member's part would look like a fall in the popularity of its experts.
func (p *planner) gather(ctx context.Context, current *expertmap.Map) ([][]float64, error) {
	r := p.runner
	done := make(chan memberCounts, len(r.Peers))
	for i := range r.Peers {
		go func() {
			c, err := r.fetchCounts(ctx, i)
			done <- memberCounts{counts: c, err: err}
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
		addCounts(sums, c.counts)
	}
	return sums, first
}

func addCounts(sums [][]float64, counts []ExpertLoad) {
	for _, c := range counts {
		if c.Layer >= 0 && c.Layer < len(sums) && c.Expert >= 0 && c.Expert < len(sums[c.Layer]) {
			sums[c.Layer][c.Expert] += c.Tokens
		}
	}
}
