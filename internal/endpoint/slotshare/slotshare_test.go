package slotshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// Guards against slots with two owners, slots without one, and requests that wait although as many slots
// are free.
func TestEqualViewsDivideFreeSlots(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		v := randomView(rng, 1+rng.IntN(9), 1+rng.IntN(9))
		shares, waiting := owned(v), 0
		for _, c := range v.Claims {
			waiting += c.total()
		}
		for _, c := range v.Claims {
			if n := sum(shares[c.Entry]); waiting <= v.free() && n < c.total() {
				t.Fatalf("%s may start %d of %d requests; %d wait for %d slots", c.Entry, n, c.total(), waiting, v.free())
			}
		}
		for i, e := range v.Endpoints {
			if n := owners(shares, i); n != max(0, e.Free) {
				t.Fatalf("%s has %d free slots and %d owners", e.ID, e.Free, n)
			}
		}
	}
}

func sum(all []int) int {
	n := 0
	for _, k := range all {
		n += k
	}
	return n
}

// owners returns how many slots of endpoint i all entries own together.
func owners(shares map[string][]int, i int) int {
	n := 0
	for _, s := range shares {
		n += s[i]
	}
	return n
}

// Guards against less urgent requests that get slots while more urgent ones wait elsewhere, and against
// an entry that gets two slots before another one with the same class gets one.
func TestUrgentClassesGoFirst(t *testing.T) {
	var v View
	for i := range 6 {
		v.Endpoints = append(v.Endpoints, Endpoint{ID: fmt.Sprint("e", i), Free: 1})
	}
	v.Claims = []Claim{{"a", []int{2}}, {"b", []int{1, 5}}, {"c", []int{0, 9}}, {"d", []int{0, 0, 9}}}
	for v.Period = range 200 {
		shares := owned(v)
		a, b, c, d := sum(shares["a"]), sum(shares["b"]), sum(shares["c"]), sum(shares["d"])
		if a != 2 || b+c != 4 || b < 2 || c < 1 || d != 0 {
			t.Fatalf("period %d: %d, %d, %d and %d slots", v.Period, a, b, c, d)
		}
	}
}

// Each of 12 endpoints has one free slot, and more requests wait at each of 30 entries. Guards against
// one entry that gets all of them in a period, and against an entry that gets none for a long time.
func TestRotationDiffersByEndpoint(t *testing.T) {
	const entries, endpoints, periods, maxGap = 30, 12, 3000, 4
	var v View
	for i := range endpoints {
		v.Endpoints = append(v.Endpoints, Endpoint{ID: fmt.Sprint("e", i), Free: 1})
	}
	for i := range entries {
		v.Claims = append(v.Claims, Claim{fmt.Sprint("entry", i), []int{20}})
	}
	last, total := map[string]uint64{}, map[string]int{}
	for v.Period = range periods {
		for entry, s := range owned(v) {
			n := sum(s)
			if n > 1 {
				t.Fatalf("%s gets %d of %d slots in one period", entry, n, endpoints)
			}
			total[entry] += n
			if n == 1 {
				if gap := v.Period - last[entry]; gap > maxGap {
					t.Fatalf("%s gets none for %d periods", entry, gap)
				}
				last[entry] = v.Period
			}
		}
	}
	for entry, n := range total {
		if mean := periods * endpoints / entries; n < mean*9/10 || n > mean*11/10 {
			t.Errorf("%s gets %d slots in all, the mean is %d", entry, n, mean)
		}
	}
}

// Entries disagree: some have not received the last report of others, in which one more or one less
// request waits, or one more slot is free. Guards against disagreement that spreads: more owners than
// free slots beyond one for each report in flight.
func TestReportsInFlightCostOneSlotEach(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 3000 {
		v := randomView(rng, 1+rng.IntN(9), 2+rng.IntN(9))
		changes := 1 + rng.IntN(3)
		views := []View{v}
		for range changes {
			views = append(views, views[len(views)-1].changed(rng))
		}
		var a Allocator
		for i := range v.Endpoints {
			n, most := 0, 0
			for _, c := range v.Claims {
				n += a.Own(views[rng.IntN(len(views))], c.Entry, nil)[i]
			}
			for _, w := range views {
				most = max(most, w.Endpoints[i].Free)
			}
			// What nobody claims is not part of the promise: who is without claims starts nothing.
			if n > most+changes && v.claimed() >= v.free()+changes {
				t.Fatalf("%d owners of %d slots with %d reports in flight", n, most, changes)
			}
		}
	}
}

// Guards against a division in which one request more or less changes the owners of most slots: entries
// always disagree about some requests.
func TestOneRequestChangesFewOwners(t *testing.T) {
	const rounds, maxChanged = 300, 8.0
	rng := rand.New(rand.NewPCG(5, 6))
	changed := 0
	for range rounds {
		v := randomView(rng, 30, 30)
		for i := range v.Endpoints {
			v.Endpoints[i].Free = 1 + rng.IntN(3)
		}
		before, after := owned(v), owned(v.changed(rng))
		for entry, s := range before {
			for i, n := range s {
				changed += max(0, n-after[entry][i])
			}
		}
	}
	if mean := float64(changed) / rounds; mean > maxChanged {
		t.Errorf("%.1f slots change their owner on average", mean)
	} else {
		t.Logf("%.1f slots change their owner on average", mean)
	}
}

// changed returns v with one more or one less request or slot.
func (v View) changed(rng *rand.Rand) View {
	v.Endpoints, v.Claims = slices.Clone(v.Endpoints), slices.Clone(v.Claims)
	if rng.IntN(3) == 0 {
		v.Endpoints[rng.IntN(len(v.Endpoints))].Free++
		return v
	}
	c := &v.Claims[rng.IntN(len(v.Claims))]
	c.ByClass = append(slices.Clone(c.ByClass), 0)
	class := rng.IntN(len(c.ByClass))
	if c.ByClass[class] > 0 && rng.IntN(2) == 0 {
		c.ByClass[class]--
	} else {
		c.ByClass[class]++
	}
	return v
}

func (v View) claimed() int {
	n := 0
	for _, c := range v.Claims {
		n += c.total()
	}
	return n
}

func BenchmarkOwn(b *testing.B) {
	for _, c := range []struct{ endpoints, free, entries, waiting int }{{12, 1, 30, 20}, {64, 1, 30, 3}, {64, 10, 30, 20}, {129, 1, 532, 1}} {
		b.Run(fmt.Sprintf("%+v", c), func(b *testing.B) {
			var v View
			for i := range c.endpoints {
				v.Endpoints = append(v.Endpoints, Endpoint{fmt.Sprint("endpoint", i), c.free})
			}
			for i := range c.entries {
				v.Claims = append(v.Claims, Claim{fmt.Sprint("entry", i), []int{c.waiting}})
			}
			var a Allocator
			var out []int
			b.ReportAllocs()
			for b.Loop() {
				v.Period++
				out = a.Own(v, "entry0", out[:0])
			}
		})
	}
}
