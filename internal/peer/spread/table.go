package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Watchers is how many entries of a data centre read the platform's
	// service. One may be frozen and another cut off. At 19 data centres it
	// makes 57 watches, where one for each of 670 entries would take a third
	// of the reads that the service handles.
	Watchers = 3
	// Fanout is how many entries are told of a change at once, one of them in
	// another data centre. With four, rumours alone miss about one entry in
	// fifty, whom anti-entropy reaches; each more would cost every entry one
	// more exchange a change.
	Fanout = 4
	// nearPeers is how many entries of its data centre an entry exchanges with,
	// besides one of each other data centre. A connection takes some 80 KB at
	// each end, so that connections to all of 670 entries would take more than
	// the 32 MB that a node has for control; with these it has some 50 open.
	nearPeers = 8
	// readerEvery is how many turns pass between two that go to a reader of the
	// data centre. A reader hears from all entries of its data centre; at 35 of
	// them every second turn would cost it 5 KB/s, with this 3 KB/s. A dead
	// reader is found within Watchers times as many turns, 6 s.
	readerEvery = 4
	// silentEvery is how many turns pass between two that go to an entry that
	// does not answer.
	silentEvery = 8
)

// Node is an entry.
type Node struct {
	// Name is the VM's name, DataCentre its data centre and Addr where its
	// process is met, as IP:port.
	Name, DataCentre, Addr string
}

// Table is what one entry knows of the others. Set the exported fields before
// the first call. It may not be used by several goroutines at once.
type Table struct {
	// Self is this entry.
	Self Node
	// Seed makes the draws of entries differ.
	Seed uint64

	rng    *rand.Rand
	nodes  []Node // others, by name
	ranked []Node // of the own data centre with Self, in rendezvous order
	silent map[string]bool
	turn   int
}

// Set makes nodes the other entries.
func (t *Table) Set(nodes []Node) {
	t.nodes = slices.Clone(nodes)
	slices.SortFunc(t.nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	t.ranked = []Node{t.Self}
	listed := map[string]bool{}
	for _, n := range t.nodes {
		listed[n.Name] = true
		if n.DataCentre == t.Self.DataCentre {
			t.ranked = append(t.ranked, n)
		}
	}
	slices.SortFunc(t.ranked, func(a, b Node) int {
		if c := cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	for name := range t.silent {
		if !listed[name] {
			delete(t.silent, name)
		}
	}
}

// Answered notes whether an entry answered an exchange.
func (t *Table) Answered(name string, ok bool) {
	if ok {
		delete(t.silent, name)
		return
	}
	if t.silent == nil {
		t.silent = map[string]bool{}
	}
	t.silent[name] = true
}

// Watches reports whether this entry reads the platform's service.
//
// It guards against a data centre that hears nothing from the platform because
// the entries that were chosen are dead or frozen and the list of VMs, which
// lags, still names them: an operator would see orders come into force in other
// data centres and not in this one. It holds because each entry passes over
// those that do not answer itself; in doubt more entries read, never none.
func (t *Table) Watches() bool {
	for _, n := range t.readers() {
		if n.Name == t.Self.Name {
			return true
		}
	}
	return len(t.ranked) == 0
}

// readers returns the entries of the data centre in order up to the last
// reader, those that do not answer among them.
func (t *Table) readers() []Node {
	live := 0
	for i, n := range t.ranked {
		if !t.silent[n.Name] {
			live++
		}
		if live == Watchers {
			return t.ranked[:i+1]
		}
	}
	return t.ranked
}

// OnChange returns the entries to tell of a change: at most Fanout of the peers,
// one of them in another data centre. Entries that do not answer are left out,
// because a rumour told to nobody dies; they are asked by turns.
func (t *Table) OnChange() []Node {
	near, far := t.split()
	chosen := t.draw(far, 1)
	chosen = append(chosen, t.draw(near, Fanout-len(chosen))...)
	if rest := Fanout - len(chosen); rest > 0 {
		far = slices.DeleteFunc(far, func(n Node) bool { return slices.Contains(chosen, n) })
		chosen = append(chosen, t.draw(far, rest)...)
	}
	return chosen
}

// split returns the peers in the own data centre and elsewhere: by rendezvous
// hashing the first that answer, so that an entry keeps to the same ones.
func (t *Table) split() (near, far []Node) {
	best := map[string]Node{}
	for _, n := range t.nodes {
		switch {
		case t.silent[n.Name]:
		case n.DataCentre == t.Self.DataCentre:
			near = append(near, n)
		case t.closer(n, best[n.DataCentre]):
			best[n.DataCentre] = n
		}
	}
	slices.SortFunc(near, func(a, b Node) int { return cmp.Compare(t.score(a), t.score(b)) })
	for _, n := range best {
		far = append(far, n)
	}
	slices.SortFunc(far, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return near[:min(len(near), nearPeers)], far
}

func (t *Table) closer(n, than Node) bool {
	return than.Name == "" || t.score(n) < t.score(than)
}

// score ranks other entries differently at each entry.
func (t *Table) score(n Node) uint64 { return xxhash.Sum64String(t.Self.Name + "\x00" + n.Name) }

// Periodic returns the entry to exchange with now, or false when there is no
// other. Some turns go to the readers of the data centre, silent ones too, so
// that the next in order takes over within a few turns and hands back when they
// answer again; the others go to a peer or to a silent entry.
func (t *Table) Periodic() (Node, bool) {
	if len(t.nodes) == 0 {
		return Node{}, false
	}
	t.turn++
	readers := slices.DeleteFunc(slices.Clone(t.readers()), func(n Node) bool { return n.Name == t.Self.Name })
	if t.turn%readerEvery != 1 || len(readers) == 0 {
		return t.any(), true
	}
	return readers[t.turn/readerEvery%len(readers)], true
}

// any returns a peer, or now and then a silent entry. There must be another
// entry. In a data centre that is cut off most entries are silent; were each
// asked as often as a peer, the peers would hear little of each other.
func (t *Table) any() Node {
	near, far := t.split()
	peers := append(near, far...)
	var silent []Node
	for _, n := range t.nodes {
		if t.silent[n.Name] {
			silent = append(silent, n)
		}
	}
	if len(peers) == 0 || len(silent) > 0 && t.turn%silentEvery == 0 {
		return t.draw(silent, 1)[0]
	}
	return t.draw(peers, 1)[0]
}

// Ask returns up to n entries that answer, at random.
func (t *Table) Ask(n int) []Node {
	near, far := t.split()
	return t.draw(append(near, far...), n)
}

// draw returns up to n of the nodes at random.
func (t *Table) draw(nodes []Node, n int) []Node {
	if t.rng == nil {
		t.rng = rand.New(rand.NewPCG(t.Seed, xxhash.Sum64String(t.Self.Name)))
	}
	n = min(n, len(nodes))
	if n <= 0 {
		return nil
	}
	pool := slices.Clone(nodes)
	for i := range n {
		j := i + t.rng.IntN(len(pool)-i)
		pool[i], pool[j] = pool[j], pool[i]
	}
	return pool[:n]
}
