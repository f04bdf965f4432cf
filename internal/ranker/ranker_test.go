package ranker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	logs "github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

func TestMain(m *testing.M) {
	process.QuietEventLoop()
	os.Exit(m.Run())
}

// testGroup is a group of engines with an agent beside each.
type testGroup struct {
	t     *testing.T
	store *standin.Store
	group *standin.Group
	logs  []*logs.Log
	stops []func()
	// rankers are the agents.
	rankers []*Ranker
}

func startSmallGroup(t *testing.T) *testGroup {
	t.Helper()
	return startGroup(t, 3, standin.StartGroup(3, 2, 9, 4))
}

// startGroup starts an agent beside each of n engines.
func startGroup(t *testing.T, n int, group *standin.Group) *testGroup {
	t.Helper()
	g := &testGroup{t: t, store: standin.NewStore(), group: group}
	t.Cleanup(g.store.Close)
	t.Cleanup(g.group.Close)
	logs.Keep(t, "engines", g.group.Events)
	experts := fmt.Sprintf(`"experts":%d`, group.Experts)
	g.store.Put("op/config", []byte(strings.Replace(standin.GroupConfiguration, `"experts":9`, experts, 1)))
	for i := range n {
		g.start(i)
	}
	return g
}

func (g *testGroup) start(i int) {
	g.t.Helper()
	name := fmt.Sprint("agent", i)
	log := &logs.Log{}
	r := &Ranker{
		Settings: &settings.Ranker{
			Process: settings.Process{
				Name: name, DataCentre: "a", PeerAddress: netip.MustParseAddrPort(logs.LoopbackIP() + ":0"),
				PlatformAddresses: []netip.AddrPort{netip.MustParseAddrPort(g.store.Addr())},
			},
			EndpointAddress: netip.MustParseAddrPort(g.group.Addr(i)), Service: "s", FencingChecked: true,
		},
		Log: process.NewBoundedLog(name, "a"), Output: log,
	}
	if err := r.Listen(); err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				g.t.Errorf("%s: %v", name, err)
			}
		})
	}
	logs.Keep(g.t, name, log.Text)
	logs.Keep(g.t, name+" counters", func() string { return logs.Counters(r.Registry) })
	g.t.Cleanup(stop)
	g.logs, g.stops, g.rankers = append(g.logs, log), append(g.stops, stop), append(g.rankers, r)
}

// eventually waits until cond is true. The deadline only bounds a test that hangs.
func (g *testGroup) eventually(what string, cond func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			g.t.Fatalf("timed out waiting until %s (map %d, step %d)", what, g.group.Version(), g.group.Step())
		}
		time.Sleep(5 * time.Millisecond)
	}
	if n := g.group.Mixed(); n != 0 {
		g.t.Fatalf("%d passes began with two maps", n)
	}
}

func (g *testGroup) leader() int {
	for i, l := range g.logs {
		if l.Has("group leadership acquired") {
			return i
		}
	}
	return -1
}

// tokens returns the fencing tokens that all agents have logged with a message.
func (g *testGroup) tokens(message string) []uint64 {
	g.t.Helper()
	var out []uint64
	for _, l := range g.logs {
		for _, line := range strings.Split(l.Text(), "\n") {
			var record struct {
				Msg   string
				Token uint64
			}
			if json.Unmarshal([]byte(line), &record) == nil && record.Msg == message {
				out = append(out, record.Token)
			}
		}
	}
	return out
}

// awaitProgress waits for a few further passes, which shows that no step stays held.
func (g *testGroup) awaitProgress() {
	g.t.Helper()
	step := g.group.Step()
	g.eventually("the group makes progress", func() bool { return g.group.Step() > step+5 })
}

// Every stream waits for the one rank that holds both popular experts. Guards against
// a group that gets no map with more replicas of them, even if orders are lost.
func TestPopularExpertsAreReplicated(t *testing.T) {
	t.Parallel()
	g := startSmallGroup(t)
	g.eventually("an agent leads the group", func() bool { return g.leader() >= 0 })
	g.group.LoseOrders(20)
	g.eventually("a map is in force", func() bool { return g.group.Version() > 0 })
	g.eventually("the popular expert has replicas", func() bool { return g.group.Holds(0) != "[1 1]" })
	g.awaitProgress()
}

// The delegates of a group of 20 ranks stop one after the other. Guards against a
// subgroup that is no longer polled or given orders, so that the group keeps an
// outdated map.
func TestGroupIsLedThroughDelegates(t *testing.T) {
	t.Parallel()
	const ranks, slots = 20, 4
	g := startGroup(t, ranks, standin.StartGroup(ranks, 2, 2*ranks, slots))
	g.eventually("a map is in force", func() bool { return g.group.Version() > 0 })
	g.group.LoseOrders(ranks)
	leader := g.leader()
	for i, stopped := 0, 0; stopped < 3; i++ {
		if i == leader {
			continue
		}
		stopped++
		g.stops[i]()
		before := g.group.Version()
		g.group.Prefer(7 * stopped)
		g.eventually("another map is in force", func() bool { return g.group.Version() > before })
		g.awaitProgress()
	}
}

