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

// maxCachedMaps is how many maps an agent keeps: the map in force, the next one, and
// two that were given up.
const maxCachedMaps = 4

// mapCache holds the maps that an agent has received, by version. A version never
// identifies two different maps. It is safe for concurrent use.
type mapCache struct {
	mu   sync.Mutex
	sets map[uint64][][][]int
}

// add stores a map and drops those with the lowest versions beyond maxCachedMaps.
func (c *mapCache) add(version uint64, sets [][][]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sets == nil {
		c.sets = map[uint64][][][]int{}
	}
	c.sets[version] = sets
	for len(c.sets) > maxCachedMaps {
		delete(c.sets, slices.Min(slices.Collect(maps.Keys(c.sets))))
	}
}

// decode returns the map in a message. It reports false if the map is encoded as
// changes to one that is not cached, or if the changes do not yield the leader's map.
//
// If an agent's map differed from the others' in a single place, the group would run
// a step with two maps. A map decoded from changes is therefore accepted only if its
// digest equals that of the leader's map.
func (c *mapCache) decode(msg *fleetpb.Prepare) ([][][]int, bool) {
	if msg.GetBase() == 0 && msg.GetInTurn() == nil {
		return setsFromProto(msg.GetSets()), true
	}
	base, ok := c.base(msg)
	if !ok {
		return nil, false
	}
	out, ok := applyChanges(base, msg)
	return out, ok && digest(out) == msg.GetDigest()
}

