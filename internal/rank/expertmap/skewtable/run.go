package skewtable

import (
	"math"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

// simulation is the state of one case while it runs.
type simulation struct {
	params Case
	drift  *drift
	// tokens is the number of token assignments of all ranks in a step.
	tokens      float64
	planned     rollout
	fromScratch rollout
	static      *expertmap.Layer
	// skews holds the skew of each measured step.
	skews struct{ static, fromScratch, planned, known, bound []float64 }
}

// rollout tracks the layers of one strategy: the active one, and those that are
// planned but not yet active.
type rollout struct {
	active  *expertmap.Layer
	pending []pendingLayer
	moves   int
}

// pendingLayer is a layer that becomes active after stepsLeft more measured
// steps.
type pendingLayer struct {
	layer     *expertmap.Layer
	stepsLeft int
}

// latest returns the layer that was planned last.
func (r *rollout) latest() *expertmap.Layer {
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].layer
	}
	return r.active
}

// schedule plans l, which becomes active after the given number of measured
// steps, but not before the layers that are already pending.
func (r *rollout) schedule(l *expertmap.Layer, steps int) {
	r.moves += l.Moves(r.latest())
	r.pending = append(r.pending, pendingLayer{layer: l, stepsLeft: steps})
}

// advance counts down one measured step and activates the layers that are due.
func (r *rollout) advance() {
	for i := range r.pending {
		r.pending[i].stepsLeft--
	}
	for len(r.pending) > 0 && r.pending[0].stepsLeft < 0 {
		r.active = r.pending[0].layer
		r.pending = r.pending[1:]
	}
}

// activationSteps returns the number of measured steps until a map with the
// given number of moves is active: one for the messages, and the time for
// loading the weights.
func (c Case) activationSteps(moves int) int {
	l := c.Limits()
	load := float64(moves) * float64(l.ExpertBytes) / float64(l.StoreBandwidth)
	return 1 + int(math.Ceil(load/(c.Interval.Seconds()/stepsMeasured)))
}

// Run simulates one case.
func Run(c Case) (Row, error) {
	sim := &simulation{
		params: c,
		drift:  newDrift(c.Shape.Experts, c.CorrelationTime, c.Seed),
		tokens: float64(c.Shape.Ranks * tokensPerRank * expertsPerToken),
	}
	if err := sim.initMaps(); err != nil {
		return Row{}, err
	}
	pop := expertmap.NewPopularityEstimator(1, c.Shape.Experts, c.Interval/tauDivisor)
	now := time.Unix(0, 0)
	for i := range c.Intervals {
		if i%knownPeriod == 0 {
			if err := sim.measureKnown(); err != nil {
				return Row{}, err
			}
		}
		now = now.Add(c.Interval)
		counts := sim.measureInterval()
		if err := pop.Observe(0, counts, now); err != nil {
			return Row{}, err
		}
		if err := sim.replan(counts, pop, now); err != nil {
			return Row{}, err
		}
	}
	return sim.row(), nil
}

// tauDivisor is the interval divided by the time constant of the popularity
// estimate. An interval has at least 100 steps, so its own counts are accurate
// enough to need no older ones.
const tauDivisor = 10

// initMaps starts the static strategy with the contiguous layer and all others
// with a solution from scratch for the initial popularity.
func (sim *simulation) initMaps() error {
	var err error
	if sim.static, err = expertmap.NewContiguousLayer(sim.params.Shape); err != nil {
		return err
	}
	first, err := expertmap.Solve(sim.params.Shape, sim.drift.expected(sim.tokens), expertmap.LoadVariance{})
	if err != nil {
		return err
	}
	sim.planned = rollout{active: first}
	sim.fromScratch = rollout{active: first}
	return nil
}

// measureInterval measures stepsMeasured steps at equal distances in one
// interval and returns the mean counts of its last part.
func (sim *simulation) measureInterval() []float64 {
	var counts []float64
	steps := float64(sim.params.Interval/stepTime) / stepsMeasured
	for range stepsMeasured {
		sim.drift.advance(sim.params.Interval / stepsMeasured)
		expected := sim.drift.expected(sim.tokens)
		sim.recordStep(sim.drift.sampleMeans(expected, 1))
		counts = sim.drift.sampleMeans(expected, steps)
	}
	return counts
}

// recordStep records the skew of each strategy for the counts of one step.
func (sim *simulation) recordStep(counts []float64) {
	s := &sim.skews
	sim.fromScratch.advance()
	sim.planned.advance()
	s.static = append(s.static, expertmap.Skew(sim.static, counts))
	s.fromScratch = append(s.fromScratch, expertmap.Skew(sim.fromScratch.active, counts))
	s.planned = append(s.planned, expertmap.Skew(sim.planned.active, counts))
	s.bound = append(s.bound, expertmap.LowerBound(counts, sim.params.Shape))
}

// measureKnown records the skew of a layer optimized for the exact popularity
// that its steps are sampled from.
func (sim *simulation) measureKnown() error {
	const maxMoves, samples = 32, 16
	expected := sim.drift.expected(sim.tokens)
	variance := expertmap.LoadVariance{Poisson: true}
	first, err := expertmap.Solve(sim.params.Shape, expected, variance)
	if err != nil {
		return err
	}
	known, err := expertmap.Improve(first, expected, variance, maxMoves, 0, 0)
	if err != nil {
		return err
	}
	for range samples {
		counts := sim.drift.sampleMeans(expected, 1)
		sim.skews.known = append(sim.skews.known, expertmap.Skew(known.Layer(), counts))
	}
	return nil
}

// replan schedules the next layers of the strategies fromScratch and planned.
func (sim *simulation) replan(counts []float64, pop *expertmap.PopularityEstimator, now time.Time) error {
	fromScratch, err := expertmap.Solve(sim.params.Shape, counts, expertmap.LoadVariance{})
	if err != nil {
		return err
	}
	sim.fromScratch.schedule(fromScratch, stepsMeasured)
	current, err := expertmap.NewMap(1, []*expertmap.Layer{sim.planned.latest()})
	if err != nil {
		return err
	}
	plan, err := expertmap.NewPlan(current, pop, sim.params.Limits(), now)
	if err != nil {
		return err
	}
	sim.planned.schedule(plan.Next().Layer(0), sim.params.activationSteps(len(plan.Moves())))
	return nil
}

func (sim *simulation) row() Row {
	return Row{
		params:      sim.params,
		static:      summarize(sim.skews.static, 0),
		fromScratch: summarize(sim.skews.fromScratch, sim.fromScratch.moves),
		planned:     summarize(sim.skews.planned, sim.planned.moves),
		known:       summarize(sim.skews.known, 0),
		bound:       summarize(sim.skews.bound, 0),
	}
}
