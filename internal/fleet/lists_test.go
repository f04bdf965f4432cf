package fleet

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// Guards against loads that are attributed to the wrong engines because two lists have
// the same hash, and against a process that requests the same list repeatedly.
func TestListsAreCachedByHash(t *testing.T) {
	one := []*fleetpb.Target{{Agent: "a", Address: "1:1", Endpoint: "1:2"}}
	two := []*fleetpb.Target{{Agent: "a1", Address: ":1", Endpoint: "1:2"}}
	if TargetListHash(one) == TargetListHash(two) || TargetListHash(one) != TargetListHash(one[:1]) {
		t.Fatal("different lists have the same hash, or one list has different hashes")
	}
	l := &TargetLists{}
	hash, now := TargetListHash(one), time.Now()
	if l.Resolve(hash, nil, now) != nil {
		t.Error("a list that was never received is found")
	}
	if got := l.Resolve(hash, one, now); len(got) != 1 {
		t.Error("a received list isn't returned")
	}
	if got := l.Resolve(hash, nil, now); len(got) != 1 || got[0] != one[0] {
		t.Error("a list received earlier isn't found")
	}
}

// Groups of 12 ranks send messages ten times a second. Guards against lists that are
// requested again because there are many groups.
func TestListsOfAllGroupsStayCached(t *testing.T) {
	for _, groups := range []int{16, 83, 250, 1000, 2000} {
		l, now := &TargetLists{}, time.Now()
		for round := range 20 {
			for g := range groups {
				now = now.Add(100 * time.Millisecond / time.Duration(groups))
				var targets []*fleetpb.Target
				if round == 0 {
					targets = make([]*fleetpb.Target, 12)
				}
				if l.Resolve(uint64(g), targets, now) == nil {
					t.Fatalf("%d groups: round %d: the list of group %d is unknown", groups, round, g)
				}
			}
		}
	}
}

// Guards against memory that grows as the members of groups change, and against the lists
// in use being dropped for that.
func TestCachedListsAreBounded(t *testing.T) {
	const inUse = 1 << 40
	l, now := &TargetLists{}, time.Now()
	l.Resolve(inUse, make([]*fleetpb.Target, 129), now)
	for i := range uint64(3000) {
		now = now.Add(time.Millisecond)
		l.Resolve(i, make([]*fleetpb.Target, 129), now)
		if l.Resolve(inUse, nil, now) == nil {
			t.Fatalf("after %d others a list in use is unknown", i)
		}
		if l.targets > maxCachedTargets {
			t.Fatalf("%d targets are cached", l.targets)
		}
	}
	l.Resolve(0, make([]*fleetpb.Target, 1), now.Add(2*listRetention))
	if l.targets != 1 || len(l.byHash) != 1 {
		t.Errorf("%d targets of %d lists are cached though one list is in use", l.targets, len(l.byHash))
	}
}

// Guards against targets that are sent with each message, or not sent again to a process
// that has restarted.
func TestListsAreSentOncePerProcess(t *testing.T) {
	sent := &SentLists{}
	if sent.MarkSent("p", 0) || !sent.MarkSent("p", 0) || sent.MarkSent("p", 8) {
		t.Error("a list is not sent exactly once per process")
	}
	if sent.Forget("p"); sent.MarkSent("p", 8) {
		t.Error("a list is not sent again to a process that lacks it")
	}
}
