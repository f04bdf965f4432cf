package jumptable

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap"
)

// leader is one way of keeping a set's placement.
type leader interface{ leader() }

type (
	// none keeps the placement that engines begin with.
	none struct{}
	// naive exchanges the hottest expert of the most loaded rank for the
	// coldest of the least loaded one, then the same for the second, by what
	// was counted last: what a first relay did.
	naive struct{}
	// afresh solves the whole placement anew by what was counted last.
	afresh struct{}
	// planned goes on from the present placement within the limits, by what
	// was counted last.
	planned struct{}
	// knowing knows the popularity and may copy at no cost: the bound.
	knowing struct{}
)

func (none) leader()    {}
func (naive) leader()   {}
func (afresh) leader()  {}
func (planned) leader() {}
func (knowing) leader() {}

// knowingPlans bounds the plans that follow one another for the bound.
const knowingPlans = 40

// next returns the placement to bring into force.
func next(l leader, p *evenmap.Placement, c Case, truth, counted []float64) (*evenmap.Placement, error) {
	switch l.(type) {
	case naive:
		return exchange(p, c.Shape, counted)
	case afresh:
		return solve(c.Shape, counted)
	case planned:
		return evenmap.NewPlan([]*evenmap.Placement{p}, [][]float64{counted}, c.Limits).Next()[0], nil
	case knowing:
		free := evenmap.Limits{PerRank: c.Shape.Slots, PerSet: c.Shape.Slots}
		for range knowingPlans {
			plan := evenmap.NewPlan([]*evenmap.Placement{p}, [][]float64{truth}, free)
			if plan.Before()-plan.After() < 1e-3 {
				break
			}
			p = plan.Next()[0]
		}
		return p, nil
	default:
		return p, nil
	}
}

// run keeps one set's placement through the jumps of a case.
func run(c Case, l leader) (Result, error) {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	p, err := evenmap.NewPlacement(c.Shape, inTurn(c.Shape))
	if err != nil {
		return Result{}, err
	}
	r := Result{}
	counted := make([]float64, c.Shape.Experts)
	for range c.Jumps {
		truth := popularity(rng, c.Shape.Experts)
		for range c.Looks {
			if _, ok := l.(knowing); ok {
				// The bound has its map in the moment of the jump.
				if p, err = next(l, p, c, truth, truth); err != nil {
					return r, err
				}
			}
			r.skew += p.Skew(truth) / float64(c.Jumps*c.Looks)
			count(rng, truth, counted)
			if _, ok := l.(knowing); ok {
				continue
			}
			q, err := next(l, p, c, truth, counted)
			if err != nil {
				return r, err
			}
			for _, n := range q.Copies(p) {
				r.copies += float64(n) / float64(c.Jumps)
			}
			p = q
		}
	}
	return r, nil
}

// popularity draws the loads of experts: a power law whose order is new with
// each jump. With 72 experts in turn on 12 ranks the most loaded rank has some
// three times the mean, as engines report.
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

// picks is how often the experts of a set are chosen between two looks: a group
// writes some hundred tokens in that time, of which each chooses a few.
const picks = 2000

// count draws how often each expert was chosen since the last look, with the
// noise of as many independent choices.
func count(rng *rand.Rand, truth, counted []float64) {
	for e, x := range truth {
		mean := picks * x
		counted[e] = math.Max(0, mean+math.Sqrt(mean)*rng.NormFloat64())
	}
}

func inTurn(s evenmap.Shape) [][]int {
	ranks := make([][]int, s.Ranks)
	for e := range s.Experts {
		ranks[e%s.Ranks] = append(ranks[e%s.Ranks], e)
	}
	return ranks
}

// exchange pairs the most loaded ranks with the least loaded ones and has each
// pair exchange one expert.
func exchange(p *evenmap.Placement, s evenmap.Shape, load []float64) (*evenmap.Placement, error) {
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
		h, k := slices.MaxFunc(ranks[hot], byLoad), slices.MinFunc(ranks[cold], byLoad)
		gain := load[h] - load[k]
		if gain <= 0 || gain >= loads[hot]-loads[cold] || slices.Contains(ranks[cold], h) || slices.Contains(ranks[hot], k) {
			continue
		}
		ranks[hot][slices.Index(ranks[hot], h)] = k
		ranks[cold][slices.Index(ranks[cold], k)] = h
	}
	return evenmap.NewPlacement(s, ranks)
}

// solve gives spare places to the experts with the most load a replica and puts
// the heaviest replicas on the least loaded ranks first.
func solve(s evenmap.Shape, load []float64) (*evenmap.Placement, error) {
	replicas := make([]int, s.Experts)
	for e := range replicas {
		replicas[e] = 1
	}
	each := func(e int) float64 { return load[e] / float64(replicas[e]) }
	for range s.Ranks*s.Slots - s.Experts {
		best := 0
		for e := range replicas {
			if replicas[e] < s.Ranks && each(e) > each(best) {
				best = e
			}
		}
		replicas[best]++
	}
	order := make([]int, s.Experts)
	for e := range order {
		order[e] = e
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(each(b), each(a)) })
	ranks, loads := make([][]int, s.Ranks), make([]float64, s.Ranks)
	// First one replica of each, so that all have a place.
	for round := range 2 {
		for _, e := range order {
			n := 1
			if round == 1 {
				n = replicas[e] - 1
			}
			for range n {
				put(s, ranks, loads, e, each(e))
			}
		}
	}
	return evenmap.NewPlacement(s, ranks)
}

// put adds a replica to the least loaded rank that has room for it.
func put(s evenmap.Shape, ranks [][]int, loads []float64, e int, load float64) {
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
