package expertmap

import "sort"

// Solve computes a layer for the given loads from scratch, with shares
// optimized for the given variance. The length of load must be shape.Experts.
// Solve returns ErrInvalidShape if the dimensions are impossible, and
// ErrInvalidLoad if the length of load is wrong or a load is negative or not
// finite.
//
// Each redundant slot goes to the expert with the highest load per replica at
// that point. Replicas are then placed in descending order of load, each on the
// rank with the lowest load that has a free slot and does not hold the expert
// (longest processing time first, Graham 1969). Finally the shares are
// balanced.
func Solve(shape Shape, load []float64, variance LoadVariance) (*Layer, error) {
	if err := shape.check(); err != nil {
		return nil, err
	}
	if err := checkLoads(shape, load); err != nil {
		return nil, err
	}
	p := newPlacement(shape, load, variance)
	p.placeReplicas(replicaCounts(shape, load))
	p.balance(maxSweeps, balanceTolerance)
	return p.buildLayer(), nil
}

// replicaCounts returns the number of replicas for each expert.
func replicaCounts(shape Shape, load []float64) []int {
	counts := make([]int, shape.Experts)
	for e := range counts {
		counts[e] = 1
	}
	for redundant := shape.Ranks*shape.Slots - shape.Experts; redundant > 0; redundant-- {
		best := none
		for e := range counts {
			if counts[e] < shape.Ranks && (best == none || load[e]*float64(counts[best]) > load[best]*float64(counts[e])) {
				best = e
			}
		}
		if best == none {
			break
		}
		counts[best]++
	}
	return counts
}

// placeReplicas places the given number of replicas of each expert. Every
// expert gets its first replica. Another replica is left out if all ranks with
// a free slot already hold the expert, or if the free slots are needed for the
// first replicas of other experts.
func (p *placement) placeReplicas(counts []int) {
	order := make([]int, p.shape.Experts)
	for e := range order {
		order[e] = e
	}
	loadPerReplica := func(e int) float64 { return p.expertLoad[e] / float64(counts[e]) }
	sort.SliceStable(order, func(i, j int) bool { return loadPerReplica(order[i]) > loadPerReplica(order[j]) })
	byLoad := append([]int(nil), order...)
	used := make([]int, p.shape.Ranks)
	reserved := p.shape.Experts
	free := p.shape.Ranks * p.shape.Slots
	for _, e := range byLoad {
		reserved--
		for i := range counts[e] {
			if i > 0 && free <= reserved {
				break
			}
			if r := p.leastLoadedRank(e, used); r != none {
				slot := r*p.shape.Slots + used[r]
				used[r]++
				free--
				p.addReplica(slot, e)
				p.setSlotLoad(slot, loadPerReplica(e))
			}
		}
	}
	for e := range counts {
		p.splitEvenly(e)
	}
}

// splitEvenly divides the load of an expert equally among its replicas.
func (p *placement) splitEvenly(e int) {
	for _, s := range p.replicas[e] {
		p.setSlotLoad(s, p.expertLoad[e]/float64(len(p.replicas[e])))
	}
}

// leastLoadedRank returns the rank with the lowest load that has a free slot
// and does not hold e, or none if there is no such rank.
func (p *placement) leastLoadedRank(e int, used []int) int {
	best := none
	for r, v := range p.rankLoad {
		if used[r] == p.shape.Slots || p.holds(r, e) {
			continue
		}
		if best == none || v < p.rankLoad[best] {
			best = r
		}
	}
	return best
}
