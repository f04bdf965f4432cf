package expertmap

import "sort"

// Solve returns a layer for the given loads that is built from nothing, with
// shares that allow for the given risk. The length of load must be shape.Experts; it returns ErrShape for impossible
// sizes and ErrObservation for loads that are negative or not finite.
//
// Redundant slots go one after the other to the expert whose replicas are
// loaded most. Replicas are then placed heaviest first on the rank that is
// loaded least and has a slot (longest processing time first, Graham 1969),
// and shares are balanced.
func Solve(shape Shape, load []float64, risk Risk) (*Layer, error) {
	if err := shape.check(); err != nil {
		return nil, err
	}
	if err := checkLoads(shape, load); err != nil {
		return nil, err
	}
	p := newPlacement(shape, load, risk)
	p.fill(replicate(shape, load))
	p.balance(maxSweeps, levelError)
	return p.layer(), nil
}

// replicate returns the number of replicas of each expert.
func replicate(shape Shape, load []float64) []int {
	n := make([]int, shape.Experts)
	for e := range n {
		n[e] = 1
	}
	for spare := shape.Ranks*shape.Slots - shape.Experts; spare > 0; spare-- {
		best := none
		for e := range n {
			if n[e] < shape.Ranks && (best == none || load[e]*float64(n[best]) > load[best]*float64(n[e])) {
				best = e
			}
		}
		if best == none {
			break
		}
		n[best]++
	}
	return n
}

// fill places the replicas. A replica for which no rank is left that doesn't
// hold its expert yet is left out, unless it is the expert's only one.
func (p *placement) fill(n []int) {
	order := make([]int, p.shape.Experts)
	for e := range order {
		order[e] = e
	}
	each := func(e int) float64 { return p.load[e] / float64(n[e]) }
	sort.SliceStable(order, func(i, j int) bool { return each(order[i]) > each(order[j]) })
	first := append([]int(nil), order...)
	used := make([]int, p.shape.Ranks)
	reserved := p.shape.Experts
	free := p.shape.Ranks * p.shape.Slots
	for _, e := range first {
		reserved--
		for i := range n[e] {
			if i > 0 && free <= reserved {
				break
			}
			if r := p.emptiest(e, used); r != none {
				slot := r*p.shape.Slots + used[r]
				used[r]++
				free--
				p.put(slot, e)
				p.setPart(slot, each(e))
			}
		}
	}
	for e := range n {
		p.spread(e)
	}
}

// spread gives the replicas of an expert equal parts of its load.
func (p *placement) spread(e int) {
	for _, s := range p.replicas[e] {
		p.setPart(s, p.load[e]/float64(len(p.replicas[e])))
	}
}

// emptiest returns the rank with the least load that has a slot and does not
// hold e, or none.
func (p *placement) emptiest(e int, used []int) int {
	best := none
	for r, v := range p.ranks {
		if used[r] == p.shape.Slots || p.holds(r, e) {
			continue
		}
		if best == none || v < p.ranks[best] {
			best = r
		}
	}
	return best
}
