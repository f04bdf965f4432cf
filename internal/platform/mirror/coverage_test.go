package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

const (
	chainSeparateKey = "separate"
	// chainStep is the time from one step of a chain to the next.
	chainStep = time.Millisecond
)

// chainOtherKeys are the other keys. Each is a page of its own.
var chainOtherKeys = []string{"other0", "other1", "other2"}

// chain is a service and processes that get its changes from it and from each other. The value of chainSeparateKey
// is transferred separately.
type chain struct {
	t         *testing.T
	name      string
	now       time.Time
	service   history
	processes []*chainProcess
}

// chainProcess is a process of a chain.
type chainProcess struct {
	copy     Copy
	known    progress
	transfer Transfer
	// held is the revision of the value of chainSeparateKey that it holds, and others those of chainOtherKeys.
	held   int64
	others map[string]int64
	// knownAt is the time before which it counts as knowing all changes.
	knownAt time.Time
	// missing is what it knows once it has the value that source has announced, if lacks is set.
	lacks   bool
	missing Coverage
	source  *chainProcess
}

// newChain returns a chain whose processes know the first change of each key.
func newChain(t *testing.T, name string, n int) *chain {
	c := &chain{t: t, name: name, now: time.Unix(1000, 0)}
	c.change(chainSeparateKey)
	for _, key := range chainOtherKeys {
		c.change(key)
	}
	for range n {
		p := &chainProcess{}
		c.restart(p)
		c.processes = append(c.processes, p)
		c.poll(p)
	}
	return c
}

// change writes a key.
func (c *chain) change(key string) {
	r := c.service.revision() + 1
	c.service.events = append(c.service.events, event{item: platform.NewKeyValue(key, nil, r, 0), revision: r})
	c.service.changedAt = append(c.service.changedAt, c.now)
	c.now = c.now.Add(chainStep)
}

// poll makes a process ask the service, from where Mirror.Run would.
func (c *chain) poll(p *chainProcess) {
	p.transfer.Reset()
	u := c.service.since(p.known.covered.revision, p.known.covered.known, c.now)
	c.apply(p, u, nil)
}

// follow makes a process ask another one for the next page of its changes.
func (c *chain) follow(p, source *chainProcess) {
	page, ok := source.copy.Since(p.transfer.Request(p.known.received.revision, p.known.received.known, 1))
	if !ok {
		return
	}
	u, ok := p.transfer.Add(page)
	if !ok {
		return
	}
	u.FromPeer, u.SeparateMissing = true, u.SeparateRevision > p.held
	c.apply(p, u, source)
}

func (c *chain) apply(p *chainProcess, u Update, source *chainProcess) {
	p.known.note(u)
	u = p.copy.WithoutOlder(u)
	for _, item := range u.KVs {
		if item.Key() == chainSeparateKey {
			p.held = max(p.held, item.Revision())
		} else {
			p.others[item.Key()] = max(p.others[item.Key()], item.Revision())
		}
	}
	announced := u.Coverage
	u.SeparateRevision = p.held
	p.copy.Apply(u, c.now)
	if u.SeparateMissing {
		p.lacks, p.missing, p.source = true, announced, source
		return
	}
	p.advance(u.RequestedAt)
}

// fetch makes a process fetch the value that it lacks.
func (c *chain) fetch(p *chainProcess) {
	if !p.lacks {
		return
	}
	p.held = max(p.held, p.source.held)
	if p.held < p.missing.SeparateRevision {
		return
	}
	covered := p.missing
	covered.SeparateRevision = p.held
	p.copy.AdvanceSeparate(covered)
	p.advance(covered.RequestedAt)
	p.lacks = false
}

// restart replaces a process by one that knows nothing.
func (c *chain) restart(p *chainProcess) {
	*p = chainProcess{others: map[string]int64{}}
	p.copy.SeparateKey = chainSeparateKey
}

func (p *chainProcess) advance(knownAt time.Time) {
	if knownAt.After(p.knownAt) {
		p.knownAt = knownAt
	}
}

// newest returns the revision of the newest change of a key up to a revision.
func (c *chain) newest(key string, revision int64) int64 {
	for r := revision; r > 0; r-- {
		if c.service.events[r-1].item.Key() == key {
			return r
		}
	}
	return 0
}

// newestBefore returns the revision of the newest change of a key made before a time.
func (c *chain) newestBefore(key string, at time.Time) int64 {
	n, _ := slices.BinarySearchFunc(c.service.changedAt, at, time.Time.Compare)
	return c.newest(key, int64(n))
}

