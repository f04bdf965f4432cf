package evenmap

import (
	"cmp"
	"math"
	"slices"
)

// setState is the search state of one layer set.
type setState struct {
	p         *Placement
	load      []float64
	rankLoads []float64
	// slowdown is the factor by which the load of each rank is multiplied.
	slowdown []float64
	mean     float64
	// powerSum is the sum over the ranks of their load over the mean, raised to
	// normExponent. objective is the norm computed from it.
	powerSum  float64
	objective float64
	// copied is how many experts of this set each rank copies.
	copied []int
	// scratch is the memory of the trial in progress. There is one at a time.
	scratch trial
}

func newSetState(p *Placement, load, slowdown []float64) *setState {
	s := &setState{p: p, load: load, slowdown: slowdown, copied: make([]int, p.shape.Ranks)}
	if slowdown == nil {
		s.slowdown = slices.Repeat([]float64{1}, p.shape.Ranks)
	}
	for _, v := range p.Loads(load) {
		s.mean += v / float64(p.shape.Ranks)
	}
	s.recompute()
	return s
}

// recompute sets the rank loads and the objective from the placement.
func (s *setState) recompute() {
	s.rankLoads = s.p.Loads(s.load)
	s.powerSum = 0
	if s.mean <= 0 {
		return
	}
	for r := range s.rankLoads {
		s.rankLoads[r] *= s.slowdown[r]
		s.powerSum += s.power(s.rankLoads[r])
	}
	s.objective = loadNorm(s.powerSum)
}

// skew returns the load of the slowest rank, slowdown included, over the mean
// load without slowdown.
func (s *setState) skew() float64 {
	if s.mean <= 0 {
		return 1
	}
	return slices.Max(s.rankLoads) / s.mean
}

// power returns the term of one rank in powerSum: its load over the mean load,
// raised to normExponent.
func (s *setState) power(load float64) float64 {
	x := load / s.mean
	x2 := x * x
	x4 := x2 * x2
	return x4 * x4 * x4
}

// loadNorm returns the norm of the loads over their mean, given the sum of
// powers.
func loadNorm(powerSum float64) float64 { return math.Pow(max(0, powerSum), 1.0/normExponent) }

// ranksByLoad returns the ranks in decreasing order of load.
func (s *setState) ranksByLoad() []int {
	order := make([]int, len(s.rankLoads))
	for r := range order {
		order[r] = r
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.rankLoads[b], s.rankLoads[a]) })
	return order
}
