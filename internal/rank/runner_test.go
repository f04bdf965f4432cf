package rank_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/ranks"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is a limit that only a failing test reaches.
const testTimeout = 60 * time.Second

// testGroup is a group of three agents over loopback with a simulated platform.
type testGroup struct {
	t       *testing.T
	kv      *kv.Server
	group   *ranks.Group
	peers   []string
	stops   []func()
	metrics []metrics.Registry
}

func runBackground(t *testing.T, f func(context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(stop)
	return stop
}

func newTestGroup(t *testing.T) *testGroup {
	t.Helper()
	g := &testGroup{t: t, kv: &kv.Server{}, group: &ranks.Group{Endpoints: 3, StepTime: 2 * time.Millisecond}}
	runBackground(t, g.kv.Run)
	g.group.SetLoad(hotExpertLoad(0))
	runBackground(t, g.group.Run)
	for range g.group.Endpoints {
		addr, err := standin.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		g.peers = append(g.peers, addr)
		g.stops = append(g.stops, nil)
		g.metrics = append(g.metrics, nil)
	}
	for i := range g.peers {
		g.start(i)
	}
	return g
}

func hotExpertLoad(hot int) [][]float64 {
	loads := make([]float64, 12)
	for e := range loads {
		loads[e] = 100
	}
	loads[hot] = 700
	return [][]float64{loads}
}

// start starts the agent with index i, as after a restart of its process.
func (g *testGroup) start(i int) {
	g.t.Helper()
	l, err := net.Listen("tcp", g.peers[i])
	if err != nil {
		g.t.Fatal(err)
	}
	client := &platform.Client{Addrs: []string{g.kv.Addr()}, Timeout: time.Second, Metrics: metrics.NewRegistry()}
	r := g.runner(i, client)
	s := grpc.NewServer()
	r.Register(s)
	stopClient := runBackground(g.t, client.Run)
	stopServer := runBackground(g.t, func(ctx context.Context) error {
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		<-ctx.Done()
		s.Stop()
		return <-done
	})
	stopRunner := runBackground(g.t, r.Run)
	g.stops[i] = func() { stopRunner(); stopServer(); stopClient() }
}

func (g *testGroup) runner(i int, client *platform.Client) *rank.Runner {
	layer, err := expertmap.NewContiguousLayer(expertmap.Shape{Ranks: 6, Slots: 3, Experts: 12})
	if err != nil {
		g.t.Fatal(err)
	}
	first, err := expertmap.NewMap(1, []*expertmap.Layer{layer})
	if err != nil {
		g.t.Fatal(err)
	}
	g.metrics[i] = metrics.NewRegistry()
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	return &rank.Runner{
		Group: "chat", Index: i, Peers: g.peers, Incarnation: uint64(time.Now().UnixNano()),
		Engine: g.group.Engine(i),
		Lease: &rank.KVLease{
			KV: client, Group: "chat", Holder: fmt.Sprintf("%d/%d", i, time.Now().UnixNano()), TTL: time.Second,
		},
		Initial: first,
		Limits: expertmap.Limits{
			ExpertBytes: 1, StoreBandwidth: 1000, MaxStagingTime: time.Second, MapLifetime: time.Minute, MinGain: 0.01, SkewTolerance: 0.01,
		},
		PlanEvery: 50 * time.Millisecond, PopularityWindow: 10 * time.Millisecond,
		EngineInterval: 5 * time.Millisecond, Lookahead: 50,
		ResendInterval: 40 * time.Millisecond, RefreshInterval: 100 * time.Millisecond, HoldTime: 2 * time.Second,
		LeaseTTL: time.Second, CallTimeout: time.Second, StartDelay: time.Millisecond,
		Metrics: g.metrics[i], Log: log,
	}
}

func (g *testGroup) counter(i int, name string) int64 {
	return metrics.GetOrRegisterCounter(name, g.metrics[i]).Count()
}

// await waits until ok returns true.
func (g *testGroup) await(what string, ok func() bool) {
	g.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("%s: not reached within %v; steps %d", what, testTimeout, g.group.Steps())
		}
	}
}

// awaitSteps waits until the group has run n more steps.
func (g *testGroup) awaitSteps(n uint64) {
	g.t.Helper()
	from := g.group.Steps()
	g.await(fmt.Sprintf("%d steps", n), func() bool { return g.group.Steps() >= from+n })
}

// awaitMap makes an expert hot, waits until a new map is in force at the first
// member, and then for 200 more steps.
func (g *testGroup) awaitMap(hot int) {
	g.t.Helper()
	before := g.counter(0, "rank.mapsInForce")
	g.group.SetLoad(hotExpertLoad(hot))
	g.await("a new map", func() bool { return g.counter(0, "rank.mapsInForce") > before })
	g.awaitSteps(200)
}

func (g *testGroup) assertConsistentMaps() {
	g.t.Helper()
	for _, s := range g.group.Faults() {
		g.t.Error(s)
	}
}

// TestGroupOverSockets guards against ranks of a group that use two maps in one
// step, which garbles the responses to callers, while agents, platform and
// ranks fail and return. The group starts, follows the popularity of experts,
// and meets each fault in turn.
func TestGroupOverSockets(t *testing.T) {
	g := newTestGroup(t)
	g.awaitSteps(100)
	t.Run("follows popularity", func(t *testing.T) {
		g.t = t
		g.awaitMap(5)
		g.assertConsistentMaps()
	})
	t.Run("ranks restart", func(t *testing.T) {
		g.t = t
		g.group.Engine(1).Restart()
		g.awaitSteps(200)
		g.awaitMap(7)
		g.assertConsistentMaps()
	})
	t.Run("platform down", func(t *testing.T) {
		g.t = t
		g.kv.SetDown(true)
		g.awaitSteps(1000)
		g.kv.SetDown(false)
		g.awaitMap(2)
		g.assertConsistentMaps()
	})
	t.Run("leader gone", func(t *testing.T) {
		g.t = t
		g.stops[0]()
		g.await("another leader", func() bool {
			return g.counter(1, "rank.leads")+g.counter(2, "rank.leads") > 0
		})
		g.start(0)
		g.awaitSteps(200)
		g.awaitMap(9)
		g.assertConsistentMaps()
	})
}
