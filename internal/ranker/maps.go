package ranker

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

// mapsKept is how many of its last maps an agent keeps: the one in force, the next
// one, and two that were given up.
const mapsKept = 4

// mapLog is an agent's memory of the maps that it was told of, by version. No
// version ever names two maps.
type mapLog struct {
	mu   sync.Mutex
	sets map[uint64][][][]int
}

// keep remembers a map and forgets the oldest.
func (l *mapLog) keep(version uint64, sets [][][]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sets == nil {
		l.sets = map[uint64][][][]int{}
	}
	l.sets[version] = sets
	for len(l.sets) > mapsKept {
		delete(l.sets, slices.Min(slices.Collect(maps.Keys(l.sets))))
	}
}

// read returns the map that a message tells, or false when it is told by changes
// of one that isn't known.
//
// Guard: were an agent's map to differ from the others' by a single place, the
// group would run a step with two maps. So what is read by changes counts only if
// its digest is that of the leader's map.
func (l *mapLog) read(p *fleetpb.Prepare) ([][][]int, bool) {
	if p.GetBase() == 0 && p.GetInTurn() == nil {
		return setsFrom(p.GetSets()), true
	}
	base, ok := l.base(p)
	if !ok {
		return nil, false
	}
	out, ok := apply(base, p)
	return out, ok && digest(out) == p.GetDigest()
}

