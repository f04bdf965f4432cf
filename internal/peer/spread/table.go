package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReadersPerDataCentre is the number of readers in a data centre. With three, one may
	// be frozen and another disconnected. In 19 data centres this makes 57 watches; a
	// watch for each of 670 entries would take a third of the reads that the service
	// handles.
	ReadersPerDataCentre = 3
	// Fanout is the number of peers that an entry sends a change to, one of them in
	// another data centre. With four, rumours alone miss about one entry in fifty, which
	// anti-entropy then reaches. Each additional one would cost every entry one more
	// exchange per change.
	Fanout = 4
	// localPeers is the number of peers in an entry's own data centre. An entry also has
	// one peer in each other data centre. A connection takes some 80 KB at each end, so
	// that connections to all of 670 entries would exceed the 32 MB of memory that a
	// node may use for control traffic. With localPeers an entry has some 50 open
	// connections.
	localPeers = 8
	// readerInterval is the interval, in rounds of NextExchange, between exchanges with a
	// reader of the data centre. A reader exchanges with all entries of its data centre.
	// With 35 of them, an interval of two rounds would cost it 5 KB/s; this one costs
	// 3 KB/s. A failed reader is detected within ReadersPerDataCentre times this number
	// of rounds, which is 6 s.
	readerInterval = 4
	// unresponsiveInterval is the interval, in rounds of NextExchange, between exchanges
	// with an unresponsive entry.
	unresponsiveInterval = 8
)

// Node identifies an entry.
type Node struct {
	// Name is the name of the VM, DataCentre its data centre and Addr the address of its
	// process, as IP:port.
	Name, DataCentre, Addr string
}

// Table holds the other entries that an entry knows. Set the exported fields before
// the first call. A Table is not safe for concurrent use.
type Table struct {
	// Self is this entry.
	Self Node
	// Seed, together with the name of Self, seeds the random selections.
	Seed uint64

	rng          *rand.Rand
	nodes        []Node // other entries, ordered by name
	ranked       []Node // entries of the own data centre including Self, in rendezvous order
	unresponsive map[string]bool
	round        int
}

// Set replaces the other entries by nodes.
func (t *Table) Set(nodes []Node) {
	t.nodes = slices.Clone(nodes)
	slices.SortFunc(t.nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	t.ranked = []Node{t.Self}
	known := map[string]bool{}
	for _, n := range t.nodes {
		known[n.Name] = true
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
	for name := range t.unresponsive {
		if !known[name] {
			delete(t.unresponsive, name)
		}
	}
}

// RecordResponse records whether the named entry responded to an exchange.
func (t *Table) RecordResponse(name string, ok bool) {
	if ok {
		delete(t.unresponsive, name)
		return
	}
	if t.unresponsive == nil {
		t.unresponsive = map[string]bool{}
	}
	t.unresponsive[name] = true
}

// IsReader reports whether this entry is a reader. Before the first call of Set it
// returns true.
//
// A data centre must not stop receiving changes because its readers are dead or
// frozen while the lagging list of VMs still names them: an operator would see changes
// take effect in other data centres but not in this one. Each entry therefore skips
// the entries that did not respond to it. In case of doubt there are too many readers
// and never none.
func (t *Table) IsReader() bool {
	for _, n := range t.readers() {
		if n.Name == t.Self.Name {
			return true
		}
	}
	return len(t.ranked) == 0
}

// readers returns the entries of the data centre in rendezvous order up to the last
// reader, including unresponsive entries in between.
func (t *Table) readers() []Node {
	responsive := 0
	for i, n := range t.ranked {
		if !t.unresponsive[n.Name] {
			responsive++
		}
		if responsive == ReadersPerDataCentre {
			return t.ranked[:i+1]
		}
	}
	return t.ranked
}

// RumourTargets returns the entries to send a change to: at most Fanout peers, one of
// them in another data centre. If there are too few local peers, further remote ones are
// added. It skips unresponsive entries, because a rumour sent to them would not
// spread; NextExchange returns them from time to time.
func (t *Table) RumourTargets() []Node {
	local, remote := t.peers()
	targets := t.sample(remote, 1)
	targets = append(targets, t.sample(local, Fanout-len(targets))...)
	if missing := Fanout - len(targets); missing > 0 {
		remote = slices.DeleteFunc(remote, func(n Node) bool { return slices.Contains(targets, n) })
		targets = append(targets, t.sample(remote, missing)...)
	}
	return targets
}

// peers returns the peers in the own data centre and in the others. They are the
// first responsive entries in the order of rendezvous hashing, so that they rarely
// change.
func (t *Table) peers() (local, remote []Node) {
	remotePeers := map[string]Node{}
	for _, n := range t.nodes {
		switch {
		case t.unresponsive[n.Name]:
		case n.DataCentre == t.Self.DataCentre:
			local = append(local, n)
		case t.ranksBefore(n, remotePeers[n.DataCentre]):
			remotePeers[n.DataCentre] = n
		}
	}
	slices.SortFunc(local, func(a, b Node) int { return cmp.Compare(t.score(a), t.score(b)) })
	for _, n := range remotePeers {
		remote = append(remote, n)
	}
	slices.SortFunc(remote, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return local[:min(len(local), localPeers)], remote
}

func (t *Table) ranksBefore(n, other Node) bool {
	return other.Name == "" || t.score(n) < t.score(other)
}

// score returns the hash by which this entry orders n among its possible peers. The
// order differs from entry to entry.
func (t *Table) score(n Node) uint64 { return xxhash.Sum64String(t.Self.Name + "\x00" + n.Name) }

// NextExchange returns the entry to exchange with in this round, or false if there are
// no other entries. Every readerInterval rounds it returns a reader of the data centre,
// in turn and including unresponsive ones, so that a failed reader is replaced within
// a few rounds and takes over again once it responds. In other rounds it returns a
// peer or an unresponsive entry.
func (t *Table) NextExchange() (Node, bool) {
	if len(t.nodes) == 0 {
		return Node{}, false
	}
	t.round++
	readers := slices.DeleteFunc(slices.Clone(t.readers()), func(n Node) bool { return n.Name == t.Self.Name })
	if t.round%readerInterval != 1 || len(readers) == 0 {
		return t.exchangePeer(), true
	}
	return readers[t.round/readerInterval%len(readers)], true
}

// exchangePeer returns a random peer, or every unresponsiveInterval rounds an
// unresponsive entry. There must be another entry. In a data centre that is
// disconnected from the others most entries are unresponsive; if they were selected
// as often as peers, there would be few exchanges between peers.
func (t *Table) exchangePeer() Node {
	local, remote := t.peers()
	peers := append(local, remote...)
	var unresponsive []Node
	for _, n := range t.nodes {
		if t.unresponsive[n.Name] {
			unresponsive = append(unresponsive, n)
		}
	}
	if len(peers) == 0 || len(unresponsive) > 0 && t.round%unresponsiveInterval == 0 {
		return t.sample(unresponsive, 1)[0]
	}
	return t.sample(peers, 1)[0]
}

// SamplePeers returns up to n random peers.
func (t *Table) SamplePeers(n int) []Node {
	local, remote := t.peers()
	return t.sample(append(local, remote...), n)
}

// sample returns up to n of the nodes, selected at random.
func (t *Table) sample(nodes []Node, n int) []Node {
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
