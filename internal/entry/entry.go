package entry

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/claim"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

const (
	// watchPeriod bounds for how long a change can hide behind a watch that
	// sends nothing.
	watchPeriod = 2 * time.Second
	// announceTime is how long a leaving entry still takes requests while
	// /readyz says no: the platform's balancer has noticed by then.
	announceTime = 2 * time.Second
	// claimRetention is how long a released claim's record is kept: as long as
	// the agents keep theirs.
	claimRetention = 24 * time.Hour
)

// platformBudget bounds one entry's calls a second, so that today's nine
// entries together stay under a fifth of what the service handles.
var platformBudget = process.Budget{Writes: 10, Reads: 40}

// Entry is the process that meets callers. Set the exported fields before Run.
type Entry struct {
	// Settings are the process's settings.
	Settings *settings.Entry
	// Log receives changes of state.
	Log *logrus.Logger
	// Registry receives the metrics; nil means a new one.
	Registry metrics.Registry
	// TLS secures the entry's connections; its zero value means plain TCP.
	TLS process.TLS
	// Dial opens connections to other processes; nil means TCP.
	Dial process.Dial
	// Announce is how long requests are still taken after the entry began to
	// leave; zero means two seconds.
	Announce time.Duration

	clock     timeline.Clock
	ring      *timeline.Ring
	store     config.Store
	view      atomic.Pointer[view]
	scheduler scheduler
	members   members
	conns     peer.ConnPool
	pace      pace
	counters  counters
	sequence  atomic.Uint64
	leaving   atomic.Bool
	platform  *platform.Client
	writer    *config.Writer
	callers   *caller.Server
	peers     *peer.Server
	admin     *operator.Server
	directory directory
	shares    shares
	spreading spreading
	fatal     fatalRequests
}

func (e *Entry) now() time.Time { return time.Now() }

// init gives the parts what they need of each other.
func (e *Entry) init() {
	if e.Registry == nil {
		e.Registry = metrics.NewRegistry()
	}
	if e.Announce == 0 {
		e.Announce = announceTime
	}
	e.ring = &timeline.Ring{Clock: &e.clock}
	e.counters = newCounters(e.Registry)
	e.conns.TLS = e.TLS.Client
	e.conns.Dial = e.Dial
	e.scheduler.init()
	e.fatal.init()
	e.scheduler.balancer.DataCentre = e.Settings.DataCentre
	e.scheduler.balancer.Seed = seedOf(e.Settings.Name)
	e.scheduler.admission.MaxWaiting = e.Settings.Limits.QueueLength
	e.members = members{
		conns: &e.conns, store: &e.store, clock: &e.clock, ring: e.ring,
		name: e.Settings.Name, now: e.now,
		report: e.scheduler.report, lost: e.lost, pushes: e.counters.pushes,
		others: func() int { return len(e.directory.entries()) },
	}
	e.platform = process.Platform(&e.Settings.Process, platformBudget, e.TLS.Client, e.Dial, e.Registry)
	e.writer = &config.Writer{KV: e.platform, Store: &e.store, SyncPeers: e.spreading.syncPeers}
	e.directory = directory{
		name: e.Settings.Name, dataCentre: e.Settings.DataCentre,
		list: process.VMList(&e.Settings.Process, e.Dial, e.Registry), members: &e.members,
	}
	e.spreading.init(e)
	e.shares.entry = e
	e.shares.init()
}

// Listen opens the entry's addresses, so that they are known before Run.
func (e *Entry) Listen() error {
	e.init()
	e.peers = &peer.Server{
		Addr: e.Settings.PeerAddress.String(),
		TLS:  e.TLS.Peers,
		Peer: e.service(),
		Register: func(r grpc.ServiceRegistrar) {
			peerpb.RegisterEntryServer(r, &server{shares: &e.shares})
		},
	}
	if err := e.peers.Listen(); err != nil {
		return err
	}
	l := e.Settings.Limits
	e.callers = &caller.Server{
		Addr:        e.Settings.CallerAddress.String(),
		TLS:         e.TLS.Callers,
		BodyLimit:   l.BodyBytes,
		MaxConns:    l.MaxConnections,
		ReadTimeout: l.RequestTimeout,
		IdleTimeout: l.IdleTimeout,
		Handler:     e,
		OnLost:      e.logLost,
	}
	if err := e.callers.Listen(); err != nil {
		return err
	}
	return e.listenAdmin()
}

