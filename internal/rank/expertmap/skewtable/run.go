package skewtable

import (
	"math"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

// run is one case while it is measured.
type run struct {
	of      Case
	drift   *drift
	tokens  float64
	planned keeper
	full    keeper
	static  *expertmap.Layer
	skews   struct{ static, full, planned, known, bound []float64 }
}

// keeper is one way of keeping a map: what is in force and what is on its way.
type keeper struct {
	now     *expertmap.Layer
	pending []staged
	moves   int
}

// staged is a layer that is in force after some more measured steps.
type staged struct {
	layer *expertmap.Layer
	wait  int
}

// newest returns the layer planned last.
func (k *keeper) newest() *expertmap.Layer {
	if n := len(k.pending); n > 0 {
		return k.pending[n-1].layer
	}
	return k.now
}

// take plans l. It takes force after wait measured steps, and not before the
// layers that are on their way.
func (k *keeper) take(l *expertmap.Layer, wait int) {
	k.moves += l.Moves(k.newest())
	k.pending = append(k.pending, staged{layer: l, wait: wait})
}

// step brings the layers into force whose time has come.
func (k *keeper) step() {
	for i := range k.pending {
		k.pending[i].wait--
	}
	for len(k.pending) > 0 && k.pending[0].wait < 0 {
		k.now = k.pending[0].layer
		k.pending = k.pending[1:]
	}
}

// staging returns how many measured steps pass until a map with that many moves
// is in force: one for the messages, and the time in which the weights load.
func (c Case) staging(moves int) int {
	l := c.Limits()
	load := float64(moves) * float64(l.ExpertBytes) / float64(l.StoreRate)
	return 1 + int(math.Ceil(load/(c.Interval.Seconds()/stepsMeasured)))
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
	pop := expertmap.NewPopularity(1, c.Shape.Experts, c.Interval/memory)
	now := time.Unix(0, 0)
	for i := range c.Intervals {
		if i%knownEvery == 0 {
			if err := r.know(); err != nil {
				return Row{}, err
			}
		}
		now = now.Add(c.Interval)
		counts := r.interval()
		if err := pop.Observe(0, counts, now); err != nil {
			return Row{}, err
		}
		if err := r.plan(counts, pop, now); err != nil {
			return Row{}, err
		}
	}
	return r.row(), nil
}

// memory is the interval over how far back the estimate of popularity reaches. An interval has
// hundreds of steps, so its own counts are exact enough to need no older ones.
const memory = 10

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
	r.planned = keeper{now: first}
	r.full = keeper{now: first}
	return nil
}

// interval measures some steps of one interval and returns the mean counts of
// its last part.
func (r *run) interval() []float64 {
	var counts []float64
	steps := float64(r.of.Interval/stepTime) / stepsMeasured
	for range stepsMeasured {
		r.drift.advance(r.of.Interval / stepsMeasured)
		expected := r.drift.expected(r.tokens)
		r.step(r.drift.draw(expected, 1))
		counts = r.drift.draw(expected, steps)
	}
	return counts
}

func (r *run) step(drawn []float64) {
	s := &r.skews
	r.full.step()
	r.planned.step()
	s.static = append(s.static, expertmap.Skew(r.static, drawn))
	s.full = append(s.full, expertmap.Skew(r.full.now, drawn))
	s.planned = append(s.planned, expertmap.Skew(r.planned.now, drawn))
	s.bound = append(s.bound, expertmap.LowerBound(drawn, r.of.Shape))
}

// know measures a layer that is made for the very popularity its steps are
// drawn from.
func (r *run) know() error {
	const moves, draws = 32, 16
	expected := r.drift.expected(r.tokens)
	risk := expertmap.Risk{Draw: true}
	first, err := expertmap.Solve(r.of.Shape, expected, risk)
	if err != nil {
		return err
	}
	known, err := expertmap.Improve(first, expected, risk, moves, 0, 0)
	if err != nil {
		return err
	}
	for range draws {
		drawn := r.drift.draw(expected, 1)
		r.skews.known = append(r.skews.known, expertmap.Skew(known.Layer(), drawn))
	}
	return nil
}

func (r *run) plan(counts []float64, pop *expertmap.Popularity, now time.Time) error {
	full, err := expertmap.Solve(r.of.Shape, counts, expertmap.Risk{})
	if err != nil {
		return err
	}
	r.full.take(full, stepsMeasured)
	current, err := expertmap.NewMap(1, []*expertmap.Layer{r.planned.newest()})
	if err != nil {
		return err
	}
	plan, err := expertmap.NewPlan(current, pop, r.of.Limits(), now)
	if err != nil {
		return err
	}
	r.planned.take(plan.Next().Layer(0), r.of.staging(len(plan.Moves())))
	return nil
}

func (r *run) row() Row {
	return Row{
		of:      r.of,
		static:  summary(r.skews.static, 0),
		full:    summary(r.skews.full, r.full.moves),
		planned: summary(r.skews.planned, r.planned.moves),
		known:   summary(r.skews.known, 0),
		bound:   summary(r.skews.bound, 0),
	}
}
