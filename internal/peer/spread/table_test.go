package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func newNodes(n, dataCentres int) []Node {
	var all []Node
	for i := range n {
		all = append(all, Node{Name: fmt.Sprintf("e%d", i), DataCentre: fmt.Sprintf("d%d", i%dataCentres)})
	}
	return all
}

func newTable(all []Node, i int) *Table {
	t := &Table{Self: all[i], Seed: 1}
	t.Set(append(append([]Node(nil), all[:i]...), all[i+1:]...))
	return t
}

// countReaders returns the number of readers in the data centre when each entry finds
// the given entries unresponsive.
func countReaders(all []Node, dc string, unresponsive ...string) int {
	n := 0
	for i, node := range all {
		t := newTable(all, i)
		for _, s := range unresponsive {
			if s != node.Name {
				t.RecordResponse(s, false)
			}
		}
		if node.DataCentre == dc && t.IsReader() {
			n++
		}
	}
	return n
}

func TestEachDataCentreHasReaders(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 9, 35, 120} {
		want := min(n, ReadersPerDataCentre)
		if got := countReaders(newNodes(n, 1), "d0"); got != want {
			t.Errorf("%d entries: %d readers, want %d", n, got, want)
		}
	}
}

func TestDifferingListsHaveEnoughReaders(t *testing.T) {
	all := newNodes(35, 1)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		n := 0
		for i := range all {
			// Each entry lacks a random tenth of the list.
			table := &Table{Self: all[i]}
			var others []Node
			for j := range all {
				if j != i && rng.IntN(10) > 0 {
					others = append(others, all[j])
				}
			}
			table.Set(others)
			if table.IsReader() {
				n++
			}
		}
		if n < ReadersPerDataCentre {
			t.Fatalf("%d watch", n)
		}
	}
}

func TestIsolatedEntryIsReader(t *testing.T) {
	all := newNodes(35, 1)
	for i := range all {
		table := newTable(all, i)
		for _, o := range all {
			if o != all[i] {
				table.RecordResponse(o.Name, false)
			}
		}
		if !table.IsReader() {
			t.Errorf("%s finds all others unresponsive and is not a reader", all[i].Name)
		}
	}
}

func TestResponsiveReaderIsRestored(t *testing.T) {
	all := newNodes(20, 1)
	first := ""
	for i := range all {
		if r := newTable(all, i).readers(); len(r) > 0 {
			first = r[0].Name
		}
	}
	if got := countReaders(all, "d0", first); got != ReadersPerDataCentre+1 {
		// The unresponsive entry itself is still a reader, in addition to its replacement.
		t.Errorf("%d readers, want %d", got, ReadersPerDataCentre+1)
	}
	table := newTable(all, 0)
	before := len(table.readers())
	table.RecordResponse(first, false)
	table.RecordResponse(first, true)
	if len(table.readers()) != before {
		t.Error("a responsive entry is not a reader again")
	}
}

func TestRumourTargets(t *testing.T) {
	all := newNodes(60, 3)
	table := newTable(all, 0)
	unresponsive := all[3].Name
	table.RecordResponse(unresponsive, false)
	for range 200 {
		remote := 0
		seen := map[string]bool{all[0].Name: true, unresponsive: true}
		targets := table.RumourTargets()
		for _, n := range targets {
			if seen[n.Name] {
				t.Fatalf("%s is returned twice, is the entry itself or is unresponsive", n.Name)
			}
			seen[n.Name] = true
			if n.DataCentre != "d0" {
				remote++
			}
		}
		if len(targets) != Fanout || remote != 1 {
			t.Fatalf("%d entries returned, %d in other data centres", len(targets), remote)
		}
	}
	single := newTable(newNodes(8, 8), 0)
	if n := len(single.RumourTargets()); n != Fanout {
		t.Errorf("only entry of its data centre: %d entries returned", n)
	}
	if n := len(newTable(newNodes(1, 1), 0).RumourTargets()); n != 0 {
		t.Errorf("only entry: %d entries returned", n)
	}
}

// NextExchange must return only peers and readers, since connections to all entries
// would exceed the memory of a node. It must return each of them, and readers often.
func TestNextExchangeCoversPeersAndReaders(t *testing.T) {
	for _, n := range []int{2, 9, 30, 670} {
		all := newNodes(n, 19)
		table := newTable(all, 0)
		local, remote := table.peers()
		want := map[string]bool{}
		for _, p := range append(append(local, remote...), table.readers()...) {
			want[p.Name] = p != table.Self
		}
		returned := map[string]int{}
		for range 2000 {
			p, ok := table.NextExchange()
			if !ok {
				t.Fatal("NextExchange returned no entry")
			}
			returned[p.Name]++
		}
		for name := range returned {
			if !want[name] {
				t.Errorf("%d entries: %s was returned", n, name)
			}
		}
		for name, w := range want {
			if w && returned[name] == 0 {
				t.Errorf("%d entries: %s was never returned", n, name)
			}
		}
		if len(returned) > localPeers+18+ReadersPerDataCentre {
			t.Errorf("%d entries: %d different entries were returned", n, len(returned))
		}
		for _, r := range table.readers() {
			if r != table.Self && returned[r.Name] < 2000/readerInterval/ReadersPerDataCentre {
				t.Errorf("%d entries: reader %s was returned %d times in 2000 rounds", n, r.Name, returned[r.Name])
			}
		}
	}
}

// Guards against peers that split into two disconnected sets, so that a change in one
// set never reaches the other.
func TestPeersConnectAllEntries(t *testing.T) {
	for _, n := range []int{2, 3, 9, 27, 190, 670} {
		for _, dataCentres := range []int{1, 3, 19} {
			all := newNodes(n, dataCentres)
			neighbours := map[string][]string{}
			for i, node := range all {
				local, remote := newTable(all, i).peers()
				for _, p := range append(local, remote...) {
					neighbours[node.Name] = append(neighbours[node.Name], p.Name)
					neighbours[p.Name] = append(neighbours[p.Name], node.Name)
				}
			}
			reached := map[string]bool{all[0].Name: true}
			for next := []string{all[0].Name}; len(next) > 0; next = next[1:] {
				for _, p := range neighbours[next[0]] {
					if !reached[p] {
						reached[p] = true
						next = append(next, p)
					}
				}
			}
			if len(reached) != n {
				t.Errorf("%d of %d entries in %d data centres are connected", len(reached), n, dataCentres)
			}
		}
	}
}

func TestUnresponsiveEntryIsReturnedAgain(t *testing.T) {
	all := newNodes(670, 19)
	table := newTable(all, 0)
	unresponsive := all[300].Name
	table.RecordResponse(unresponsive, false)
	for range 2000 {
		if p, _ := table.NextExchange(); p.Name == unresponsive {
			return
		}
	}
	t.Error("the unresponsive entry was never returned")
}