// check verifies what each process claims to know: a poll from its position misses no change, no change made before
// its knownAt is missing, and its copy covers no change that it lacks.
func (c *chain) check(steps []string) {
	c.t.Helper()
	for i, p := range c.processes {
		if want := c.newest(chainSeparateKey, p.known.covered.revision); p.known.covered.known && p.held < want {
			c.t.Fatalf("%s: %v: process %d polls from revision %d and holds the value of %d, not of %d", c.name, steps, i, p.known.covered.revision, p.held, want)
		}
		for _, key := range chainOtherKeys {
			if want := c.newest(key, p.known.received.revision); p.known.received.known && p.others[key] < want {
				c.t.Fatalf("%s: %v: process %d asks from revision %d and holds %s of %d, not of %d", c.name, steps, i, p.known.received.revision, key, p.others[key], want)
			}
		}
		for _, at := range []time.Time{p.knownAt, p.known.knownAt, p.copy.coverage.RequestedAt} {
			if want := c.newestBefore(chainSeparateKey, at); p.held < want {
				c.t.Fatalf("%s: %v: process %d knows all up to %v and holds the value of %d, not of %d", c.name, steps, i, at, p.held, want)
			}
		}
		covered := p.copy.coverage
		if want := c.newest(chainSeparateKey, covered.CoveredRevision); covered.SeparateRevision < want || p.held < covered.SeparateRevision {
			c.t.Fatalf("%s: %v: process %d passes on %+v and holds the value of %d, not of %d", c.name, steps, i, covered, p.held, want)
		}
	}
}

// chainAction is a step of a chain.
type chainAction struct {
	name string
	run  func(c *chain)
}

// chainActions returns all steps of a chain of n processes, each of which may follow those before it.
func chainActions(n int) []chainAction {
	actions := []chainAction{
		{"change separate", func(c *chain) { c.change(chainSeparateKey) }},
	}
	for _, key := range chainOtherKeys {
		actions = append(actions, chainAction{"change " + key, func(c *chain) { c.change(key) }})
	}
	for i := range n {
		actions = append(actions,
			chainAction{fmt.Sprint("poll ", i), func(c *chain) { c.poll(c.processes[i]) }},
			chainAction{fmt.Sprint("fetch ", i), func(c *chain) { c.fetch(c.processes[i]) }})
		for j := range i {
			actions = append(actions, chainAction{fmt.Sprint("follow ", i, j), func(c *chain) { c.follow(c.processes[i], c.processes[j]) }})
		}
	}
	return actions
}

// All orders of changes, polls, pages, transfers and changes of the source, of three processes. A process that asks no
// more is one whose source has died or stands still. Guards against a process whose source lacks the value of
// SeparateKey and which polls the service from behind that value, so that it never gets it and counts as current:
// it would accept an account key that was revoked.
func TestCoverageOfAllOrders(t *testing.T) {
	const processes, depth = 3, 5
	actions := chainActions(processes)
	// One of the other keys is enough here: the pages are left to the long orders.
	actions = slices.DeleteFunc(actions, func(a chainAction) bool { return slices.Contains([]string{"change other1", "change other2"}, a.name) })
	order := make([]int, depth)
	var steps []string
	for {
		c := newChain(t, "all orders", processes)
		steps = steps[:0]
		for _, i := range order {
			actions[i].run(c)
			steps = append(steps, actions[i].name)
			c.check(steps)
		}
		k := depth - 1
		for ; k >= 0 && order[k] == len(actions)-1; k-- {
			order[k] = 0
		}
		if k < 0 {
			return
		}
		order[k]++
	}
}

// The same with up to five processes, long orders and restarts. Guards also against pages of one update that come
// from processes of which only some lack the value.
func TestCoverageOfLongOrders(t *testing.T) {
	const length = 300
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 6))
		n := 3 + rng.IntN(3)
		actions := chainActions(n)
		for i := range n {
			actions = append(actions, chainAction{fmt.Sprint("restart ", i), func(c *chain) { c.restart(c.processes[i]) }})
		}
		c := newChain(t, fmt.Sprint("seed ", seed), n)
		var steps []string
		for range length {
			a := actions[rng.IntN(len(actions))]
			a.run(c)
			steps = append(steps, a.name)
			c.check(steps)
		}
	}
}

// A peer passes on changes and lacks the value of SeparateKey, of which it has been told. Guards against a process
// that can't see this lack and polls the service from the peer's revision, behind the value.
func TestPollStartsBeforeValueThatPeerLacks(t *testing.T) {
	var polled []int64
	peer := Copy{SeparateKey: chainSeparateKey}
	peer.Apply(Update{Complete: true, Revision: 10, Coverage: Coverage{CoveredRevision: 10, SeparateRevision: 8}}, time.Time{})
	peer.Apply(Update{Revision: 20, Coverage: Coverage{CoveredRevision: 20, SeparateRevision: 8}, SeparateMissing: true}, time.Time{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	asked := false
	m := &Mirror{
		Reader: pollRecorder{polled: &polled, end: cancel}, Wait: time.Second, Now: time.Now, Apply: func(Update) {},
		Peer: func(_ context.Context, revision int64, known bool) (Update, bool) {
			page, ok := peer.Since(Request{After: revision, Known: known})
			answered := !asked
			asked = true
			return page.Update, ok && answered
		},
	}
	if err := m.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(polled, []int64{10}) {
		t.Errorf("the service is polled from revisions %v", polled)
	}
}

// Guards against a process that polls the service from the revision of a peer that doesn't say what it covers, as
// earlier versions of the product don't.
func TestPeerWithoutCoverageMovesNoPoll(t *testing.T) {
	known := progress{}
	known.note(Update{Complete: true, Revision: 10, Coverage: Coverage{CoveredRevision: 10}})
	known.note(Update{Revision: 20, FromPeer: true})
	if known.covered.revision != 10 || known.received.revision != 20 {
		t.Errorf("the service is polled from revision %d, peers are asked from %d", known.covered.revision, known.received.revision)
	}
}
