package fanout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
)

var start = time.Unix(1000, 0)

// processes returns n members, distributed over the data centres round-robin.
func processes(n, dataCentres int) []fleet.Member {
	out := make([]fleet.Member, 0, n)
	for i := range n {
		out = append(out, fleet.Member{Name: fmt.Sprintf("p%03d", i), DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	return out
}

func checkSubgroups(t *testing.T, processes []fleet.Member, subgroups []Subgroup, maxSize int) {
	t.Helper()
	dataCentreOf := map[string]string{}
	for _, p := range processes {
		dataCentreOf[p.Name] = p.DataCentre
	}
	seen := map[string]bool{}
	for _, s := range subgroups {
		if len(s) == 0 || len(s) > maxSize {
			t.Errorf("a subgroup has %d members, want 1 to %d", len(s), maxSize)
		}
		for _, m := range s {
			if seen[m.Name] || dataCentreOf[m.Name] != dataCentreOf[s[0].Name] {
				t.Errorf("%s of %s is in subgroup %v, already in a subgroup: %v", m.Name, dataCentreOf[m.Name], s, seen[m.Name])
			}
			seen[m.Name] = true
		}
	}
	if len(seen) != len(processes) {
		t.Errorf("%d of %d processes are in a subgroup", len(seen), len(processes))
	}
}

// Guards against a process that is in no subgroup, and so never reached, or in two, so
// that two delegates answer for it, at any number of processes.
func TestEachProcessIsInOneSubgroup(t *testing.T) {
	tree := &Tree{MaxDirect: 16, MaxSize: 13}
	for _, c := range []struct{ processes, dataCentres, maxSize, subgroups int }{
		{0, 1, 0, 0},
		{1, 1, 1, 1},
		{11, 3, 1, 11},
		{16, 2, 1, 16},
		{17, 1, 13, 2},
		{71, 3, 13, 6},
		{128, 5, 13, 10},
		{260, 5, 13, 20},
		{40, 40, 1, 40},
	} {
		t.Run(fmt.Sprintf("%d in %d", c.processes, c.dataCentres), func(t *testing.T) {
			ps := processes(c.processes, c.dataCentres)
			subgroups := tree.Subgroups(ps)
			checkSubgroups(t, ps, subgroups, c.maxSize)
			if len(subgroups) != c.subgroups {
				t.Errorf("%d subgroups, want %d", len(subgroups), c.subgroups)
			}
			slices.Reverse(ps)
			if again := tree.Subgroups(ps); fmt.Sprint(again) != fmt.Sprint(subgroups) {
				t.Error("the subgroups depend on the order of the processes")
			}
		})
	}
}

// Guards against one process that forwards the messages of all groups.
func TestDelegatesAreSpread(t *testing.T) {
	const groups, members = 250, 60
	carried := map[string]int{}
	for i := range groups {
		tree := &Tree{MaxDirect: 1, MaxSize: 64, Spread: fmt.Sprint("group", i)}
		carried[tree.Delegate(tree.Subgroups(processes(members, 1))[0]).Name]++
	}
	for name, n := range carried {
		if n > 4*groups/members {
			t.Errorf("%s forwards the messages of %d groups of %d", name, n, groups)
		}
	}
}

// Guards against a subgroup that is repeatedly unreachable because a frozen delegate
// is retried.
func TestFailedDelegateComesLast(t *testing.T) {
	tree := &Tree{MaxDirect: 1, MaxSize: 3}
	s := tree.Subgroups(processes(3, 1))[0]
	want := []string{"p000", "p001", "p002", "p000", "p001"}
	for i, name := range want {
		if d := tree.Delegate(s).Name; d != name {
			t.Fatalf("after %d failures the delegate is %s, want %s", i, d, name)
		}
		tree.NoteFailure(tree.Delegate(s).Name, start.Add(time.Duration(i)*time.Second))
	}
}
