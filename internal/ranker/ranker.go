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
	// pollWait is how long a leader's poll for the members waits at the store. What
	// it knows of them may be old, as it sees itself which agents answer.
	pollWait = 10 * time.Second
	// pollSettle is how long changes of the members are let gather after some
	// came, by the leader.
	pollSettle = 200 * time.Millisecond
	// callsPerSecond bounds this process's calls to the store; renewals of the
	// lease are most of them.
	callsPerSecond = 15
	// leaseTime is how long a group's leader leads without renewing, near the
	// shortest lease that the store grants: without a leader the maps grow old
	// within seconds.
	leaseTime = 1200 * time.Millisecond
	// renewEvery leaves two further tries within the lease.
	renewEvery = 350 * time.Millisecond
	// engineTimeout bounds a call to the engine on the same VM.
	engineTimeout = 150 * time.Millisecond
	// ownEvery is how often an agent looks at its own engine to learn its
	// group, and whether the group has a leader.
	ownEvery = 250 * time.Millisecond
	// leaveTime bounds the end of a lead: a change of maps that is under way.
	leaveTime = 2 * time.Second
	leaveTick = 10 * time.Millisecond
)

// Ranker is one agent. Set the exported fields, then Listen, then Run.
type Ranker struct {
	Settings *settings.Ranker
	Log      *process.BoundedLog
	Registry metrics.Registry
	// Output receives the log lines; nil means standard output.
	Output io.Writer

	store  *platform.Store
	engine *platform.Engine
	peers  *peer.Server
	conns  *peer.Conns
	counts counters
	// led is what is known of the group's leader.
	led led
	// told and maps are what was told to and by leaders.
	told   *countLog
	recent recent
	maps   mapLog
	// delegate serves leaders that reach other agents through this one.
	delegate *delegate
	// leaving says that the process is about to end, and led that it leads no
	// group.
	leaving atomic.Bool
	leads   atomic.Bool
	// free is raised when the group's leader has ended, doubt when the own lease
	// may have lapsed, and returned when the store answers again.
	free, doubt, returned wake.Signal
	// grouped is closed when the group of the own engine is known.
	grouped     chan struct{}
	groupedOnce sync.Once

	mu      sync.Mutex // guards all below
	agents  map[string]fleet.Member
	entries map[string]fleet.Member
	// lapsed holds the agents whose keys have vanished.
	lapsed map[string]lapse
	group  string
}

// counters counts what the agent did.
type counters struct {
	orders, unanswered, unfit, changes, copies, leads metrics.Counter
}

// Listen opens the process's addresses.
func (r *Ranker) Listen() error {
	s := r.Settings
	if r.Registry == nil {
		r.Registry = metrics.NewRegistry()
	}
	if r.Output == nil {
		r.Output = os.Stdout
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("rank."+name, r.Registry) }
	r.counts = counters{
		orders: counter("orders"), unanswered: counter("ordersUnanswered"), unfit: counter("ordersUnfit"),
		changes: counter("mapChanges"), copies: counter("expertCopies"), leads: counter("terms"),
	}
	r.agents, r.entries = map[string]fleet.Member{}, map[string]fleet.Member{}
	r.lapsed = map[string]lapse{}
	r.store = &platform.Store{
		Addr: s.PlatformAddresses[0].String(), Timeout: storeTimeout,
		Budget: kv.Budget{PerSecond: callsPerSecond}, Metrics: r.Registry,
	}
	r.store.Open()
	r.engine = &platform.Engine{Addr: s.EndpointAddress.String(), Timeout: engineTimeout}
	r.engine.Open()
	r.told = newCountLog(boottime.Now())
	r.delegate = newDelegate(r)
	r.grouped = make(chan struct{})
	r.conns = &peer.Conns{}
	r.peers = &peer.Server{Addr: s.PeerAddress.String(), Register: func(g grpc.ServiceRegistrar) {
		fleetpb.RegisterAgentServer(g, &service{ranker: r})
	}}
	return r.peers.Listen()
}

// Run works until ctx ends.
func (r *Ranker) Run(ctx context.Context) error {
	parts := []process.Part{
		r.peers.Run, r.register, r.follow,
		func(ctx context.Context) error { return r.Log.Run(ctx, r.Output) },
	}
	parts = append(parts, process.MetricsParts(r.Settings.MetricsAddress, r.Registry)...)
	r.Log.WithField("endpoint", r.Settings.EndpointAddress.String()).Info("ranker serves")
	return process.RunParts(ctx, parts, func(error) error {
		r.leave()
		return nil
	})
}

