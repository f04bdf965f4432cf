package evenmap

import (
	"slices"

	"github.com/rotisserie/eris"
)

// ErrInvalidPlacement is returned for lists that do not form a valid placement.
var ErrInvalidPlacement = eris.New("evenmap: lists do not form a valid placement")

// Shape holds the dimensions of a placement.
type Shape struct {
	// Ranks is the number of ranks, Slots the maximum number of experts that
	// one rank holds, and Experts the number of experts.
	Ranks, Slots, Experts int
}

// Placement assigns experts to ranks for one layer set.
type Placement struct {
	shape Shape
	// ranks lists the experts of each rank, holders the ranks of each expert.
	ranks, holders [][]int
}

// NewPlacement returns the placement in which rank r holds the experts
// ranks[r]. It returns ErrInvalidPlacement unless each expert is held, no rank
// holds an expert twice and none holds more experts than it has slots.
func NewPlacement(shape Shape, ranks [][]int) (*Placement, error) {
	if len(ranks) != shape.Ranks {
		return nil, eris.Wrapf(ErrInvalidPlacement, "%d lists of experts for %d ranks", len(ranks), shape.Ranks)
	}
	p := &Placement{shape: shape, ranks: make([][]int, shape.Ranks), holders: make([][]int, shape.Experts)}
	for r, experts := range ranks {
		if len(experts) > shape.Slots {
			return nil, eris.Wrapf(ErrInvalidPlacement, "rank %d holds %d experts, more than its slots", r, len(experts))
		}
		for _, e := range experts {
			if e < 0 || e >= shape.Experts || slices.Contains(p.ranks[r], e) {
				return nil, eris.Wrapf(ErrInvalidPlacement, "rank %d lists the unknown or repeated expert %d", r, e)
			}
			p.add(e, r)
		}
	}
	for e, hs := range p.holders {
		if len(hs) == 0 {
			return nil, eris.Wrapf(ErrInvalidPlacement, "no rank holds expert %d", e)
		}
	}
	return p, nil
}

// Ranks returns the experts of each rank. The caller must not modify them.
func (p *Placement) Ranks() [][]int { return p.ranks }

// Holds reports whether rank r holds expert e.
func (p *Placement) Holds(r, e int) bool { return slices.Contains(p.ranks[r], e) }

// Loads returns the load of each rank for the given load of each expert, which
// is split evenly over the expert's replicas. The unit is that of the argument.
func (p *Placement) Loads(load []float64) []float64 {
	out := make([]float64, p.shape.Ranks)
	for e, hs := range p.holders {
		for _, r := range hs {
			out[r] += load[e] / float64(len(hs))
		}
	}
	return out
}

// Skew returns the load of the most loaded rank divided by the mean load, or 1
// without load.
func (p *Placement) Skew(load []float64) float64 {
	highest, sum := 0.0, 0.0
	for _, v := range p.Loads(load) {
		highest = max(highest, v)
		sum += v
	}
	if sum == 0 {
		return 1
	}
	return highest * float64(p.shape.Ranks) / sum
}

// Copies returns for each rank how many experts it holds in p but not in from.
func (p *Placement) Copies(from *Placement) []int {
	out := make([]int, p.shape.Ranks)
	for r, experts := range p.ranks {
		for _, e := range experts {
			if !from.Holds(r, e) {
				out[r]++
			}
		}
	}
	return out
}

func (p *Placement) clone() *Placement {
	q := &Placement{shape: p.shape, ranks: make([][]int, len(p.ranks)), holders: make([][]int, len(p.holders))}
	for r := range p.ranks {
		q.ranks[r] = slices.Clone(p.ranks[r])
	}
	for e := range p.holders {
		q.holders[e] = slices.Clone(p.holders[e])
	}
	return q
}

func (p *Placement) add(e, r int) {
	p.ranks[r] = append(p.ranks[r], e)
	p.holders[e] = append(p.holders[e], r)
}

func (p *Placement) drop(e, r int) {
	p.ranks[r] = remove(p.ranks[r], e)
	p.holders[e] = remove(p.holders[e], r)
}

func remove(s []int, v int) []int {
	i := slices.Index(s, v)
	return slices.Delete(s, i, i+1)
}
