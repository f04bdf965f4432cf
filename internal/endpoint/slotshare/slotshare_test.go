package slotshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// A slow engine recovers and has twelve free slots, and nine entries divide them evenly at the same
// moment. Guards against parts that add up to more or fewer than the free slots.
func TestPartsAddUpToFreeSlots(t *testing.T) {
	for n := 2; n <= 40; n++ {
		for free := range 30 {
			for turn := range n {
				sum := 0
				for i := range n {
					sum += Part(free, i, n, uint64(turn))
				}
				if sum != free {
					t.Fatalf("%d entries take %d of %d slots", n, sum, free)
				}
			}
		}
	}
	t.Run("the remainder goes to each entry in turn", func(t *testing.T) {
		const n = 7
		for i := range n {
			turns := 0
			for turn := range n {
				turns += Part(1, i, n, uint64(turn))
			}
			if turns != 1 {
				t.Fatalf("entry %d had %d of %d turns", i, turns, n)
			}
		}
	})
}

// randomView returns a view with random numbers of free slots and waiting requests.
func randomView(rng *rand.Rand, endpoints, entries int) View {
	v := View{Period: rng.Uint64N(1 << 40)}
	for i := range endpoints {
		v.Endpoints = append(v.Endpoints, Endpoint{ID: fmt.Sprint("e", i), Free: rng.IntN(4) - 1})
	}
	for i := range entries {
		c := Claim{Entry: fmt.Sprint("entry", i)}
		for range rng.IntN(4) {
			c.ByClass = append(c.ByClass, rng.IntN(4))
		}
		v.Claims = append(v.Claims, c)
	}
	return v
}

func (v View) free() int {
	n := 0
	for _, e := range v.Endpoints {
		n += max(0, e.Free)
	}
	return n
}

func (c Claim) total() int {
	n := 0
	for _, k := range c.ByClass {
		n += k
	}
	return n
}

// owned returns the slots of each endpoint by entry.
func owned(v View) map[string][]int {
	var a Allocator
	out := map[string][]int{}
	for _, c := range v.Claims {
		out[c.Entry] = a.Own(v, c.Entry, nil)
	}
	return out
}

// Guards against slots with two owners, slots without one while requests wait, and a less urgent request
// that gets a slot while a more urgent one gets none.
func TestEqualViewsDivideFreeSlots(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		v := randomView(rng, 1+rng.IntN(9), 1+rng.IntN(9))
		shares, waiting, total := owned(v), 0, 0
		for _, c := range v.Claims {
			waiting += c.total()
		}
		unclaimed := v.free() - waiting
		for _, c := range v.Claims {
			n := 0
			for _, k := range shares[c.Entry] {
				n += k
			}
			total += n
			if unclaimed >= 0 && n < c.total() {
				t.Fatalf("%s may start %d of %d requests, and %d slots are left over", c.Entry, n, c.total(), unclaimed)
			}
		}
		if total < v.free() {
			t.Fatalf("%d of %d slots have an owner", total, v.free())
		}
		for i, e := range v.Endpoints {
			sum := 0
			for _, c := range v.Claims {
				// Entries that claim nothing may take one for requests that they have not reported.
				if c.total() > 0 || unclaimed <= 0 {
					sum += shares[c.Entry][i]
				}
			}
			if sum > max(0, e.Free) {
				t.Fatalf("%s has %d free slots and %d owners", e.ID, e.Free, sum)
			}
		}
	}
}
