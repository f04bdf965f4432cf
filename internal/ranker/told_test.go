package ranker

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

// A leader hears counts as differences. Replies are lost, its agent is restarted
// and the engine counts anew; none of this may make counts of what was none.
func TestCountsAreHeardWhole(t *testing.T) {
	agent, leader := newCountLog(start), &heardCounts{}
	counts := []uint64{1000, 2000, 3000}
	hear := func() []uint64 {
		p := &fleetpb.LookReply{}
		agent.tell(p, slices.Clone(counts), leader.id("a"))
		return leader.join("a", p)
	}
	check := func(step string, got []uint64) {
		t.Helper()
		if !slices.Equal(got, counts) {
			t.Fatalf("%s: %v, want %v", step, got, counts)
		}
	}
	check("first", hear())
	counts = []uint64{1004, 2000, 3001}
	check("difference", hear())
	for range countsKept + 1 {
		agent.tell(&fleetpb.LookReply{}, slices.Clone(counts), leader.id("a"))
	}
	counts = []uint64{1010, 2003, 3001}
	check("after lost replies", hear())
	agent = newCountLog(start.Add(countsKept))
	check("agent restarted", hear())
	counts = []uint64{3, 0, 1}
	check("engine restarted", hear())
	counts = []uint64{4, 1}
	check("another size", hear())
	stray := &fleetpb.LookReply{Counts: []uint64{1, 1}, CountsId: 9, CountsSince: 8}
	if got := leader.join("a", stray); got != nil {
		t.Fatalf("differences from what was not heard gave %v", got)
	}
	check("after it", hear())
}

// bigMap is a map of 63 ranks with 8 sets of 252 experts, 5 places each.
func bigMap(offset int) [][][]int {
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

// A leader's line of 8 Mbit/s carries a map to 63 agents. Told whole that is 250 kB,
// a quarter second of each change; told by changes of one copy a rank, it is a
// tenth. An agent that lacks the base asks for the whole.
func TestMapsAreToldByChanges(t *testing.T) {
	inForce := &lockstep.Goal{Version: 7, Sets: bigMap(0)}
	next := lockstep.Prepare{Version: 8, Sets: bigMap(0)}
	for r := range 63 {
		next.Sets[r%8][r] = append(slices.Clone(next.Sets[r%8][r][1:]), 251)
	}
	// A map that was learnt from the ranks may name experts in another order, which
	// engines take for another map.
	slices.Reverse(next.Sets[0][8])
	whole, changes := prepareProto(next, nil), prepareProto(next, inForce)
	if a, b := proto.Size(whole), proto.Size(changes); 5*b > a {
		t.Errorf("whole %d bytes, by changes %d", a, b)
	}
	agent := &mapLog{}
	if _, ok := agent.read(changes); ok {
		t.Error("changes were read without their base")
	}
	agent.keep(inForce.Version, inForce.Sets)
	for _, p := range []*fleetpb.Prepare{whole, changes} {
		got, ok := agent.read(p)
		if !ok || !sameMap(got, next.Sets) {
			t.Errorf("read %v: another map than was told", ok)
		}
	}
	other := &mapLog{}
	other.keep(inForce.Version, bigMap(1))
	if _, ok := other.read(changes); ok {
		t.Error("changes of another map than the agent has were taken")
	}
	if !sameMap(agent.sets[7], bigMap(0)) {
		t.Error("the base was changed by reading changes")
	}
	for v := range uint64(10) {
		agent.keep(10+v, nil)
	}
	if len(agent.sets) != mapsKept {
		t.Errorf("%d maps kept", len(agent.sets))
	}
}

// A group of 72 ranks has formed anew behind lines of 8 Mbit/s, and its first map is
// due. Nobody was told of the one that it begins with; told whole to each agent, the
// next one fills the leader's line for half a second, agents are taken for silent,
// and the first change holds every stream for over a second.
func TestFirstMapIsToldByChanges(t *testing.T) {
	begin, ok := inTurn(&fleetpb.InTurn{Sets: 12, Ranks: 72, Experts: 144})
	if !ok {
		t.Fatal("no map of 12 sets with 144 experts on 72 ranks")
	}
	next := lockstep.Prepare{Version: 8}
	for _, ranks := range begin {
		next.Sets = append(next.Sets, slices.Clone(ranks))
	}
	for r := range 72 {
		next.Sets[r%12][r] = append(slices.Clone(next.Sets[r%12][r]), (r+7)%72)
	}
	p := prepareProto(next, &lockstep.Goal{Sets: begin})
	if a, b := proto.Size(prepareProto(next, nil)), proto.Size(p); 5*b > a {
		t.Errorf("whole %d bytes, by changes %d", a, b)
	}
	got, ok := (&mapLog{}).read(p)
	if !ok || !sameMap(got, next.Sets) {
		t.Errorf("read %v: another map than was told", ok)
	}
	p.InTurn.Ranks = 71
	if _, ok := (&mapLog{}).read(p); ok {
		t.Error("changes of another shape were taken")
	}
	p.InTurn.Sets = 1 << 31
	if _, ok := (&mapLog{}).read(p); ok {
		t.Error("a shape without bound was taken")
	}
	other := prepareProto(next, &lockstep.Goal{Sets: bigMap(1)[:1]})
	if other.GetInTurn() != nil || len(other.GetSets()) == 0 {
		t.Error("a map that isn't in turn was told by its shape")
	}
}

func sameMap(a, b [][][]int) bool {
	return sameShape(a, b) && slices.EqualFunc(a, b, func(a, b [][]int) bool { return slices.EqualFunc(a, b, slices.Equal) })
}
