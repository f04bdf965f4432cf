package measure

import (
	"math"
	"math/rand/v2"
	"testing"
)

// bruteBound tries all subsets: the deadlines can be met if and only if, for
// each pair of a start and an end, the work inside fits (Hall's condition).
func bruteBound(caps []float64, first, last []int, work []float64) float64 {
	most := 0.0
	for set := range 1 << len(work) {
		sum := 0.0
		for i, w := range work {
			if set>>i&1 == 1 {
				sum += w
			}
		}
		if sum > most && fits(caps, first, last, work, set) {
			most = sum
		}
	}
	return most
}

func fits(caps []float64, first, last []int, work []float64, set int) bool {
	for a := range caps {
		room := 0.0
		for b := a; b < len(caps); b++ {
			room += caps[b]
			inside := 0.0
			for i, w := range work {
				if set>>i&1 == 1 && first[i] >= a && last[i] <= b {
					inside += w
				}
			}
			if inside > room+1e-9 {
				return false
			}
		}
	}
	return true
}

// The bound divides every figure of the tables, so it must not be too low: no
// feasible set of whole requests may exceed what the flow gives.
func TestBoundIsNotBelowAnySchedule(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	for range 300 {
		caps := []float64{2, 3, 1, 2, 3}
		n := 1 + rng.IntN(9)
		first, last, work := make([]int, n), make([]int, n), make([]float64, n)
		f := newFlowBound(append([]float64(nil), caps...))
		got := 0.0
		for i := range n {
			first[i] = rng.IntN(len(caps))
			last[i] = first[i] + rng.IntN(len(caps)-first[i])
			work[i] = float64(1 + rng.IntN(4))
			got += f.add(first[i], last[i], work[i])
		}
		if want := bruteBound(caps, first, last, work); got < want-1e-6 {
			t.Fatalf("bound %v is below a schedule with %v", got, want)
		}
	}
}

func TestTablesAreRepeatable(t *testing.T) {
	s := shape{load: 1.5, leave: true}
	a := play(s, usualLag, 1, newOurs(bothLoads))
	b := play(s, usualLag, 1, newOurs(bothLoads))
	if a != b {
		t.Errorf("two runs differ: %+v and %+v", a, b)
	}
}

func TestServiceUnderOverload(t *testing.T) {
	const least = 0.9
	for _, load := range []float64{0.8, 1, 1.5} {
		r := play(shape{load: load}, usualLag, 2, newOurs(bothLoads))
		assertService(t, r, least)
	}
}

func assertService(t *testing.T, r result, least float64) {
	t.Helper()
	if got := r.ofBound(); got < least || math.IsNaN(got) {
		t.Errorf("service is %.3f of what capacity allows, want at least %.2f", got, least)
	}
	if r.coldOverloads != 0 {
		t.Errorf("cold endpoints were overloaded %d times", r.coldOverloads)
	}
}
