package ranker

import (
	"context"
	"fmt"
	"net/netip"
	"os"
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

// agents is a group of engines with an agent beside each.
type agents struct {
	t     *testing.T
	store *standin.Store
	group *standin.Group
	logs  []*logs.Log
	stops []func()
}

func startAgents(t *testing.T) *agents {
	t.Helper()
	return startGroup(t, 3, standin.StartGroup(3, 2, 9, 4))
}

// startGroup starts an agent beside each of n engines.
func startGroup(t *testing.T, n int, group *standin.Group) *agents {
	t.Helper()
	a := &agents{t: t, store: standin.NewStore(), group: group}
	t.Cleanup(a.store.Close)
	t.Cleanup(a.group.Close)
	experts := fmt.Sprintf(`"experts":%d`, group.Experts)
	a.store.Put("op/config", []byte(strings.Replace(standin.GroupConfiguration, `"experts":9`, experts, 1)))
	for i := range n {
		a.start(i)
	}
	return a
}

func (a *agents) start(i int) {
	a.t.Helper()
	name := fmt.Sprint("agent", i)
	log := &logs.Log{}
	r := &Ranker{
		Settings: &settings.Ranker{
			Process: settings.Process{
				Name: name, DataCentre: "a", PeerAddress: netip.MustParseAddrPort("127.0.0.1:0"),
				PlatformAddresses: []netip.AddrPort{netip.MustParseAddrPort(a.store.Addr())},
			},
			EndpointAddress: netip.MustParseAddrPort(a.group.Addr(i)), Service: "s", FencingChecked: true,
		},
		Log: process.NewBoundedLog(name, "a"), Output: log,
	}
	if err := r.Listen(); err != nil {
		a.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				a.t.Errorf("%s: %v", name, err)
			}
		})
	}
	a.t.Cleanup(stop)
	a.logs, a.stops = append(a.logs, log), append(a.stops, stop)
}

// eventually waits for something that must come to be; the time bounds a test
// that hangs and measures nothing.
func (a *agents) eventually(what string, is func() bool) {
	a.t.Helper()
	end := time.Now().Add(30 * time.Second)
	for !is() {
		if time.Now().After(end) {
			a.t.Fatalf("not: %s (map %d, step %d)", what, a.group.Version(), a.group.Step())
		}
		time.Sleep(5 * time.Millisecond)
	}
	if n := a.group.Mixed(); n != 0 {
		a.t.Fatalf("%d passes began with two maps", n)
	}
}

func (a *agents) leader() int {
	for i, l := range a.logs {
		if l.Has("group led from here") {
			return i
		}
	}
	return -1
}

// runsOn waits for some further passes: nothing is held for good.
func (a *agents) runsOn() {
	a.t.Helper()
	step := a.group.Step()
	a.eventually("the group runs on", func() bool { return a.group.Step() > step+5 })
}

// Every stream waits for the one rank that holds both popular experts. The group
// gets a map with more replicas of them, though orders are lost.
func TestPopularExpertsAreSpread(t *testing.T) {
	t.Parallel()
	a := startAgents(t)
	a.eventually("a leader is there", func() bool { return a.leader() >= 0 })
	a.group.LoseOrders(20)
	a.eventually("a map is in force", func() bool { return a.group.Version() > 0 })
	a.eventually("the popular expert has replicas", func() bool { return a.group.Holds(0) != "[1 1]" })
	a.runsOn()
}

// A group of 20 ranks is led through delegates, which stop one after the other.
// Guards against a bunch that nobody sees or gives orders to, so that the group
// keeps the map that popularity has left.
func TestGroupIsLedThroughDelegates(t *testing.T) {
	t.Parallel()
	const ranks, slots = 20, 4
	a := startGroup(t, ranks, standin.StartGroup(ranks, 2, 2*ranks, slots))
	a.eventually("a map is in force", func() bool { return a.group.Version() > 0 })
	a.group.LoseOrders(ranks)
	leader := a.leader()
	for i, stopped := 0, 0; stopped < 3; i++ {
		if i == leader {
			continue
		}
		stopped++
		a.stops[i]()
		before := a.group.Version()
		a.group.Prefer(7 * stopped)
		a.eventually("another map is in force", func() bool { return a.group.Version() > before })
		a.runsOn()
	}
}

// The leader stops. Another one leads at once and nothing stays held.
func TestAnotherLeadsWhenTheLeaderStops(t *testing.T) {
	t.Parallel()
	a := startAgents(t)
	a.eventually("a map is in force", func() bool { return a.group.Version() > 0 })
	old := a.leader()
	a.stops[old]()
	a.eventually("another leads", func() bool {
		for i, l := range a.logs {
			if i != old && l.Has("group led from here") {
				return true
			}
		}
		return false
	})
	a.runsOn()
}

// An agent is restarted in the moment in which a step is held, and its key
// vanishes with it. Its engine is still there: the leader brings the change to its
// end. Without a look at that engine it would see a rank too few, and the group
// would stay held until the agent is back.
func TestAgentLeavesWhileAStepIsHeld(t *testing.T) {
	t.Parallel()
	a := startAgents(t)
	a.eventually("a map is in force", func() bool { return a.group.Version() > 0 })
	other := (a.leader() + 1) % 3
	left := make(chan struct{})
	a.group.LoseOrders(2)
	a.group.OnHold(func() {
		go func() {
			defer close(left)
			a.stops[other]()
		}()
	})
	a.group.Prefer(1)
	<-left
	a.runsOn()
	a.group.Prefer(5)
	before := a.group.Version()
	a.eventually("another map is in force", func() bool { return a.group.Version() > before })
	a.runsOn()
}

// The store is away for longer than the leader's lease. The group must not stay
// held, and its leader goes on until another one has shown its token.
func TestLeadOutlastsAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	a := startAgents(t)
	a.eventually("a map is in force", func() bool { return a.group.Version() > 0 })
	a.store.SetFault(standin.Busy)
	time.Sleep(2 * leaseTime)
	a.runsOn()
	if a.logs[a.leader()].Has("group no longer led from here") {
		t.Fatal("the lead ended with the outage")
	}
	a.store.SetFault(standin.Well)
	a.runsOn()
}

// A hundred processes are restarted in turn. Each agent that followed them all
// asked the store again after each change: most of the calls that the fleet pays
// for, and the store takes no more calls as the fleet grows. Only the leader
// hears of them.
func TestOnlyTheLeaderFollowsMembers(t *testing.T) {
	t.Parallel()
	a := startAgents(t)
	a.eventually("a map is in force", func() bool { return a.group.Version() > 0 })
	for _, name := range []string{"one", "two"} {
		key := fleet.Member{Kind: fleet.Entry, Name: name}.Key()
		a.store.Put(key, []byte(`{"address":"127.0.0.1:1"}`))
		a.eventually("the leader knows "+name, func() bool { return a.store.Told(key) > 0 })
		if n := a.store.Told(key); n != 1 {
			t.Fatalf("%d processes were told of %s", n, name)
		}
	}
}

// An operator looks a metric up in the night. Each one that a ranker shows is on
// the page.
func TestMetricsPageIsComplete(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, page, _ := strings.Cut(string(b), "\n## Rankers\n")
	r := &Ranker{
		Settings: &settings.Ranker{Process: settings.Process{
			PeerAddress:       netip.MustParseAddrPort("127.0.0.1:0"),
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
			t.Errorf("%s is not on the page", name)
		}
	})
}