// Guards against a group that stays held or without a leader when its leader stops.
func TestAnotherAgentLeadsWhenLeaderStops(t *testing.T) {
	t.Parallel()
	g := startSmallGroup(t)
	g.eventually("a map is in force", func() bool { return g.group.Version() > 0 })
	old := g.leader()
	g.stops[old]()
	g.eventually("another agent leads the group", func() bool {
		for i, l := range g.logs {
			if i != old && l.Has("group leadership acquired") {
				return true
			}
		}
		return false
	})
	g.awaitProgress()
}

// An agent is stopped just when a step is held, and its key vanishes.
// Guards against a leader that no longer polls that agent's engine: it would lack a
// rank, and the group would stay held until the agent is back.
func TestAgentLeavesWhileAStepIsHeld(t *testing.T) {
	t.Parallel()
	g := startSmallGroup(t)
	g.eventually("a map is in force", func() bool { return g.group.Version() > 0 })
	other := (g.leader() + 1) % 3
	left := make(chan struct{})
	g.group.LoseOrders(2)
	g.group.OnHold(func() {
		go func() {
			defer close(left)
			g.stops[other]()
		}()
	})
	g.group.Prefer(1)
	<-left
	g.awaitProgress()
	g.group.Prefer(5)
	before := g.group.Version()
	g.eventually("another map is in force", func() bool { return g.group.Version() > before })
	g.awaitProgress()
}

// The store is unreachable for longer than the leader's lease. Guards against a group
// that stays held, and against a term that ends before another leader has shown its
// token.
func TestLeadershipOutlastsStoreOutage(t *testing.T) {
	t.Parallel()
	g := startSmallGroup(t)
	g.eventually("a map is in force", func() bool { return g.group.Version() > 0 })
	g.store.SetFault(standin.Busy)
	newest := slices.Max(g.tokens("group leadership acquired"))
	time.Sleep(2 * leaseTTL)
	g.awaitProgress()
	if slices.Contains(g.tokens("group leadership lost"), newest) {
		t.Fatal("the term ended during the outage")
	}
	g.store.SetFault(standin.Well)
	g.awaitProgress()
}

// Guards against every agent watching the fleet's members: during a restart of a
// hundred processes, each agent queried the store after each change. That made most
// of the calls that the fleet is charged for, and the store's capacity does not grow
// with the fleet. Only the leader may watch them.
func TestOnlyTheLeaderFollowsMembers(t *testing.T) {
	t.Parallel()
	g := startSmallGroup(t)
	g.eventually("a map is in force", func() bool { return g.group.Version() > 0 })
	for _, name := range []string{"one", "two"} {
		key := fleet.Member{Kind: fleet.Entry, Name: name}.Key()
		g.store.Put(key, []byte(`{"address":"127.0.0.1:1"}`))
		g.eventually("the leader has received "+name, func() bool { return g.store.Told(key) > 0 })
		if n := g.store.Told(key); n != 1 {
			t.Fatalf("%d processes received %s", n, name)
		}
	}
}

// Guards against a metric that operators cannot look up because it is missing from
// docs/METRICS.md.
func TestMetricsPageIsComplete(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, page, _ := strings.Cut(string(b), "\n## Rankers\n")
	r := &Ranker{
		Settings: &settings.Ranker{Process: settings.Process{
			PeerAddress:       netip.MustParseAddrPort(logs.LoopbackIP() + ":0"),
			PlatformAddresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		}},
		Log: process.NewBoundedLog("agent", "a"),
	}
	if err := r.Listen(); err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := r.peers.Run(ended); err != nil {
		t.Fatal(err)
	}
	r.Registry.Each(func(name string, _ any) {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/METRICS.md lacks %s", name)
		}
	})
}

// An agent ends for good, and its engine goes on with its group. Guards against a leader that
// forgets the engine after a while: it would lack a rank and change no map any more.
func TestEngineWithoutAnAgentStaysInTheGroup(t *testing.T) {
	t.Parallel()
	g := startSmallGroup(t)
	g.eventually("a map is in force", func() bool { return g.group.Version() > 0 })
	g.stops[(g.leader()+1)%3]()
	time.Sleep(lapsedRetention + time.Second)
	before := g.group.Version()
	g.group.Prefer(5)
	g.eventually("another map is in force", func() bool { return g.group.Version() > before })
	g.awaitProgress()
}

// The agent of an engine ends for good, and then that of the leader does. Guards against a successor
// that does not know their engines because the store lists their agents no longer: it would lack
// ranks and change no map until the agents are back.
func TestSuccessorKnowsEnginesWithoutAgents(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 4, standin.StartGroup(4, 2, 9, 4))
	g.eventually("a map is in force", func() bool { return g.group.Version() > 0 })
	old := g.leader()
	g.stops[(old+1)%4]()
	// The leader names the lapsed agent within this time.
	time.Sleep(2 * lapsedTellInterval)
	g.stops[old]()
	g.eventually("another agent leads the group", func() bool { return len(g.tokens("group leadership acquired")) > 1 })
	before := g.group.Version()
	g.group.Prefer(5)
	g.eventually("another map is in force", func() bool { return g.group.Version() > before })
	g.awaitProgress()
}
