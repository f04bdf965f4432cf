package ranker

import (
	"context"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

const (
	// storeTimeout bounds a call to the store, which answers in milliseconds.
	storeTimeout = 700 * time.Millisecond
	// memberPollWait is how long the store may hold a leader's long poll for fleet
	// members. An outdated list does no harm, because the leader's own polls show
	// which agents respond.
	memberPollWait = 10 * time.Second
	// memberPollSettle is how long the leader waits after a change of members before
	// it polls again, so that one poll returns several changes.
	memberPollSettle = 200 * time.Millisecond
	// storeCallsPerSecond bounds this process's calls to the store, most of which
	// renew the lease.
	storeCallsPerSecond = 15
	// leaseTTL is how long an agent leads a group without renewing its lease. It is
	// close to the shortest TTL that the store grants, because expert maps become
	// outdated within seconds without a leader.
	leaseTTL = 1200 * time.Millisecond
	// renewInterval leaves time for two further renewal attempts within leaseTTL.
	renewInterval = 350 * time.Millisecond
	// engineTimeout bounds a call to the engine on the same VM, and a leader's calls
	// to engines on other VMs.
	engineTimeout = 150 * time.Millisecond
	// ownPollInterval is how often an agent polls its own engine for the group it
	// belongs to and checks whether the group has a leader.
	ownPollInterval = 250 * time.Millisecond
	// resignTimeout bounds the time that a stopping leader has to finish a map change
	// in progress.
	resignTimeout       = 2 * time.Second
	resignCheckInterval = 10 * time.Millisecond
)

// Ranker is one agent. Set the exported fields, then Listen, then Run.
type Ranker struct {
	Settings *settings.Ranker
	Log      *process.BoundedLog
	Registry metrics.Registry
	// Output receives the log lines; nil means standard output.
	Output io.Writer

	store    *platform.Store
	engine   *platform.Engine
	peers    *peer.Server
	conns    *peer.ConnPool
	counters counters
	// leader tracks which agent leads the group.
	leader leaderTracker
	// countHistory holds the counts reported to leaders, recentCounts the state of
	// the sums reported to them, and mapCache the maps received from them.
	countHistory *countHistory
	recentCounts recentCounts
	mapCache     mapCache
	// delegate serves leaders that reach other agents through this one.
	delegate *delegate
	// stopping is set when the process is about to end. leadToken is the fencing token
	// with which it leads a group, or zero.
	stopping  atomic.Bool
	leadToken atomic.Uint64
	// leaderGone is raised when the group's leader has resigned, leaseInDoubt when
	// the lease of the agent's own key may have lapsed, and storeReturned when the
	// store answers again after failures.
	leaderGone, leaseInDoubt, storeReturned wake.Signal
	// lastListed are the entries that the store last listed; only the registrar uses them.
	lastListed []fleet.Member
	// groupKnown is closed when the group of the agent's engine is known.
	groupKnown     chan struct{}
	groupKnownOnce sync.Once

	mu      sync.Mutex // guards all below
	agents  map[string]fleet.Member
	entries map[string]fleet.Member
	// lapsed holds the agents whose keys have vanished, by name.
	lapsed map[string]lapsedMember
	group  string
	// asked is the leader that was asked last, and its address.
	asked askedLeader
}

// counters holds the agent's metrics.
type counters struct {
	orders, unanswered, rejected, changes, copies, terms metrics.Counter
}

// Listen opens the process's listening addresses.
func (r *Ranker) Listen() error {
	s := r.Settings
	if r.Registry == nil {
		r.Registry = metrics.NewRegistry()
	}
	if r.Output == nil {
		r.Output = os.Stdout
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("rank."+name, r.Registry) }
	r.counters = counters{
		orders: counter("orders"), unanswered: counter("ordersUnanswered"), rejected: counter("ordersUnfit"),
		changes: counter("mapChanges"), copies: counter("expertCopies"), terms: counter("terms"),
	}
	r.agents, r.entries = map[string]fleet.Member{}, map[string]fleet.Member{}
	r.lapsed = map[string]lapsedMember{}
	r.store = &platform.Store{
		Addr: s.PlatformAddresses[0].String(), Timeout: storeTimeout,
		Budget: kv.RateLimiter{PerSecond: storeCallsPerSecond}, Metrics: r.Registry,
	}
	r.store.Open()
	r.engine = &platform.Engine{Addr: s.EndpointAddress.String(), Timeout: engineTimeout}
	r.engine.Open()
	r.countHistory = newCountHistory(boottime.Now())
	r.delegate = newDelegate(r)
	r.groupKnown = make(chan struct{})
	traffic := &peer.Traffic{Registry: r.Registry}
	r.conns = &peer.ConnPool{Traffic: traffic}
	r.peers = &peer.Server{Addr: s.PeerAddress.String(), Traffic: traffic, Register: func(g grpc.ServiceRegistrar) {
		fleetpb.RegisterAgentServer(g, &service{ranker: r})
	}}
	return r.peers.Listen()
}

// Run serves until ctx ends or a part of the process returns. A leader resigns before
// Run returns.
func (r *Ranker) Run(ctx context.Context) error {
	parts := []process.Part{
		r.peers.Run, r.register, r.watchEngine,
		func(ctx context.Context) error { return r.Log.Run(ctx, r.Output) },
		func(ctx context.Context) error { return process.LogTraffic(ctx, r.Log, r.Registry) },
	}
	parts = append(parts, process.MetricsParts(r.Settings.MetricsAddress, r.Registry)...)
	r.Log.WithField("endpoint", r.Settings.EndpointAddress.String()).Info("ranker started")
	return process.RunParts(ctx, parts, func(error) error {
		r.resign()
		return nil
	})
}

// resign makes this agent's term end, if it leads a group, and waits for the end, so
// that no step stays held and another agent can lead at once. It waits for at most
// resignTimeout.
func (r *Ranker) resign() {
	r.stopping.Store(true)
	deadline := time.Now().Add(resignTimeout)
	for r.leadToken.Load() != 0 && time.Now().Before(deadline) {
		time.Sleep(resignCheckInterval)
	}
	r.Log.Info("ranker stopping")
}

func (r *Ranker) logStoreFailure(err error) {
	r.Log.WithFields(logrus.Fields{"dependency": "store", "cause": err.Error()}).Warn("call failed")
}

// logRelist logs that the fleet's members are read from the store anew in place of their changes.
func (r *Ranker) logRelist(cause error) {
	r.Log.WithFields(logrus.Fields{"dependency": "store", "cause": cause.Error()}).Warn("store changes unavailable, the complete state is read")
}

// awaitGroup returns the group of the agent's engine, or "" when ctx ends first.
func (r *Ranker) awaitGroup(ctx context.Context) string {
	select {
	case <-r.groupKnown:
	case <-ctx.Done():
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group
}

// watchEngine polls the agent's own engine and campaigns for the lease of its group
// when the group has no leader.
func (r *Ranker) watchEngine(ctx context.Context) error {
	var stand standstill
	for ctx.Err() == nil {
		// The next poll is due, or the group's leader has resigned.
		r.leaderGone.Wait(ctx, stand.pollInterval(r.leader.silence(boottime.Now())))
		s, err := r.engine.State(ctx)
		if err != nil || s.Group == "" {
			continue // a starting engine has no group yet
		}
		r.mu.Lock()
		r.group = s.Group
		r.mu.Unlock()
		r.groupKnownOnce.Do(func() { close(r.groupKnown) })
		if r.stopping.Load() {
			continue
		}
		now := boottime.Now()
		stood := stand.observe(s, now)
		silence := r.leader.silence(now)
		switch {
		case mayEndLease(stood, silence, r.Settings.FencingChecked),
			mayAskLeader(stood, silence, r.Settings.FencingChecked) && !r.leaderAnswers(ctx):
			r.leaseInDoubt.Raise()
			r.takeOver(ctx, s, stood)
		case r.leader.shouldAsk(s.Rank, s.Size, now):
			// A leader that does not poll this agent may no longer see its key.
			r.leaseInDoubt.Raise()
			r.campaign(ctx, s)
		}
	}
	return nil
}

// newLease returns the lease of the group of the agent's engine.
func (r *Ranker) newLease(s lockstep.State) *rank.KVLease {
	return &rank.KVLease{
		KV: r.store, Prefix: fleet.Prefix, Group: s.Group, Holder: holderName(r.Settings.Name, s.Rank),
		TTL: leaseTTL,
	}
}

// campaign takes the group's lease if it is free and leads the group until the term
// ends.
func (r *Ranker) campaign(ctx context.Context, s lockstep.State) {
	lease := r.newLease(s)
	now := boottime.Now()
	if !r.leaseIsFree(ctx, lease) {
		return
	}
	previous, known := r.leader.last()
	token, until, err := lease.Acquire(ctx, now)
	if err != nil {
		r.Log.WithFields(logrus.Fields{"group": s.Group, "cause": err.Error()}).Info("group leadership not acquired")
		return
	}
	own := leaderInfo{name: r.Settings.Name, Predecessor: lockstep.Predecessor{Token: token, Rank: s.Rank}}
	r.leader.observe(own, now)
	// This agent counts as seen leading until its term ends, so that it waits as long
	// as the others before it asks the store again.
	defer func() { r.leader.observe(own, boottime.Now()) }()
	r.counters.terms.Inc(1)
	r.Log.WithFields(logrus.Fields{"group": s.Group, "token": token, "epoch": s.Epoch}).Info("group leadership acquired")
	r.leadToken.Store(token)
	defer r.leadToken.Store(0)
	t := newTerm(r, lease, s, token, until)
	if known && previous.name != r.Settings.Name {
		t.leader.Predecessor = &previous.Predecessor
		t.poller.expectFailure(previous.name, now)
		t.tree.NoteFailure(previous.name, now)
	}
	stopMembers := r.watchMembers(ctx)
	t.run(ctx)
	stopMembers()
	r.Log.WithFields(logrus.Fields{"group": s.Group, "token": token}).Info("group leadership lost")
}

// leaseIsFree reports whether no agent holds the group's lease. It records the holder
// if there is one.
func (r *Ranker) leaseIsFree(ctx context.Context, lease *rank.KVLease) bool {
	held, ok, err := lease.CurrentHolder(ctx)
	if err != nil {
		r.logStoreFailure(err)
		return false
	}
	if !ok {
		return true
	}
	if holder, ok := parseHolder(held); ok {
		r.leader.setHolder(holder)
	} else {
		r.Log.WithField("group", lease.Group).Warn("holder name of the group's lease has no rank")
	}
	return false
}
