package evenmap

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// shapes are the dimensions of today's deployment, the next one and the target,
// and of a deployment with 129 ranks.
var shapes = []Shape{
	{Ranks: 12, Slots: 8, Experts: 72},
	{Ranks: 63, Slots: 5, Experts: 252},
	{Ranks: 128, Slots: 2, Experts: 128},
	{Ranks: 129, Slots: 3, Experts: 258},
}

// roundRobin returns the placement that engines begin with: experts are
// assigned to ranks in turn.
func roundRobin(t testing.TB, s Shape) *Placement {
	t.Helper()
	ranks := make([][]int, s.Ranks)
	for e := range s.Experts {
		ranks[e%s.Ranks] = append(ranks[e%s.Ranks], e)
	}
	p, err := NewPlacement(s, ranks)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// popularity draws loads from a power law of exponent 0.9 over all experts. The
// largest are many times the mean, as in a power law of exponent 1.3 over some
// of the experts.
func popularity(rng *rand.Rand, experts int) []float64 {
	load := make([]float64, experts)
	for i, e := range rng.Perm(experts) {
		load[e] = 100 / math.Pow(float64(i+1), 0.9)
	}
	return load
}

func testLimits(perRank int) Limits {
	return Limits{CopiesPerRank: perRank, CopiesPerSet: 3, MinGain: 0.02}
}

// checkPlan checks that a plan keeps within its limits.
func checkPlan(t *testing.T, from []*Placement, p *Plan, l Limits) {
	t.Helper()
	perRank := make([]int, from[0].shape.Ranks)
	copies := 0
	for i, next := range p.Placements() {
		if _, err := NewPlacement(next.shape, next.Ranks()); err != nil {
			t.Fatal(err)
		}
		for r, n := range next.Copies(from[i]) {
			if n > l.CopiesPerSet {
				t.Fatalf("rank %d copies %d experts of set %d", r, n, i)
			}
			perRank[r] += n
			copies += n
		}
	}
	if top := slices.Max(perRank); top > l.CopiesPerRank {
		t.Fatalf("a rank copies %d experts, limit %d", top, l.CopiesPerRank)
	}
	if copies != p.Copies() || p.SkewAfter() > p.SkewBefore()+1e-9 {
		t.Fatalf("plan reports %d copies and makes %d; skew %.3f before, %.3f after", p.Copies(), copies, p.SkewBefore(), p.SkewAfter())
	}
}

// TestPlansRebalanceAfterPopularityJump guards against steps that stay slow
// after the popularity of experts jumps. The most loaded rank then has three
// times the mean load. The first plan, with one copy per rank, halves the
// excess and the next ones bring it near the lower bound.
func TestPlansRebalanceAfterPopularityJump(t *testing.T) {
	for _, s := range shapes {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(s.Ranks)))
			sets := []*Placement{roundRobin(t, s), roundRobin(t, s)}
			loads := [][]float64{popularity(rng, s.Experts), popularity(rng, s.Experts)}
			first, skew := 0.0, 0.0
			for round := range 8 {
				l := testLimits(1)
				p := NewPlan(sets, loads, l)
				checkPlan(t, sets, p, l)
				if round == 0 {
					first = p.SkewBefore()
				}
				sets, skew = p.Placements(), p.SkewAfter()
			}
			if skew-1 > 0.4*(first-1) {
				t.Fatalf("skew %.2f after eight plans, %.2f before", skew, first)
			}
		})
	}
}

// TestBalancedPlacementIsKept guards against copies while the popularity is
// stable: a plan for loads that have been planned for finds no copy worth
// making.
func TestBalancedPlacementIsKept(t *testing.T) {
	s := shapes[0]
	rng := rand.New(rand.NewPCG(2, 2))
	sets, loads := []*Placement{roundRobin(t, s)}, [][]float64{popularity(rng, s.Experts)}
	for range 12 {
		sets = NewPlan(sets, loads, testLimits(3)).Placements()
	}
	if p := NewPlan(sets, loads, testLimits(3)); p.Copies() > 0 {
		t.Fatalf("%d copies for a balanced placement (skew %.3f)", p.Copies(), p.SkewBefore())
	}
}

// TestSlowRankLosesLoad guards against steps that wait for a slow rank. One
// rank becomes six times slower, and the others take over its experts.
func TestSlowRankLosesLoad(t *testing.T) {
	s := shapes[0]
	rng := rand.New(rand.NewPCG(3, 3))
	sets, loads := []*Placement{roundRobin(t, s)}, [][]float64{popularity(rng, s.Experts)}
	l := testLimits(1)
	l.Slowdown = slices.Repeat([]float64{1}, s.Ranks)
	l.Slowdown[4] = 6.3
	before := sets[0].Loads(loads[0])[4]
	for range 8 {
		sets = NewPlan(sets, loads, l).Placements()
	}
	if after := sets[0].Loads(loads[0])[4]; after > before/3 {
		t.Fatalf("load of the slow rank is %.1f, was %.1f before", after, before)
	}
}

// replicateNaively copies the most loaded expert to the least loaded rank with
// a free slot, as the first relay did. It is the baseline.
func replicateNaively(p *Placement, load []float64, copies int) *Placement {
	q := p.clone()
	for range copies {
		best, top := -1, 0.0
		for e, hs := range q.holders {
			if v := load[e] / float64(len(hs)); v > top {
				best, top = e, v
			}
		}
		ranks := q.Loads(load)
		to := -1
		for r := range ranks {
			free := len(q.ranks[r]) < q.shape.Slots && !q.Holds(r, best)
			if free && (to < 0 || ranks[r] < ranks[to]) {
				to = r
			}
		}
		if to < 0 {
			return q
		}
		q.add(best, to)
	}
	return q
}

// TestPlanBeatsNaiveReplication compares plans with naive replication that
// makes the same number of copies.
func TestPlanBeatsNaiveReplication(t *testing.T) {
	s := shapes[0]
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 4))
		from, load := roundRobin(t, s), popularity(rng, s.Experts)
		p := NewPlan([]*Placement{from}, [][]float64{load}, testLimits(1))
		if n := replicateNaively(from, load, p.Copies()).Skew(load); p.SkewAfter() > n+1e-9 {
			t.Errorf("seed %d: skew %.3f with %d copies, naive replication has %.3f", seed, p.SkewAfter(), p.Copies(), n)
		}
	}
}

func TestNewPlacementRejectsInvalidLists(t *testing.T) {
	s := Shape{Ranks: 2, Slots: 2, Experts: 2}
	for name, ranks := range map[string][][]int{
		"an expert without a rank":          {{0}, {0}},
		"a rank that holds an expert twice": {{0, 0}, {1}},
		"too many experts":                  {{0, 1, 1}, {1}},
		"an unknown expert":                 {{0, 2}, {1}},
		"too few ranks":                     {{0, 1}},
	} {
		if _, err := NewPlacement(s, ranks); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

func BenchmarkNewPlan(b *testing.B) {
	for _, s := range shapes {
		b.Run(fmt.Sprintf("%dx%d", s.Ranks, s.Experts), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			sets := []*Placement{roundRobin(b, s), roundRobin(b, s), roundRobin(b, s), roundRobin(b, s)}
			var loads [][]float64
			for range sets {
				loads = append(loads, popularity(rng, s.Experts))
			}
			for b.Loop() {
				NewPlan(sets, loads, testLimits(1))
			}
		})
	}
}
