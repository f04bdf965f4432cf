package evenmap

import (
	"cmp"
	"math"
	"slices"
)

// set is one set in the search.
type set struct {
	p     *Placement
	load  []float64
	ranks []float64
	// slow multiplies the loads of ranks.
	slow []float64
	mean float64
	// powers is the sum of the powers of the ranks' loads, and value the
	// objective that follows from it.
	powers float64
	value  float64
	spent  []int
	// scratch serves one trial at a time.
	scratch trial
}

func newSet(p *Placement, load, slow []float64) *set {
	s := &set{p: p, load: load, slow: slow, spent: make([]int, p.shape.Ranks)}
	if slow == nil {
		s.slow = slices.Repeat([]float64{1}, p.shape.Ranks)
	}
	for _, v := range p.Loads(load) {
		s.mean += v / float64(p.shape.Ranks)
	}
	s.measure()
	return s
}

// measure takes the ranks' loads anew from the placement.
func (s *set) measure() {
	s.ranks = s.p.Loads(s.load)
	s.powers = 0
	if s.mean <= 0 {
		return
	}
	for r := range s.ranks {
		s.ranks[r] *= s.slow[r]
		s.powers += s.power(s.ranks[r])
	}
	s.value = objective(s.powers)
}

// skew returns the time of the slowest rank over the mean load.
func (s *set) skew() float64 {
	if s.mean <= 0 {
		return 1
	}
	return slices.Max(s.ranks) / s.mean
}

// power is one rank's part of the objective.
func (s *set) power(load float64) float64 {
	x := load / s.mean
	x2 := x * x
	x4 := x2 * x2
	return x4 * x4 * x4
}

// objective is the norm of the loads over their mean, from the sum of powers.
func objective(powers float64) float64 { return math.Pow(max(0, powers), 1.0/norm) }

// byLoad returns the ranks, the most loaded first.
func (s *set) byLoad() []int {
	order := make([]int, len(s.ranks))
	for r := range order {
		order[r] = r
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.ranks[b], s.ranks[a]) })
	return order
}
