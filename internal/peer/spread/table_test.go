package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func nodesOf(n, dataCentres int) []Node {
	var all []Node
	for i := range n {
		all = append(all, Node{Name: fmt.Sprintf("e%d", i), DataCentre: fmt.Sprintf("d%d", i%dataCentres)})
	}
	return all
}

func tableOf(all []Node, i int) *Table {
	t := &Table{Self: all[i], Seed: 1}
	t.Set(append(append([]Node(nil), all[:i]...), all[i+1:]...))
	return t
}

// watchers returns how many of the entries of the data centre read.
func watchers(all []Node, dc string, silent ...string) int {
	n := 0
	for i, one := range all {
		t := tableOf(all, i)
		for _, s := range silent {
			if s != one.Name {
				t.Answered(s, false)
			}
		}
		if one.DataCentre == dc && t.Watches() {
			n++
		}
	}
	return n
}

func TestEachDataCentreHasItsWatchers(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 9, 35, 120} {
		want := min(n, Watchers)
		if got := watchers(nodesOf(n, 1), "d0"); got != want {
			t.Errorf("%d entries: %d watch, want %d", n, got, want)
		}
	}
}

func TestListsThatDifferLeaveNoneOut(t *testing.T) {
	all := nodesOf(35, 1)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		n := 0
		for i := range all {
			// Each entry lacks a tenth of the list.
			own := &Table{Self: all[i]}
			var some []Node
			for j := range all {
				if j != i && rng.IntN(10) > 0 {
					some = append(some, all[j])
				}
			}
			own.Set(some)
			if own.Watches() {
				n++
			}
		}
		if n < Watchers {
			t.Fatalf("%d watch", n)
		}
	}
}

func TestCutOffEntryWatchesItself(t *testing.T) {
	all := nodesOf(35, 1)
	for i := range all {
		own := tableOf(all, i)
		for _, o := range all {
			if o != all[i] {
				own.Answered(o.Name, false)
			}
		}
		if !own.Watches() {
			t.Errorf("%s hears of nobody and does not watch", all[i].Name)
		}
	}
}

func TestAnswersBringThePlaceBack(t *testing.T) {
	all := nodesOf(20, 1)
	first := ""
	for i := range all {
		if r := tableOf(all, i).readers(); len(r) > 0 {
			first = r[0].Name
		}
	}
	if got := watchers(all, "d0", first); got != Watchers+1 {
		// The silent one itself still watches; the others make up for it.
		t.Errorf("%d watch, want %d", got, Watchers+1)
	}
	own := tableOf(all, 0)
	before := len(own.readers())
	own.Answered(first, false)
	own.Answered(first, true)
	if len(own.readers()) != before {
		t.Error("an entry that answers again has not its place back")
	}
}

func TestOnChange(t *testing.T) {
	all := nodesOf(60, 3)
	own := tableOf(all, 0)
	silent := all[3].Name
	own.Answered(silent, false)
	for range 200 {
		far := 0
		seen := map[string]bool{all[0].Name: true, silent: true}
		chosen := own.OnChange()
		for _, n := range chosen {
			if seen[n.Name] {
				t.Fatalf("%s is chosen twice, itself or silent", n.Name)
			}
			seen[n.Name] = true
			if n.DataCentre != "d0" {
				far++
			}
		}
		if len(chosen) != Fanout || far != 1 {
			t.Fatalf("%d chosen, %d elsewhere", len(chosen), far)
		}
	}
	lone := tableOf(nodesOf(8, 8), 0)
	if n := len(lone.OnChange()); n != Fanout {
		t.Errorf("an entry alone in its data centre tells %d", n)
	}
	if n := len(tableOf(nodesOf(1, 1), 0).OnChange()); n != 0 {
		t.Errorf("the only entry tells %d", n)
	}
}

// Turns keep to few entries, or connections to all would take more memory than
// a node has; and they meet each of them, the readers often.
func TestTurnsMeetPeersAndReaders(t *testing.T) {
	for _, n := range []int{2, 9, 30, 670} {
		all := nodesOf(n, 19)
		own := tableOf(all, 0)
		near, far := own.split()
		want := map[string]bool{}
		for _, p := range append(append(near, far...), own.readers()...) {
			want[p.Name] = p != own.Self
		}
		met := map[string]int{}
		for range 2000 {
			p, ok := own.Periodic()
			if !ok {
				t.Fatal("nobody's turn")
			}
			met[p.Name]++
		}
		for name := range met {
			if !want[name] {
				t.Errorf("%d entries: %s is met", n, name)
			}
		}
		for name, w := range want {
			if w && met[name] == 0 {
				t.Errorf("%d entries: %s is never met", n, name)
			}
		}
		if len(met) > nearPeers+18+Watchers {
			t.Errorf("%d entries: %d are met", n, len(met))
		}
		for _, r := range own.readers() {
			if r != own.Self && met[r.Name] < 2000/readerEvery/Watchers {
				t.Errorf("%d entries: reader %s is met %d times in 2000 turns", n, r.Name, met[r.Name])
			}
		}
	}
}

// Were the peers of entries to fall into two sets that never meet, a change in
// one would never reach the other.
func TestPeersConnectAllEntries(t *testing.T) {
	for _, n := range []int{2, 3, 9, 27, 190, 670} {
		for _, dataCentres := range []int{1, 3, 19} {
			all := nodesOf(n, dataCentres)
			links := map[string][]string{}
			for i, one := range all {
				near, far := tableOf(all, i).split()
				for _, p := range append(near, far...) {
					links[one.Name] = append(links[one.Name], p.Name)
					links[p.Name] = append(links[p.Name], one.Name)
				}
			}
			reached := map[string]bool{all[0].Name: true}
			for next := []string{all[0].Name}; len(next) > 0; next = next[1:] {
				for _, p := range links[next[0]] {
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

func TestSilentEntryIsAskedAgain(t *testing.T) {
	all := nodesOf(670, 19)
	own := tableOf(all, 0)
	silent := all[300].Name
	own.Answered(silent, false)
	for range 2000 {
		if p, _ := own.Periodic(); p.Name == silent {
			return
		}
	}
	t.Error("a silent entry is never asked again")
}