// base returns the map of which a message tells changes.
func (l *mapLog) base(p *fleetpb.Prepare) ([][][]int, bool) {
	if t := p.GetInTurn(); t != nil {
		return inTurn(t)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	base, ok := l.sets[p.GetBase()]
	return base, ok
}

// apply returns a map with the changes of a message.
func apply(base [][][]int, p *fleetpb.Prepare) ([][][]int, bool) {
	out := make([][][]int, len(base))
	for s := range base {
		out[s] = slices.Clone(base[s])
	}
	return out, changePlaces(out, p.GetChanges())
}

// changePlaces puts the experts of changes into a map. It reports false for changes
// that don't fit it.
func changePlaces(sets [][][]int, c *fleetpb.Changes) bool {
	counts, experts := c.GetCounts(), c.GetExperts()
	if len(sets) == 0 || len(counts) != len(c.GetPlaces()) {
		return false
	}
	ranks, place := len(sets[0]), 0
	for i, d := range c.GetPlaces() {
		place += int(d)
		n := int(counts[i])
		if place >= len(sets)*ranks || n > len(experts) {
			return false
		}
		sets[place/ranks][place%ranks] = ints(experts[:n])
		experts = experts[n:]
	}
	return len(experts) == 0
}

// mostExperts bounds the experts of a map that is told by its shape alone, so that
// a garbled message takes no memory.
const mostExperts = 1 << 20

// inTurn returns the map of a shape in which each expert is on one rank, the first
// on the first rank and so on in turn. It reports false for a shape that is none.
func inTurn(t *fleetpb.InTurn) ([][][]int, bool) {
	sets, ranks, experts := int(t.GetSets()), int(t.GetRanks()), int(t.GetExperts())
	if ranks == 0 || experts == 0 || sets == 0 || experts > mostExperts/sets || ranks > experts {
		return nil, false
	}
	out := make([][][]int, sets)
	for s := range out {
		out[s] = make([][]int, ranks)
		for e := range experts {
			out[s][e%ranks] = append(out[s][e%ranks], e)
		}
	}
	return out, true
}

// shapeInTurn returns the shape of a map in which experts are in turn, or nil for
// any other.
func shapeInTurn(sets [][][]int) *fleetpb.InTurn {
	if len(sets) == 0 {
		return nil
	}
	experts := 0
	for _, rank := range sets[0] {
		experts += len(rank)
	}
	t := &fleetpb.InTurn{Sets: uint32(len(sets)), Ranks: uint32(len(sets[0])), Experts: uint32(experts)}
	plain, ok := inTurn(t)
	if !ok || digest(plain) != digest(sets) {
		return nil
	}
	return t
}

// prepareProto is the message that has an agent prepare a map: by what differs
// from the map in force, or whole where that is not known. Nobody was told of the
// map with which a group begins, but it follows from its shape.
//
// Load: 63 to 72 ranks behind a line of 8 Mbit/s. Whole, a map for all takes 250 to
// 500 kB, a quarter to half a second in which the group waits for it; the changes
// of one copy a rank take a tenth of that. Harm prevented: while whole maps filled
// the leader's line after a group had formed, agents did not answer in time and
// were passed over, and the first change held the group for over a second.
func prepareProto(o lockstep.Prepare, inForce *lockstep.Goal) *fleetpb.Prepare {
	p := &fleetpb.Prepare{Version: o.Version, Digest: digest(o.Sets)}
	if inForce != nil && sameShape(inForce.Sets, o.Sets) {
		p.Base = inForce.Version
		if p.Base == 0 {
			p.InTurn = shapeInTurn(inForce.Sets)
		}
	}
	if p.Base == 0 && p.InTurn == nil {
		p.Sets = setsProto(o.Sets)
		return p
	}
	p.Changes = changesProto(inForce.Sets, o.Sets)
	return p
}

// changesProto tells in what a map differs from another of the same shape.
func changesProto(before, after [][][]int) *fleetpb.Changes {
	c := &fleetpb.Changes{}
	last := 0
	for s, ranks := range after {
		for r, experts := range ranks {
			if slices.Equal(experts, before[s][r]) {
				continue
			}
			place := s*len(ranks) + r
			c.Places = append(c.Places, uint32(place-last))
			c.Counts = append(c.Counts, uint32(len(experts)))
			c.Experts = append(c.Experts, uints(experts)...)
			last = place
		}
	}
	return c
}

// digest returns a hash of a map, of its sizes and the order of experts too.
func digest(sets [][][]int) uint64 {
	h := xxhash.New()
	number := func(n int) {
		var b [4]byte
		binary.LittleEndian.PutUint32(b[:], uint32(n))
		if _, err := h.Write(b[:]); err != nil {
			panic(err) // hashes never fail
		}
	}
	number(len(sets))
	for _, ranks := range sets {
		number(len(ranks))
		for _, experts := range ranks {
			number(len(experts))
			for _, e := range experts {
				number(e)
			}
		}
	}
	return h.Sum64()
}

func sameShape(a, b [][][]int) bool {
	if len(a) != len(b) {
		return false
	}
	for s := range a {
		if len(a[s]) != len(b[s]) {
			return false
		}
	}
	return true
}

// inOrder sorts the experts of each rank, in place, and returns the map.
//
// Guard: agents that are told a map by changes must have engines prepare the very
// map that the others do, and engines compare the order of experts too. A leader
// that learnt the map in force from the ranks has it in their order; so all maps
// have one.
func inOrder(sets [][][]int) [][][]int {
	for _, ranks := range sets {
		for _, experts := range ranks {
			slices.Sort(experts)
		}
	}
	return sets
}

func setsProto(sets [][][]int) []*fleetpb.SetOfRanks {
	out := make([]*fleetpb.SetOfRanks, 0, len(sets))
	for _, ranks := range sets {
		set := &fleetpb.SetOfRanks{}
		for _, experts := range ranks {
			set.Ranks = append(set.Ranks, &fleetpb.Experts{Experts: uints(experts)})
		}
		out = append(out, set)
	}
	return out
}

func setsFrom(p []*fleetpb.SetOfRanks) [][][]int {
	out := make([][][]int, 0, len(p))
	for _, set := range p {
		ranks := make([][]int, 0, len(set.GetRanks()))
		for _, experts := range set.GetRanks() {
			ranks = append(ranks, ints(experts.GetExperts()))
		}
		out = append(out, ranks)
	}
	return out
}

func uints(experts []int) []uint32 {
	out := make([]uint32, 0, len(experts))
	for _, e := range experts {
		out = append(out, uint32(e))
	}
	return out
}

func ints(experts []uint32) []int {
	out := make([]int, 0, len(experts))
	for _, e := range experts {
		out = append(out, int(e))
	}
	return out
}
