package fleet

import (
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// Guards against loads that are attributed to the wrong engines, and against a process
// that requests the same list repeatedly.
func TestListsAreRememberedByName(t *testing.T) {
	one := []*fleetpb.Target{{Agent: "a", Address: "1:1", Endpoint: "1:2"}}
	two := []*fleetpb.Target{{Agent: "a1", Address: ":1", Endpoint: "1:2"}}
	if TargetListHash(one) == TargetListHash(two) || TargetListHash(one) != TargetListHash(one[:1]) {
		t.Fatal("the name of a list isn't a function of its targets")
	}
	l := &TargetLists{}
	name := TargetListHash(one)
	if l.Resolve(name, nil) != nil {
		t.Error("a list that was never received is found")
	}
	if got := l.Resolve(name, one); len(got) != 1 {
		t.Error("a received list isn't returned")
	}
	if got := l.Resolve(name, nil); len(got) != 1 || got[0] != one[0] {
		t.Error("a list received earlier isn't found")
	}
	for i := range uint64(2 * maxLists) {
		l.Resolve(i, one)
	}
	if len(l.byName) > maxLists {
		t.Errorf("%d lists are cached", len(l.byName))
	}
}

// Guards against targets that are sent with each message, or never to a process that
// has restarted.
func TestListsAreSentOncePerProcess(t *testing.T) {
	sent := &SentLists{}
	if sent.MarkSent("p", 0) || !sent.MarkSent("p", 0) || sent.MarkSent("p", 8) {
		t.Error("a list is not sent exactly once")
	}
	if sent.Forget("p"); sent.MarkSent("p", 8) {
		t.Error("a list is not sent again to a process that lacks it")
	}
}
