package skewtable

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

// run is one case while it is measured. The maps in force are those that were
// planned an interval ago.
type run struct {
	of      Case
	drift   *drift
	tokens  float64
	planned keeper
	full    keeper
	static  *expertmap.Layer
	skews   struct{ static, full, planned, floor, bound []float64 }
}

// keeper is one way of keeping a map: what is in force and what comes next.
type keeper struct {
	now, next *expertmap.Layer
	moves     int
}

func (k *keeper) take(l *expertmap.Layer) {
	k.now = k.next
	k.next = l
	k.moves += l.Moves(k.now)
}

// Run measures one case.
func Run(c Case) (Row, error) {
	r := &run{
		of:     c,
		drift:  newDrift(c.Shape.Experts, c.Correlation, c.Seed),
		tokens: float64(c.Shape.Ranks * tokensPerRank * expertsPerToken),
	}
	if err := r.start(); err != nil {
		return Row{}, err
	}
	pop := expertmap.NewPopularity(1, c.Shape.Experts, memory)
	now := time.Unix(0, 0)
	for range intervals {
		now = now.Add(interval)
		counts, err := r.interval()
		if err != nil {
			return Row{}, err
		}
		if err := pop.Observe(0, counts, now); err != nil {
			return Row{}, err
		}
		if err := r.plan(counts, pop, now); err != nil {
			return Row{}, err
		}
	}
	return r.row(), nil
}

// memory is how far back the estimate of popularity reaches. An interval has
// hundreds of steps, so its own counts are exact enough to need no older ones.
const memory = interval / 10

// start lets all ways begin with the full solution for the first popularity,
// but for the static one.
func (r *run) start() error {
	var err error
	if r.static, err = expertmap.Contiguous(r.of.Shape); err != nil {
		return err
	}
	first, err := expertmap.Solve(r.of.Shape, r.drift.expected(r.tokens), expertmap.Risk{})
	if err != nil {
		return err
	}
	r.planned = keeper{now: first, next: first}
	r.full = keeper{now: first, next: first}
	return nil
}

// interval measures some steps of one interval and returns its mean counts.
func (r *run) interval() ([]float64, error) {
	sum := make([]float64, r.of.Shape.Experts)
	for range stepsMeasured {
		r.drift.advance(interval / stepsMeasured)
		expected := r.drift.expected(r.tokens)
		if err := r.step(expected, r.drift.draw(expected, 1)); err != nil {
			return nil, err
		}
		for e, v := range r.drift.draw(expected, stepsPerInterval/stepsMeasured) {
			sum[e] += v / stepsMeasured
		}
	}
	return sum, nil
}

func (r *run) step(expected, drawn []float64) error {
	known, err := expertmap.Solve(r.of.Shape, expected, expertmap.Risk{Draw: true})
	if err != nil {
		return err
	}
	s := &r.skews
	s.static = append(s.static, expertmap.Skew(r.static, drawn))
	s.full = append(s.full, expertmap.Skew(r.full.now, drawn))
	s.planned = append(s.planned, expertmap.Skew(r.planned.now, drawn))
	s.floor = append(s.floor, expertmap.Skew(known, drawn))
	s.bound = append(s.bound, expertmap.LowerBound(drawn, r.of.Shape))
	return nil
}

func (r *run) plan(counts []float64, pop *expertmap.Popularity, now time.Time) error {
	full, err := expertmap.Solve(r.of.Shape, counts, expertmap.Risk{})
	if err != nil {
		return err
	}
	r.full.take(full)
	current, err := expertmap.NewMap(1, []*expertmap.Layer{r.planned.next})
	if err != nil {
		return err
	}
	plan, err := expertmap.NewPlan(current, pop, Limits(), now)
	if err != nil {
		return err
	}
	r.planned.take(plan.Next().Layer(0))
	return nil
}

func (r *run) row() Row {
	return Row{
		of:      r.of,
		static:  summary(r.skews.static, 0),
		full:    summary(r.skews.full, r.full.moves),
		planned: summary(r.skews.planned, r.planned.moves),
		floor:   summary(r.skews.floor, 0),
		bound:   summary(r.skews.bound, 0),
	}
}
