package ranker

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

// Counts are transferred as differences. Guards against wrong counts after lost
// replies, a restart of the agent, or a restart of the engine.
func TestCountsArriveComplete(t *testing.T) {
	agent, leader := newCountHistory(start), &countDecoder{}
	counts := []uint64{1000, 2000, 3000}
	transfer := func() []uint64 {
		resp := &fleetpb.LookReply{}
		agent.encode(resp, slices.Clone(counts), leader.lastID("a"))
		return leader.decode("a", resp)
	}
	check := func(step string, got []uint64) {
		t.Helper()
		if !slices.Equal(got, counts) {
			t.Fatalf("%s: %v, want %v", step, got, counts)
		}
	}
	check("first", transfer())
	counts = []uint64{1004, 2000, 3001}
	check("difference", transfer())
	for range maxCountSnapshots + 1 {
		agent.encode(&fleetpb.LookReply{}, slices.Clone(counts), leader.lastID("a"))
	}
	counts = []uint64{1010, 2003, 3001}
	check("after lost replies", transfer())
	agent = newCountHistory(start.Add(maxCountSnapshots))
	check("agent restarted", transfer())
	counts = []uint64{3, 0, 1}
	check("engine restarted", transfer())
	counts = []uint64{4, 1}
	check("different size", transfer())
	stray := &fleetpb.LookReply{Counts: []uint64{1, 1}, CountsId: 9, CountsSince: 8}
	if got := leader.decode("a", stray); got != nil {
		t.Fatalf("differences from unknown counts gave %v", got)
	}
	check("after unknown differences", transfer())
}

// largeMap is a map of 63 ranks with 8 sets of 252 experts and 5 slots per rank and
// set.
func largeMap(offset int) [][][]int {
	sets := make([][][]int, 8)
	for s := range sets {
		for r := range 63 {
			experts := make([]int, 5)
			for i := range experts {
				experts[i] = (r + offset + 63*i) % 252
			}
			sets[s] = append(sets[s], experts)
		}
	}
	return sets
}

// Full maps for 63 agents are 250 kB, a quarter of a second of the leader's 8 Mbit/s
// link in each change; as changes of one copy per rank they take a tenth. Guards
// against larger messages and against changes applied to a missing or different base.
func TestMapsAreSentAsChanges(t *testing.T) {
	inForce := &lockstep.Goal{Version: 7, Sets: largeMap(0)}
	next := lockstep.Prepare{Version: 8, Sets: largeMap(0)}
	for r := range 63 {
		next.Sets[r%8][r] = append(slices.Clone(next.Sets[r%8][r][1:]), 251)
	}
	// A map read from the ranks may list experts in another order, which engines
	// treat as a different map.
	slices.Reverse(next.Sets[0][8])
	full, changes := prepareProto(next, nil), prepareProto(next, inForce)
	if a, b := proto.Size(full), proto.Size(changes); 5*b > a {
		t.Errorf("full map has %d bytes, changes %d", a, b)
	}
	agent := &mapCache{}
	if _, ok := agent.decode(changes); ok {
		t.Error("changes were decoded without their base")
	}
	agent.add(inForce.Version, inForce.Sets)
	for _, msg := range []*fleetpb.Prepare{full, changes} {
		got, ok := agent.decode(msg)
		if !ok || !sameMap(got, next.Sets) {
			t.Errorf("decoded %v: not the map that was encoded", ok)
		}
	}
	other := &mapCache{}
	other.add(inForce.Version, largeMap(1))
	if _, ok := other.decode(changes); ok {
		t.Error("changes to a map other than the agent's were accepted")
	}
	if !sameMap(agent.sets[7], largeMap(0)) {
		t.Error("decoding changes modified the base")
	}
	for v := range uint64(10) {
		agent.add(10+v, nil)
	}
	if len(agent.sets) != maxCachedMaps {
		t.Errorf("%d maps kept", len(agent.sets))
	}
}

// A group of 72 ranks has just formed behind 8 Mbit/s links, and no agent has
// received its initial map. Guards against sending the next map in full to each
// agent: this fills the leader's link for half a second, agents count as unreachable,
// and the first change holds every stream for over a second.
func TestFirstMapIsSentAsChanges(t *testing.T) {
	initial, ok := roundRobinMap(&fleetpb.InTurn{Sets: 12, Ranks: 72, Experts: 144})
	if !ok {
		t.Fatal("no map of 12 sets with 144 experts on 72 ranks")
	}
	next := lockstep.Prepare{Version: 8}
	for _, ranks := range initial {
		next.Sets = append(next.Sets, slices.Clone(ranks))
	}
	for r := range 72 {
		next.Sets[r%12][r] = append(slices.Clone(next.Sets[r%12][r]), (r+7)%72)
	}
	msg := prepareProto(next, &lockstep.Goal{Sets: initial})
	if a, b := proto.Size(prepareProto(next, nil)), proto.Size(msg); 5*b > a {
		t.Errorf("full map has %d bytes, changes %d", a, b)
	}
	got, ok := (&mapCache{}).decode(msg)
	if !ok || !sameMap(got, next.Sets) {
		t.Errorf("decoded %v: not the map that was encoded", ok)
	}
	msg.InTurn.Ranks = 71
	if _, ok := (&mapCache{}).decode(msg); ok {
		t.Error("changes to another shape were accepted")
	}
	msg.InTurn.Sets = 1 << 31
	if _, ok := (&mapCache{}).decode(msg); ok {
		t.Error("a shape of unbounded size was accepted")
	}
	other := prepareProto(next, &lockstep.Goal{Sets: largeMap(1)[:1]})
	if other.GetInTurn() != nil || len(other.GetSets()) == 0 {
		t.Error("a map that is not round-robin was encoded by its shape")
	}
}

func sameMap(a, b [][][]int) bool {
	return sameShape(a, b) && slices.EqualFunc(a, b, func(a, b [][]int) bool { return slices.EqualFunc(a, b, slices.Equal) })
}
