package slotshare

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an endpoint with its number of free slots.
type Endpoint struct {
	ID   string
	Free int
}

// Claim is the number of requests that wait at one entry, by class; class 0 is the most urgent. An
// entry without waiting requests is listed too, as it has a part of what nobody claims.
type Claim struct {
	Entry   string
	ByClass []int
}

// View is what a division is computed from. Entries with equal views compute the same division. The
// order of Endpoints and Claims has no effect; each ID and each entry must occur once.
type View struct {
	Endpoints []Endpoint
	Claims    []Claim
	// Period is the number of the present period. The order of the entries rotates with it, and so do the
	// endpoints whose slots they get.
	Period uint64
}

// Allocator computes divisions. It reuses its buffers; it is not safe for concurrent use.
type Allocator struct {
	claimants []claimant
	active    []*claimant
	slots     []slots
	free      int
}

// claimant is an entry in the order of the present period.
type claimant struct {
	entry   string
	hash    uint64
	byClass []int
	// served is the number of claims that have been considered.
	served uint64
}

// slots is the free slots of an endpoint, of which left have no owner yet.
type slots struct {
	hash       uint64
	free, left int
}

// Own returns how many of its free slots each endpoint of v has for the entry own, in the order of
// v.Endpoints. The result is appended to out.
//
// Claims are considered by class, most urgent first, then in rounds of one claim for each entry, and
// in the period's order within a round. Each claim owns one slot as long as there are any, so that all
// requests may start if as many slots are free as requests wait. An endpoint with more free slots is
// preferred; which one else depends on entry, claim and period, so that an entry owns slots of
// different endpoints. One more or one less claim or slot in v adds at most one owner to each endpoint
// and removes at most one.
//
// Slots that nobody claims are divided evenly among all entries in v, for requests that are newer than
// the reports. If all could take them at once, an endpoint would get one request of each entry.
func (a *Allocator) Own(v View, own string, out []int) []int {
	a.begin(v)
	base := len(out)
	for range v.Endpoints {
		out = append(out, 0)
	}
	classes := 0
	for i := range a.claimants {
		classes = max(classes, len(a.claimants[i].byClass))
	}
	for class := 0; class < classes && a.free > 0; class++ {
		a.allocateClass(class, own, v.Period, out[base:])
	}
	if a.free > 0 {
		a.divideUnclaimed(own, v.Period, out[base:])
	}
	return out
}

// begin fills the buffers from v.
func (a *Allocator) begin(v View) {
	a.claimants, a.slots, a.free = a.claimants[:0], a.slots[:0], 0
	for _, c := range v.Claims {
		a.claimants = append(a.claimants, claimant{entry: c.Entry, hash: xxhash.Sum64String(c.Entry), byClass: c.ByClass})
	}
	// Sorted by hash, entries of one data centre, whose names are similar, don't follow each other.
	slices.SortFunc(a.claimants, func(x, y claimant) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.entry, y.entry))
	})
	rotate(a.claimants, firstOf(v.Period, len(a.claimants)))
	for _, e := range v.Endpoints {
		free := max(0, e.Free)
		a.slots = append(a.slots, slots{hash: xxhash.Sum64String(e.ID), free: free, left: free})
		a.free += free
	}
}

// firstOf returns which of n entries is the first of a period. The fractional parts of the multiples of
// the golden ratio are spread evenly: if a third of the entries get a slot in each period, each of them
// gets one in about every third. With the next entry as the first, most would get one in each period
// for a while and then none for a long time.
func firstOf(period uint64, n int) int {
	const goldenRatio = 0x9e3779b97f4a7c15 // its fractional part, times 2 to the power of 64
	first, _ := bits.Mul64(period*goldenRatio, uint64(n))
	return int(first)
}

// rotate moves the first n elements of all to the end.
func rotate(all []claimant, n int) {
	slices.Reverse(all[:n])
	slices.Reverse(all[n:])
	slices.Reverse(all)
}

// allocateClass gives slots to the claims of one class and adds those of own to out.
func (a *Allocator) allocateClass(class int, own string, period uint64, out []int) {
	a.active = a.active[:0]
	for i := range a.claimants {
		if c := &a.claimants[i]; class < len(c.byClass) && c.byClass[class] > 0 {
			a.active = append(a.active, c)
		}
	}
	for round := 0; len(a.active) > 0; round++ {
		remaining := a.active[:0]
		for _, c := range a.active {
			if a.free == 0 {
				return
			}
			i := a.preferred(c, period)
			a.slots[i].left--
			a.free--
			c.served++
			if c.entry == own {
				out[i]++
			}
			if c.byClass[class] > round+1 {
				remaining = append(remaining, c)
			}
		}
		a.active = remaining
	}
}

// preferred returns the index of the endpoint whose slot the next claim of c gets. a.free must be
// positive.
//
// The preference of a claim depends on no other claim: an endpoint that has none left is passed over.
// Otherwise one claim that only some entries know of would change the endpoints of all claims after it.
func (a *Allocator) preferred(c *claimant, period uint64) int {
	seed := mix(c.hash + c.served ^ mix(period))
	best, bestWeight := -1, uint64(0)
	for i := range a.slots {
		s := &a.slots[i]
		if s.left == 0 {
			continue
		}
		weight := (mix(seed^s.hash)>>32 + 1) * uint64(s.free)
		if best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// divideUnclaimed adds own's part of the slots without owner to out.
func (a *Allocator) divideUnclaimed(own string, period uint64, out []int) {
	index := slices.IndexFunc(a.claimants, func(c claimant) bool { return c.entry == own })
	if index < 0 {
		return
	}
	for i, s := range a.slots {
		out[i] += Part(s.left, index, len(a.claimants), s.hash+period)
	}
}

// Part returns the part of n slots that belongs to number i of some entries if they are divided evenly.
// The parts add up to n. The turn selects which entries get one of the remainder.
func Part(n, i, entries int, turn uint64) int {
	if n <= 0 || entries <= 1 {
		return max(0, n)
	}
	part, remainder := n/entries, n%entries
	if (uint64(i)+turn%uint64(entries))%uint64(entries) < uint64(remainder) {
		part++
	}
	return part
}

// Turn returns the turn for Part at an endpoint in a period, so that in one period different entries
// get the remainder of different endpoints.
func Turn(endpoint string, period uint64) uint64 { return xxhash.Sum64String(endpoint) + period }

// mix is the finaliser of SplitMix64: each bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
