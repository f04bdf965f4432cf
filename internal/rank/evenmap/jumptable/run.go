package jumptable

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap"
)

// strategy is a way of updating a placement.
type strategy interface{ isStrategy() }

type (
	// static keeps the placement that engines begin with.
	static struct{}
	// naive exchanges the most loaded expert of the most loaded rank for the
	// least loaded one of the least loaded rank, then does the same for the
	// next pairs, based on the last counts. The first relay did this.
	naive struct{}
	// fromScratch computes a new placement from the last counts.
	fromScratch struct{}
	// planned improves the present placement within the limits, based on the
	// last counts.
	planned struct{}
	// oracle knows the true popularity and copies at no cost. Its skew is the
	// bound to which the other strategies are compared.
	oracle struct{}
)

func (static) isStrategy()      {}
func (naive) isStrategy()       {}
func (fromScratch) isStrategy() {}
func (planned) isStrategy()     {}
func (oracle) isStrategy()      {}

// maxOraclePlans limits the consecutive plans of the oracle.
const maxOraclePlans = 40

// nextPlacement returns the placement that the strategy chooses after p.
func nextPlacement(s strategy, p *evenmap.Placement, c Case, truth, counts []float64) (*evenmap.Placement, error) {
	switch s.(type) {
	case naive:
		return exchangePairs(p, c.Shape, counts)
	case fromScratch:
		return placeGreedily(c.Shape, counts)
	case planned:
		return evenmap.NewPlan([]*evenmap.Placement{p}, [][]float64{counts}, c.Limits).Placements()[0], nil
	case oracle:
		free := evenmap.Limits{CopiesPerRank: c.Shape.Slots, CopiesPerSet: c.Shape.Slots}
		for range maxOraclePlans {
			plan := evenmap.NewPlan([]*evenmap.Placement{p}, [][]float64{truth}, free)
			if plan.SkewBefore()-plan.SkewAfter() < 1e-3 {
				break
			}
			p = plan.Placements()[0]
		}
		return p, nil
	default:
		return p, nil
	}
}

// simulate applies a strategy to one layer set through the popularity jumps of
// a case.
func simulate(c Case, s strategy) (Result, error) {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	p, err := evenmap.NewPlacement(c.Shape, roundRobin(c.Shape))
	if err != nil {
		return Result{}, err
	}
	r := Result{}
	counts := make([]float64, c.Shape.Experts)
	for range c.Jumps {
		truth := popularity(rng, c.Shape.Experts)
		for range c.PlansPerJump {
			if _, ok := s.(oracle); ok {
				// The oracle has its placement at the moment of the jump.
				if p, err = nextPlacement(s, p, c, truth, truth); err != nil {
					return r, err
				}
			}
			r.skew += p.Skew(truth) / float64(c.Jumps*c.PlansPerJump)
			sampleCounts(rng, truth, counts)
			if _, ok := s.(oracle); ok {
				continue
			}
			next, err := nextPlacement(s, p, c, truth, counts)
			if err != nil {
				return r, err
			}
			for _, n := range next.Copies(p) {
				r.copies += float64(n) / float64(c.Jumps)
			}
			p = next
		}
	}
	return r, nil
}

// popularity draws the loads of experts from a power law, in a new random order
// for each jump. With 72 experts assigned in turn to 12 ranks, the most loaded
// rank has about three times the mean load, as engines report.
func popularity(rng *rand.Rand, experts int) []float64 {
	load := make([]float64, experts)
	sum := 0.0
	for i, e := range rng.Perm(experts) {
		load[e] = 1 / math.Pow(float64(i+1), 0.9)
		sum += load[e]
	}
	for e := range load {
		load[e] /= sum
	}
	return load
}

// selectionsPerPlan is how often the experts of a set are selected between two
// plans: a group generates some hundred tokens in that time, each of which
// selects a few experts.
const selectionsPerPlan = 2000

// sampleCounts draws how often each expert was selected since the last plan,
// with the noise of as many independent selections.
func sampleCounts(rng *rand.Rand, truth, counts []float64) {
	for e, x := range truth {
		mean := selectionsPerPlan * x
		counts[e] = math.Max(0, mean+math.Sqrt(mean)*rng.NormFloat64())
	}
}

// roundRobin returns the experts of each rank, assigned in turn.
func roundRobin(s evenmap.Shape) [][]int {
	ranks := make([][]int, s.Ranks)
	for e := range s.Experts {
		ranks[e%s.Ranks] = append(ranks[e%s.Ranks], e)
	}
	return ranks
}

// exchangePairs pairs the most loaded ranks with the least loaded ones and lets
// each pair exchange one expert.
func exchangePairs(p *evenmap.Placement, s evenmap.Shape, load []float64) (*evenmap.Placement, error) {
	order := make([]int, s.Ranks)
	for r := range order {
		order[r] = r
	}
	loads := p.Loads(load)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loads[b], loads[a]) })
	ranks := make([][]int, s.Ranks)
	for r, experts := range p.Ranks() {
		ranks[r] = slices.Clone(experts)
	}
	for i := range s.Ranks / 2 {
		hot, cold := order[i], order[s.Ranks-1-i]
		byLoad := func(a, b int) int { return cmp.Compare(load[a], load[b]) }
		hottest, coldest := slices.MaxFunc(ranks[hot], byLoad), slices.MinFunc(ranks[cold], byLoad)
		gain := load[hottest] - load[coldest]
		if gain <= 0 || gain >= loads[hot]-loads[cold] || slices.Contains(ranks[cold], hottest) || slices.Contains(ranks[hot], coldest) {
			continue
		}
		ranks[hot][slices.Index(ranks[hot], hottest)] = coldest
		ranks[cold][slices.Index(ranks[cold], coldest)] = hottest
	}
	return evenmap.NewPlacement(s, ranks)
}

// placeGreedily gives spare slots to the experts with the largest load per
// replica and places the heaviest replicas first, each on the least loaded
// rank.
func placeGreedily(s evenmap.Shape, load []float64) (*evenmap.Placement, error) {
	replicas := make([]int, s.Experts)
	for e := range replicas {
		replicas[e] = 1
	}
	perReplica := func(e int) float64 { return load[e] / float64(replicas[e]) }
	for range s.Ranks*s.Slots - s.Experts {
		best := 0
		for e := range replicas {
			if replicas[e] < s.Ranks && perReplica(e) > perReplica(best) {
				best = e
			}
		}
		replicas[best]++
	}
	order := make([]int, s.Experts)
	for e := range order {
		order[e] = e
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(perReplica(b), perReplica(a)) })
	ranks, loads := make([][]int, s.Ranks), make([]float64, s.Ranks)
	// The first round places one replica of each expert, so that further
	// replicas do not take the slot of an expert that has none.
	for round := range 2 {
		for _, e := range order {
			n := 1
			if round == 1 {
				n = replicas[e] - 1
			}
			for range n {
				addReplica(s, ranks, loads, e, perReplica(e))
			}
		}
	}
	return evenmap.NewPlacement(s, ranks)
}

// addReplica adds a replica of e to the least loaded rank that has a free slot
// and does not hold e. It does nothing if there is no such rank.
func addReplica(s evenmap.Shape, ranks [][]int, loads []float64, e int, load float64) {
	to := -1
	for r := range ranks {
		free := len(ranks[r]) < s.Slots && !slices.Contains(ranks[r], e)
		if free && (to < 0 || loads[r] < loads[to]) {
			to = r
		}
	}
	if to >= 0 {
		ranks[to] = append(ranks[to], e)
		loads[to] += load
	}
}