// base returns the map to which a message's changes apply.
func (c *mapCache) base(msg *fleetpb.Prepare) ([][][]int, bool) {
	if shape := msg.GetInTurn(); shape != nil {
		return roundRobinMap(shape)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	base, ok := c.sets[msg.GetBase()]
	return base, ok
}

// applyChanges returns a copy of base with a message's changes, and false if they do
// not fit.
func applyChanges(base [][][]int, msg *fleetpb.Prepare) ([][][]int, bool) {
	out := make([][][]int, len(base))
	for s := range base {
		out[s] = slices.Clone(base[s])
	}
	return out, setPlaces(out, msg.GetChanges())
}

// setPlaces applies changes to a map in place. It reports false for changes that do
// not fit the map. A place is one rank's list of experts in one set; places are
// numbered set by set and encoded as differences from the previous one.
func setPlaces(sets [][][]int, changes *fleetpb.Changes) bool {
	counts, experts := changes.GetCounts(), changes.GetExperts()
	if len(sets) == 0 || len(counts) != len(changes.GetPlaces()) {
		return false
	}
	ranks, place := len(sets[0]), 0
	for i, delta := range changes.GetPlaces() {
		place += int(delta)
		n := int(counts[i])
		if place >= len(sets)*ranks || n > len(experts) {
			return false
		}
		sets[place/ranks][place%ranks] = toInts(experts[:n])
		experts = experts[n:]
	}
	return len(experts) == 0
}

// maxExperts bounds the number of experts, over all sets, of a map that is encoded by
// its shape alone, so that a malformed message cannot exhaust memory.
const maxExperts = 1 << 20

// roundRobinMap returns the map of a shape in which each expert is on one rank,
// assigned to the ranks in round-robin order. It reports false for an invalid shape
// or one with more than maxExperts.
func roundRobinMap(shape *fleetpb.InTurn) ([][][]int, bool) {
	sets, ranks, experts := int(shape.GetSets()), int(shape.GetRanks()), int(shape.GetExperts())
	if ranks == 0 || experts == 0 || sets == 0 || experts > maxExperts/sets || ranks > experts {
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

// roundRobinShape returns the shape of a round-robin map, or nil for any other map.
func roundRobinShape(sets [][][]int) *fleetpb.InTurn {
	if len(sets) == 0 {
		return nil
	}
	experts := 0
	for _, rank := range sets[0] {
		experts += len(rank)
	}
	shape := &fleetpb.InTurn{Sets: uint32(len(sets)), Ranks: uint32(len(sets[0])), Experts: uint32(experts)}
	roundRobin, ok := roundRobinMap(shape)
	if !ok || digest(roundRobin) != digest(sets) {
		return nil
	}
	return shape
}

// prepareProto encodes the order to prepare a map: as changes to the map in force, or
// in full if that is not known or has another shape. The map with which a group
// begins, version 0, was never sent to any agent, but follows from its shape if it is
// a round-robin map.
//
// For 63 to 72 ranks behind an 8 Mbit/s link, full maps for all agents take 250 to
// 500 kB, which is a quarter to half a second for which the group waits; changes of
// one copy per rank take a tenth of that. While full maps filled the leader's link
// after a group had formed, agents did not answer in time and were no longer asked,
// and the first change held the group for over a second.
func prepareProto(order lockstep.Prepare, inForce *lockstep.Goal) *fleetpb.Prepare {
	msg := &fleetpb.Prepare{Version: order.Version, Digest: digest(order.Sets)}
	if inForce != nil && sameShape(inForce.Sets, order.Sets) {
		msg.Base = inForce.Version
		if msg.Base == 0 {
			msg.InTurn = roundRobinShape(inForce.Sets)
		}
	}
	if msg.Base == 0 && msg.InTurn == nil {
		msg.Sets = setsProto(order.Sets)
		return msg
	}
	msg.Changes = changesProto(inForce.Sets, order.Sets)
	return msg
}

// changesProto encodes the differences between two maps of the same shape.
func changesProto(before, after [][][]int) *fleetpb.Changes {
	changes := &fleetpb.Changes{}
	last := 0
	for s, ranks := range after {
		for r, experts := range ranks {
			if slices.Equal(experts, before[s][r]) {
				continue
			}
			place := s*len(ranks) + r
			changes.Places = append(changes.Places, uint32(place-last))
			changes.Counts = append(changes.Counts, uint32(len(experts)))
			changes.Experts = append(changes.Experts, toUint32s(experts)...)
			last = place
		}
	}
	return changes
}

// digest returns a hash of a map that covers its dimensions and the order of experts.
func digest(sets [][][]int) uint64 {
	h := xxhash.New()
	writeInt := func(n int) {
		var b [4]byte
		binary.LittleEndian.PutUint32(b[:], uint32(n))
		if _, err := h.Write(b[:]); err != nil {
			panic(err) // xxhash never returns an error
		}
	}
	writeInt(len(sets))
	for _, ranks := range sets {
		writeInt(len(ranks))
		for _, experts := range ranks {
			writeInt(len(experts))
			for _, e := range experts {
				writeInt(e)
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

// sortExperts sorts the experts of each rank in place and returns the map.
//
// Engines compare maps including the order of experts, and agents that receive
// changes must give their engines exactly the same map as the others. A leader that
// has read the map in force from the ranks has it in their order, so all maps are
// sorted.
func sortExperts(sets [][][]int) [][][]int {
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
			set.Ranks = append(set.Ranks, &fleetpb.Experts{Experts: toUint32s(experts)})
		}
		out = append(out, set)
	}
	return out
}

func setsFromProto(msgs []*fleetpb.SetOfRanks) [][][]int {
	out := make([][][]int, 0, len(msgs))
	for _, set := range msgs {
		ranks := make([][]int, 0, len(set.GetRanks()))
		for _, experts := range set.GetRanks() {
			ranks = append(ranks, toInts(experts.GetExperts()))
		}
		out = append(out, ranks)
	}
	return out
}

func toUint32s(experts []int) []uint32 {
	out := make([]uint32, 0, len(experts))
	for _, e := range experts {
		out = append(out, uint32(e))
	}
	return out
}

func toInts(experts []uint32) []int {
	out := make([]int, 0, len(experts))
	for _, e := range experts {
		out = append(out, int(e))
	}
	return out
}
