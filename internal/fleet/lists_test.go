package fleet

import (
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// Guards against figures that are read for other engines than they are of, and
// against a process that asks for a list again and again.
func TestListsAreKnownByTheirNames(t *testing.T) {
	one := []*fleetpb.Target{{Agent: "a", Address: "1:1", Endpoint: "1:2"}}
	two := []*fleetpb.Target{{Agent: "a1", Address: ":1", Endpoint: "1:2"}}
	if ListName(one) == ListName(two) || ListName(one) != ListName(one[:1]) {
		t.Fatal("the name of a list doesn't follow from its targets")
	}
	l := &Lists{}
	name := ListName(one)
	if l.Learn(name, nil) != nil {
		t.Error("a list is known that was never told")
	}
	if got := l.Learn(name, one); len(got) != 1 {
		t.Error("a list isn't known as it is told")
	}
	if got := l.Learn(name, nil); len(got) != 1 || got[0] != one[0] {
		t.Error("a list that was told isn't known")
	}
	for i := range uint64(2 * listsKept) {
		l.Learn(i, one)
	}
	if len(l.byName) > listsKept {
		t.Errorf("%d lists are remembered", len(l.byName))
	}
}

// Guards against targets that are told each time, or never to a process that has
// started anew.
func TestListsAreToldOnce(t *testing.T) {
	told := &Told{}
	if told.Knows("p", 0) || !told.Knows("p", 0) || told.Knows("p", 8) {
		t.Error("a list is not told once")
	}
	if told.Forget("p"); told.Knows("p", 8) {
		t.Error("a list is not told again to a process that lacks it")
	}
}
