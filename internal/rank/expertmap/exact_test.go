package expertmap

import (
	"math"
	"math/rand"
	"testing"
)

// exactSkew returns the minimum skew of a placement over all shares. By Hall's
// theorem, the maximum rank load is at least the load of any set of experts
// divided by the number of ranks that hold one of them, and equality holds for
// some set. The bits of set select the experts.
func exactSkew(holds [][]bool, load []float64) float64 {
	maxLoad := 0.0
	for set := 1; set < 1<<len(load); set++ {
		sum, ranks := 0.0, 0
		for e, v := range load {
			if set>>e&1 == 1 {
				sum += v
			}
		}
		for _, held := range holds {
			if intersects(held, set) {
				ranks++
			}
		}
		maxLoad = max(maxLoad, sum/float64(ranks))
	}
	return maxLoad * float64(len(holds)) / totalLoad(load)
}

// intersects reports whether a rank holds an expert of the set.
func intersects(held []bool, set int) bool {
	for e, h := range held {
		if h && set>>e&1 == 1 {
			return true
		}
	}
	return false
}

// optimalSkew returns the minimum skew over all placements, by exhaustive
// search.
func optimalSkew(shape Shape, load []float64) float64 {
	holds := make([][]bool, shape.Ranks)
	best := math.Inf(1)
	var try func(r int)
	try = func(r int) {
		if r == shape.Ranks {
			if coversAll(holds, shape.Experts) {
				best = min(best, exactSkew(holds, load))
			}
			return
		}
		for set := range 1 << shape.Experts {
			if held := membership(set, shape.Experts); count(held) == shape.Slots {
				holds[r] = held
				try(r + 1)
			}
		}
	}
	try(0)
	return best
}

// membership returns which of n experts are in the set.
func membership(set, n int) []bool {
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

// coversAll reports whether each expert is held by at least one rank.
func coversAll(holds [][]bool, experts int) bool {
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

// placementMatrix returns, for each rank, which experts it holds.
func placementMatrix(l *Layer) [][]bool {
	holds := make([][]bool, l.shape.Ranks)
	for r := range holds {
		holds[r] = make([]bool, l.shape.Experts)
		for e := range holds[r] {
			holds[r][e] = l.Holds(r, e)
		}
	}
	return holds
}

// TestSharesAreOptimal checks that Improve without moves reaches the optimum of
// exactSkew on placements made by Solve for other loads.
func TestSharesAreOptimal(t *testing.T) {
	for _, shape := range []Shape{{2, 2, 3}, {3, 2, 4}, {4, 3, 8}, {5, 2, 7}} {
		t.Run(shape.name(), func(t *testing.T) {
			rng := rand.New(rand.NewSource(1))
			for range 50 {
				l := mustSolve(t, shape, randomLoad(rng, shape.Experts))
				load := randomLoad(rng, shape.Experts)
				rebalanced, err := Improve(l, load, LoadVariance{}, 0, 0, 0)
				if err != nil {
					t.Fatal(err)
				}
				assertNear(t, Skew(rebalanced.Layer(), load), exactSkew(placementMatrix(l), load), 0.002)
			}
		})
	}
}

// TestPlacementNearOptimum compares the skew after Solve and Improve with the
// minimum over all placements, and checks that LowerBound exceeds neither.
func TestPlacementNearOptimum(t *testing.T) {
	for _, shape := range []Shape{{2, 2, 3}, {3, 2, 4}, {3, 2, 5}, {4, 2, 5}} {
		t.Run(shape.name(), func(t *testing.T) {
			rng := rand.New(rand.NewSource(2))
			maxRatio, sumRatio := 0.0, 0.0
			const rounds = 20
			for range rounds {
				load := randomLoad(rng, shape.Experts)
				optimum := optimalSkew(shape, load)
				imp, err := Improve(mustSolve(t, shape, load), load, LoadVariance{}, 8, 0, 0)
				if err != nil {
					t.Fatal(err)
				}
				assertAtMost(t, LowerBound(load, shape), optimum+1e-9)
				assertAtMost(t, optimum, Skew(imp.Layer(), load)+0.002)
				maxRatio = max(maxRatio, Skew(imp.Layer(), load)/optimum)
				sumRatio += Skew(imp.Layer(), load) / optimum
			}
			t.Logf("ratio to optimal skew: max %.3f, mean %.3f", maxRatio, sumRatio/rounds)
			assertAtMost(t, maxRatio, 1.10)
		})
	}
}

// mustSolve returns the result of Solve without variance and checks that it is
// a valid layer.
func mustSolve(t *testing.T, shape Shape, load []float64) *Layer {
	t.Helper()
	l, err := Solve(shape, load, LoadVariance{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewLayer(shape, l.slots); err != nil {
		t.Fatalf("invalid layer: %v", err)
	}
	return l
}

func assertNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("got %v, want %v within %v", got, want, tolerance)
	}
}

func assertAtMost(t *testing.T, got, limit float64) {
	t.Helper()
	if got > limit {
		t.Errorf("got %v, want at most %v", got, limit)
	}
}
