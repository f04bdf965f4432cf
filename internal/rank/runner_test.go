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

// long is a time limit that no test reaches unless it fails.
const long = 60 * time.Second

// fleet is a group of three agents over loopback, with the platform's stand-in.
type fleet struct {
	t       *testing.T
	kv      *kv.Server
	group   *ranks.Group
	peers   []string
	stops   []func()
	metrics []metrics.Registry
}

func background(t *testing.T, f func(context.Context) error) (stop func()) {
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

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, kv: &kv.Server{}, group: &ranks.Group{Endpoints: 3, StepTime: 2 * time.Millisecond}}
	background(t, f.kv.Run)
	f.group.SetLoad(load(0))
	background(t, f.group.Run)
	for range f.group.Endpoints {
		addr, err := standin.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		f.peers = append(f.peers, addr)
		f.stops = append(f.stops, nil)
		f.metrics = append(f.metrics, nil)
	}
	for i := range f.peers {
		f.start(i)
	}
	return f
}

func load(hot int) [][]float64 {
	loads := make([]float64, 12)
	for e := range loads {
		loads[e] = 100
	}
	loads[hot] = 700
	return [][]float64{loads}
}

// start starts the agent at place i, as after a restart of its process.
func (f *fleet) start(i int) {
	f.t.Helper()
	l, err := net.Listen("tcp", f.peers[i])
	if err != nil {
		f.t.Fatal(err)
	}
	client := &platform.Client{Addrs: []string{f.kv.Addr()}, Timeout: time.Second, Metrics: metrics.NewRegistry()}
	r := f.runner(i, client)
	s := grpc.NewServer()
	r.Register(s)
	stopClient := background(f.t, client.Run)
	stopServer := background(f.t, func(ctx context.Context) error {
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		<-ctx.Done()
		s.Stop()
		return <-done
	})
	stopRunner := background(f.t, r.Run)
	f.stops[i] = func() { stopRunner(); stopServer(); stopClient() }
}

func (f *fleet) runner(i int, client *platform.Client) *rank.Runner {
	layer, err := expertmap.Contiguous(expertmap.Shape{Ranks: 6, Slots: 3, Experts: 12})
	if err != nil {
		f.t.Fatal(err)
	}
	first, err := expertmap.NewMap(1, []*expertmap.Layer{layer})
	if err != nil {
		f.t.Fatal(err)
	}
	f.metrics[i] = metrics.NewRegistry()
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	return &rank.Runner{
		Group: "chat", Index: i, Peers: f.peers, Incarnation: uint64(time.Now().UnixNano()),
		Engine: f.group.Engine(i),
		Lease: &rank.KVLease{
			KV: client, Group: "chat", Holder: fmt.Sprintf("%d/%d", i, time.Now().UnixNano()), TTL: time.Second,
		},
		Initial: first,
		Limits: expertmap.Limits{
			ExpertBytes: 1, StoreRate: 1000, StageTime: time.Second, Life: time.Minute, MinGain: 0.01, Goal: 0.01,
		},
		PlanEvery: 50 * time.Millisecond, Memory: 10 * time.Millisecond,
		Tick: 5 * time.Millisecond, Lookahead: 50,
		Resend: 40 * time.Millisecond, Refresh: 100 * time.Millisecond, HoldTime: 2 * time.Second,
		LeaseTime: time.Second, CallTimeout: time.Second, Drain: time.Millisecond,
		Metrics: f.metrics[i], Log: log,
	}
}

func (f *fleet) counter(i int, name string) int64 {
	return metrics.GetOrRegisterCounter(name, f.metrics[i]).Count()
}

// await waits until ok holds.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(long); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not within %v; steps %d", what, long, f.group.Steps())
		}
	}
}

// awaitSteps waits until the group has made n more steps.
func (f *fleet) awaitSteps(n uint64) {
	f.t.Helper()
	from := f.group.Steps()
	f.await(fmt.Sprintf("%d steps", n), func() bool { return f.group.Steps() >= from+n })
}

// awaitMap waits until a map got in force at all members that gives the hot
// expert more replicas.
func (f *fleet) awaitMap(hot int) {
	f.t.Helper()
	before := f.counter(0, "rank.mapsInForce")
	f.group.SetLoad(load(hot))
	f.await("a new map", func() bool { return f.counter(0, "rank.mapsInForce") > before })
	f.awaitSteps(200)
}

func (f *fleet) assertOneMap() {
	f.t.Helper()
	for _, s := range f.group.Faults() {
		f.t.Error(s)
	}
}

// TestGroupOverSockets: callers would see garbled answers if agents, platform
// and ranks came and went and ranks of a group used two maps in a step. The
// group begins, follows popularity, and goes through each fault in turn.
func TestGroupOverSockets(t *testing.T) {
	f := newFleet(t)
	f.awaitSteps(100)
	t.Run("follows popularity", func(t *testing.T) {
		f.t = t
		f.awaitMap(5)
		f.assertOneMap()
	})
	t.Run("ranks restart", func(t *testing.T) {
		f.t = t
		f.group.Engine(1).Restart()
		f.awaitSteps(200)
		f.awaitMap(7)
		f.assertOneMap()
	})
	t.Run("platform down", func(t *testing.T) {
		f.t = t
		f.kv.SetDown(true)
		f.awaitSteps(1000)
		f.kv.SetDown(false)
		f.awaitMap(2)
		f.assertOneMap()
	})
	t.Run("leader gone", func(t *testing.T) {
		f.t = t
		f.stops[0]()
		f.await("another leader", func() bool {
			return f.counter(1, "rank.leads")+f.counter(2, "rank.leads") > 0
		})
		f.start(0)
		f.awaitSteps(200)
		f.awaitMap(9)
		f.assertOneMap()
	})
}