// leave ends the lead of a group before the process ends, so that nothing stays
// held and another agent leads at once.
func (r *Ranker) leave() {
	r.leaving.Store(true)
	end := time.Now().Add(leaveTime)
	for r.leads.Load() && time.Now().Before(end) {
		time.Sleep(leaveTick)
	}
	r.Log.Info("ranker stops")
}

func (r *Ranker) storeFailed(err error) {
	r.Log.WithFields(logrus.Fields{"dependency": "store", "cause": err.Error()}).Warn("call failed")
}

// register keeps the agent's own key, once its group is known.
func (r *Ranker) register(ctx context.Context) error {
	group := r.awaitGroup(ctx)
	if group == "" {
		return nil
	}
	registrar := &fleet.Registrar{Store: r.store, Failed: r.storeFailed, Doubt: &r.doubt, Returned: r.returned.Raise, Member: fleet.Member{
		Kind: fleet.Agent, Name: r.Settings.Name, DataCentre: r.Settings.DataCentre,
		Address: r.peers.Address(), Endpoint: r.Settings.EndpointAddress.String(), Group: group,
	}}
	return registrar.Run(ctx)
}

// awaitGroup returns the group of the agent's engine, or "" when ctx ends.
func (r *Ranker) awaitGroup(ctx context.Context) string {
	select {
	case <-r.grouped:
	case <-ctx.Done():
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group
}

// follow looks at the own engine, and leads its group when nobody else does.
func (r *Ranker) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		r.awaitLook(ctx)
		s, err := r.engine.State(ctx)
		if err != nil || s.Group == "" {
			continue // an engine that starts has no group yet
		}
		r.mu.Lock()
		r.group = s.Group
		r.mu.Unlock()
		r.groupedOnce.Do(func() { close(r.grouped) })
		if !r.leaving.Load() && r.led.ask(s.Rank, s.Size, boottime.Now()) {
			// Whoever doesn't look here may not see this agent's key any more.
			r.doubt.Raise()
			r.tryLead(ctx, s)
		}
	}
	return nil
}

// awaitLook waits until it is time to look, or a group's leader is gone.
func (r *Ranker) awaitLook(ctx context.Context) {
	t := time.NewTimer(ownEvery)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.free.Raised():
	case <-ctx.Done():
	}
}

// tryLead takes the group's lease, if it is free, and leads until it is lost.
func (r *Ranker) tryLead(ctx context.Context, s lockstep.State) {
	lease := &rank.KVLease{KV: r.store, Prefix: fleet.Prefix, Group: s.Group, Holder: holderName(r.Settings.Name, s.Rank), TTL: leaseTime}
	now := boottime.Now()
	if !r.isFree(ctx, lease) {
		return
	}
	before, known := r.led.last()
	token, until, err := lease.Acquire(ctx, now)
	if err != nil {
		r.Log.WithFields(logrus.Fields{"group": s.Group, "cause": err.Error()}).Info("group not led from here")
		return
	}
	own := predecessor{name: r.Settings.Name, Predecessor: lockstep.Predecessor{Token: token, Rank: s.Rank}}
	r.led.leads(own, now)
	defer func() { r.led.leads(own, boottime.Now()) }()
	r.counts.leads.Inc(1)
	r.Log.WithFields(logrus.Fields{"group": s.Group, "token": token, "epoch": s.Epoch}).Info("group led from here")
	r.leads.Store(true)
	defer r.leads.Store(false)
	t := newTerm(r, lease, s, token, until)
	if known && before.name != r.Settings.Name {
		t.leader.Before = &before.Predecessor
		t.looker.expectDark(before.name, now)
		t.tree.Failed(before.name, now)
	}
	endMembers := r.followMembers(ctx)
	t.run(ctx)
	endMembers()
	r.Log.WithFields(logrus.Fields{"group": s.Group, "token": token}).Info("group no longer led from here")
}

// isFree reports whether nobody holds the group's lease, and notes who does.
func (r *Ranker) isFree(ctx context.Context, lease *rank.KVLease) bool {
	held, ok, err := lease.Held(ctx)
	if err != nil {
		r.storeFailed(err)
		return false
	}
	if !ok {
		return true
	}
	if by, ok := holderOf(held); ok {
		r.led.holds(by)
	} else {
		r.Log.WithField("group", lease.Group).Warn("the lease does not tell its holder's rank")
	}
	return false
}
