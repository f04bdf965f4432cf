package fleet

import (
	"testing"

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
	hash := TargetListHash(one)
	if l.Resolve(hash, nil) != nil {
		t.Error("a list that was never received is found")
	}
	if got := l.Resolve(hash, one); len(got) != 1 {
		t.Error("a received list isn't returned")
	}
	if got := l.Resolve(hash, nil); len(got) != 1 || got[0] != one[0] {
		t.Error("a list received earlier isn't found")
	}
	for i := range uint64(2 * maxLists) {
		l.Resolve(i, one)
	}
	if len(l.byHash) > maxLists {
		t.Errorf("%d lists are cached", len(l.byHash))
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