func (e *Entry) listenAdmin() error {
	e.admin = &operator.Server{
		Addr: e.Settings.AdminAddress.String(),
		Keys: e.TLS.Keys,
		Token: &settings.Token{
			Fixed: e.Settings.OperatorToken, File: e.Settings.OperatorTokenFile, Interval: e.Settings.OperatorReload,
		},
		Configuration: operator.Document{Writer: e.writer},
		Claims: claimsOf{registry: &claim.Registry{
			KV: e.platform, DispatchWindow: claim.DispatchWindow, ReleaseMargin: claim.ReleaseMargin,
			Retention: claimRetention, Now: e.now,
		}},
		Status:   statusOf{entry: e},
		Timeline: timelineOf{entry: e},
		Metrics:  e.Registry,
		Now:      e.now,
		Log:      e.Log,
	}
	return e.admin.Listen()
}

// AdminAddress returns where operators are met, as IP:port.
func (e *Entry) AdminAddress() string { return e.admin.Address() }

// CallerAddress returns where callers are met, as IP:port.
func (e *Entry) CallerAddress() string { return e.callers.Address() }

// PeerAddress returns where other processes are met, as IP:port.
func (e *Entry) PeerAddress() string { return e.peers.ListenAddr() }

func (e *Entry) service() *peer.Service {
	return &peer.Service{
		Name: e.Settings.Name, DataCentre: e.Settings.DataCentre,
		Clock: &e.clock, Events: e.ring, Store: &e.store,
		State: e.status, Now: e.now,
	}
}

// status describes the entry.
func (e *Entry) status() *peerpb.StatusReply {
	r := &peerpb.StatusReply{
		Process:           e.Settings.Name,
		Role:              "entry",
		DataCentre:        e.Settings.DataCentre,
		Generation:        e.store.Current().Head().Generation(),
		Leaving:           e.leaving.Load(),
		PlatformReachable: e.platform.Reachable(),
		Endpoints:         e.members.reports(),
	}
	v := e.view.Load()
	if v == nil {
		return r
	}
	r.Preset = v.preset.Name()
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	for _, a := range v.preset.Accounts() {
		r.Accounts = append(r.Accounts, &peerpb.AccountStatus{
			Name:  a.Name(),
			Open:  uint32(e.scheduler.admission.Open(a.Name())),
			Limit: uint32(a.Concurrency()),
		})
	}
	return r
}

// lost takes an endpoint whose agent can't be heard out of the balancer.
func (e *Entry) lost(endpoint string) {
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	e.scheduler.balancer.Remove(endpoint)
}

// apply puts the newest configuration into force in this entry.
func (e *Entry) apply(now time.Time) {
	s := e.store.Current()
	v, faults := newView(s, e.view.Load())
	if len(faults) > 0 {
		// The preset was checked when it was put. An entry of an older version
		// may not know all of its keys; what was in force stays.
		e.Log.WithField("faults", len(faults)).Error("the preset in force can't be read")
		return
	}
	if v == nil {
		return
	}
	e.scheduler.configure(v, e.Settings.Limits.QueueLength, now)
	e.shares.apply(v, now)
	old := e.view.Swap(v)
	if old == nil || old.generation != v.generation || old.preset.Name() != v.preset.Name() {
		e.Log.WithFields(logrus.Fields{"generation": v.generation, "preset": v.preset.Name()}).Info("configuration in force")
		e.ring.Add(timeline.GenerationApplied, "", "", v.preset.Name(), v.generation, now)
	}
}

// configure puts a view into force for requests that come from now on.
func (s *scheduler) configure(v *view, queueLength int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if queueLength == 0 {
		queueLength = v.preset.QueueLength()
	}
	s.admission.MaxWaiting = queueLength
	s.budget.Percent = v.preset.RetryBudget() * 100
	// The preset's check has found these limits good.
	_ = s.admission.Configure(v.limits(), now)
	s.balancer.SetOutOfService(v.endpoints, v.dataCentres, now)
	s.pump(now)
}

// Endpoints returns how many endpoints can serve a route of the preset in
// force, as their agents last said.
func (e *Entry) Endpoints() int {
	n := 0
	for _, r := range e.members.reports() {
		if len(r.GetRoutes()) > 0 {
			n++
		}
	}
	return n
}

// Generation returns the generation of the configuration in force here.
func (e *Entry) Generation() uint64 {
	if v := e.view.Load(); v != nil {
		return v.generation
	}
	return 0
}

// IsOut reports whether the target is out of service as this entry acts.
func (e *Entry) IsOut(t config.Target) bool {
	v := e.view.Load()
	if v == nil {
		return false
	}
	if t.Kind() == config.DataCentreKind {
		return slices.Contains(v.dataCentres, t.Name())
	}
	return slices.Contains(v.endpoints, t.Name())
}

// Leaving reports whether the entry has announced that it leaves.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// logLost logs and counts a caller's connection that was lost.
func (e *Entry) logLost(l caller.Lost) {
	e.counters.lost.Inc(1)
	e.Log.WithFields(l.Fields()).Info("caller's connection lost")
}
