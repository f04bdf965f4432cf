package expertmap

import (
	"math"
	"math/rand"
	"testing"
)

// exactSkew is the least skew of a placement over all shares, by Hall's
// condition: the experts of a set share the ranks that hold one of them, so the
// slowest rank has at least their load over the number of those ranks, and some
// set makes this tight.
func exactSkew(holds [][]bool, load []float64) float64 {
	most := 0.0
	for set := 1; set < 1<<len(load); set++ {
		sum, ranks := 0.0, 0
		for e, v := range load {
			if set>>e&1 == 1 {
				sum += v
			}
		}
		for _, held := range holds {
			if meets(held, set) {
				ranks++
			}
		}
		most = max(most, sum/float64(ranks))
	}
	return most * float64(len(holds)) / total(load)
}

func meets(held []bool, set int) bool {
	for e, h := range held {
		if h && set>>e&1 == 1 {
			return true
		}
	}
	return false
}

// bestSkew is the least skew over all placements, by trying them all.
func bestSkew(shape Shape, load []float64) float64 {
	holds := make([][]bool, shape.Ranks)
	best := math.Inf(1)
	var try func(r int)
	try = func(r int) {
		if r == shape.Ranks {
			if covered(holds, shape.Experts) {
				best = min(best, exactSkew(holds, load))
			}
			return
		}
		for set := range 1 << shape.Experts {
			if held := members(set, shape.Experts); count(held) == shape.Slots {
				holds[r] = held
				try(r + 1)
			}
		}
	}
	try(0)
	return best
}

func members(set, n int) []bool {
	held := make([]bool, n)
	for e := range held {
		held[e] = set>>e&1 == 1
	}
	return held
}

func count(held []bool) int {
	n := 0
	for _, h := range held {
		if h {
			n++
		}
	}
	return n
}

func covered(holds [][]bool, experts int) bool {
	for e := range experts {
		found := false
		for _, held := range holds {
			found = found || held[e]
		}
		if !found {
			return false
		}
	}
	return true
}

func holdsOf(l *Layer) [][]bool {
	holds := make([][]bool, l.shape.Ranks)
	for r := range holds {
		holds[r] = make([]bool, l.shape.Experts)
		for e := range holds[r] {
			holds[r][e] = l.Holds(r, e)
		}
	}
	return holds
}

// TestSharesAreOptimal compares the shares with Hall's condition on placements
// of the solver.
func TestSharesAreOptimal(t *testing.T) {
	for _, shape := range []Shape{{2, 2, 3}, {3, 2, 4}, {4, 3, 8}, {5, 2, 7}} {
		t.Run(shape.name(), func(t *testing.T) {
			rng := rand.New(rand.NewSource(1))
			for range 50 {
				l := solved(t, shape, randomLoad(rng, shape.Experts))
				load := randomLoad(rng, shape.Experts)
				kept, err := Improve(l, load, Risk{}, 0, 0, 0)
				if err != nil {
					t.Fatal(err)
				}
				assertNear(t, Skew(kept.Layer(), load), exactSkew(holdsOf(l), load), 0.002)
			}
		})
	}
}

// TestPlacementNearOptimum compares what Solve and Improve reach with the best
// of all placements, and the lower bound with both.
func TestPlacementNearOptimum(t *testing.T) {
	for _, shape := range []Shape{{2, 2, 3}, {3, 2, 4}, {3, 2, 5}, {4, 2, 5}} {
		t.Run(shape.name(), func(t *testing.T) {
			rng := rand.New(rand.NewSource(2))
			worst, sum := 0.0, 0.0
			const rounds = 20
			for range rounds {
				load := randomLoad(rng, shape.Experts)
				best := bestSkew(shape, load)
				imp, err := Improve(solved(t, shape, load), load, Risk{}, 8, 0, 0)
				if err != nil {
					t.Fatal(err)
				}
				assertAtMost(t, LowerBound(load, shape), best+1e-9)
				assertAtMost(t, best, Skew(imp.Layer(), load)+0.002)
				worst = max(worst, Skew(imp.Layer(), load)/best)
				sum += Skew(imp.Layer(), load) / best
			}
			t.Logf("over the optimum: worst %.3f, mean %.3f", worst, sum/rounds)
			assertAtMost(t, worst, 1.10)
		})
	}
}

func solved(t *testing.T, shape Shape, load []float64) *Layer {
	t.Helper()
	l, err := Solve(shape, load, Risk{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewLayer(shape, l.slots); err != nil {
		t.Fatalf("not a layer: %v", err)
	}
	return l
}

func assertNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("got %v, want %v within %v", got, want, tolerance)
	}
}

func assertAtMost(t *testing.T, got, most float64) {
	t.Helper()
	if got > most {
		t.Errorf("got %v, want at most %v", got, most)
	}
}
