package frontend

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/document"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/readers"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

const (
	// storeTimeout bounds a call to the store, which answers in milliseconds.
	storeTimeout = 700 * time.Millisecond
	// pollSettle is how long changes are let gather after some came. It is a
	// tenth of the time in which configuration has to be in force.
	pollSettle = 200 * time.Millisecond
	// mostSettle is up to what that grows in the first startTime, while changes
	// go on coming: as a fleet of a hundred starts, something changes several
	// times a second, and 42 entries made 900 calls in 5 s. Later it would cost
	// callers: endpoints that come and go were known as much later, and three
	// times as many requests failed on a day of many faults.
	startTime  = 6 * time.Second
	mostSettle = 800 * time.Millisecond
	// keyMargin is taken from the time in which a key must be refused: for the
	// way of a request to its endpoint.
	keyMargin = 300 * time.Millisecond
	// callsPerSecond bounds this process's calls to the store. A fleet of 40
	// stays below two thirds of the 2,000 reads a second that the store takes.
	callsPerSecond = 30
	// bodyLimit and connLimit bound what callers take up. The configuration
	// allows bodies of 4 MB; a connection holds some 20 KB.
	bodyLimit = 5 << 20
	connLimit = 2500
	// readTimeout bounds the arrival of a request; callers have three seconds
	// for its head by the configuration.
	readTimeout = 20 * time.Second
	// idleTimeout is longer than any time that the configuration lets callers
	// keep an unused connection: whoever closes first may cut a request.
	idleTimeout = 2 * time.Minute
)

// Frontend is one entry. Set the exported fields, then Listen, then Run.
type Frontend struct {
	Settings *settings.Relay
	Log      *process.BoundedLog
	Registry metrics.Registry
	// Output receives the log lines; nil means standard output.
	Output io.Writer
	// Reload reads the settings anew; nil means that they never change.
	Reload func() (*settings.Relay, error)
	// Hangup gets a value when the settings may have changed.
	Hangup <-chan os.Signal

	store    *platform.Store
	mirror   *mirror.Mirror
	belief   *relay.Belief
	fresh    relay.Freshness
	relay    *relay.Relay
	callers  *caller.Server
	ready    *caller.Server
	peers    *peer.Server
	conns    *peer.Conns
	stopping atomic.Bool
	bounds   atomic.Pointer[settings.Bounds]
	basis    readers.Basis
	// documents holds the configuration in force as the store does, sender passes it
	// on, and lacking is one that another entry holds and this one doesn't.
	documents document.Holder
	sender    document.Sender
	lacking   lacking
	others    others
	work      *teller
	hub       hub
	// copy is what was heard from the store, to be told to others, and choice says
	// who is asked for it. Only the mirror's goroutine uses choice, source and
	// sourceAddress, which are who was asked last, once sourced is set, sourceOrigin,
	// which is whom the store itself has told what that one told, returned,
	// which is when the store last came back by what others told, and lostElsewhere,
	// which says that it did not answer one of them.
	copy          mirror.Copy
	choice        readers.Choice
	sources       sourceMetrics
	source        string
	sourceAddress string
	sourceOrigin  string
	sourced       bool
	returned      time.Time
	// lostElsewhere has the next answer of the store count as its return. Guard:
	// entries of endpoints that lapsed in an outage hold for a while after it. One
	// that begins to ask the store as another lost it has not seen it away itself.
	lostElsewhere bool
	// engines are those of which loads are told.
	engines fleet.Lists
	// doubt is raised when leases in the store may have lapsed.
	doubt wake.Signal
}

// Listen opens the process's addresses.
func (f *Frontend) Listen() error {
	s := f.Settings
	f.build()
	f.callers = &caller.Server{
		Addr: s.CallerAddress.String(), BodyLimit: bodyLimit, MaxConns: connLimit,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, Passer: f.relay, Now: boottime.Now,
	}
	f.ready = &caller.Server{
		Addr: s.ReadyAddress.String(), BodyLimit: bodyLimit, MaxConns: connLimit,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, Passer: readiness{f},
	}
	f.conns = &peer.Conns{}
	f.peers = &peer.Server{Addr: s.PeerAddress.String(), Register: func(g grpc.ServiceRegistrar) {
		fleetpb.RegisterEntryServer(g, &service{frontend: f})
	}}
	if err := f.callers.Listen(); err != nil {
		return err
	}
	if err := f.ready.Listen(); err != nil {
		return err
	}
	return f.peers.Listen()
}

// CallerAddress returns where callers are met, as IP:port.
func (f *Frontend) CallerAddress() string { return f.callers.Address() }

// ReadyAddress returns where readiness is asked, as IP:port.
func (f *Frontend) ReadyAddress() string { return f.ready.Address() }

func (f *Frontend) build() {
	s := f.Settings
	if f.Registry == nil {
		f.Registry = metrics.NewRegistry()
	}
	if f.Output == nil {
		f.Output = os.Stdout
	}
	now := boottime.Now()
	wait := readers.Wait(s.Bounds.ChangeApply)
	f.store = &platform.Store{
		Addr: s.PlatformAddresses[0].String(), Timeout: storeTimeout,
		Budget: kv.Budget{PerSecond: callsPerSecond}, Metrics: f.Registry,
	}
	f.store.Open()
	f.belief = &relay.Belief{
		DataCentre: s.DataCentre, Name: s.Name, Seed: xxhash.Sum64String(s.Name), Fresh: &f.fresh,
	}
	f.work = newTeller(f)
	f.belief.Changed = f.work.woken.Raise
	f.belief.Begin(now)
	f.mirror = &mirror.Mirror{
		Reader: f.store, Wait: wait, Asking: f.basis.Ask, Settle: pollSettle, MostSettle: mostSettle, StartTime: startTime,
		Now: boottime.Now, Apply: f.apply, Failed: f.storeFailed,
	}
	f.choice.Own = s.Name
	f.basis.Own, f.basis.Wait = s.Name, wait
	f.sources = newSourceMetrics(f.Registry)
	f.copy.Apart = platform.DocumentKey
	f.sender.Holder = &f.documents
	f.sender.Pace = &document.Pace{BytesPerSecond: documentPart * s.LineRate}
	f.mirror.Neighbour = f.hearNeighbour
	f.relay = &relay.Relay{
		Belief: f.belief, Client: &direct.Client{}, Dialect: platform.Dialect{},
		Now: boottime.Now, Log: f.Log.Logger,
		Metrics: relay.NewMetrics(f.Registry),
	}
	f.relay.Metrics.Watch(f.belief, boottime.Now)
	f.use(s.Bounds)
}

// Run serves until ctx ends and then leaves without cutting a request.
func (f *Frontend) Run(ctx context.Context) error {
	registrar := &fleet.Registrar{Store: f.store, Failed: f.callFailed, Doubt: &f.doubt, Member: fleet.Member{
		Kind: fleet.Entry, Name: f.Settings.Name, DataCentre: f.Settings.DataCentre,
		Address: f.peers.Address(),
	}}
	parts := []process.Part{
		f.mirror.Run, registrar.Run, f.work.run, f.passOn, f.prove, f.fetchDocuments, f.followSettings, f.peers.Run, f.relay.Sweep,
		func(ctx context.Context) error { return f.Log.Run(ctx, f.Output) },
		f.runServers,
	}
	parts = append(parts, process.MetricsParts(f.Settings.MetricsAddress, f.Registry)...)
	f.Log.WithField("callers", f.callers.Address()).Info("relay serves")
	return process.RunParts(ctx, parts, func(error) error {
		f.leave()
		return nil
	})
}

// runServers ends the servers after the leave, when nothing runs any more.
func (f *Frontend) runServers(ctx context.Context) error {
	<-ctx.Done()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := f.callers.Run(ended, 0); err != nil {
		return err
	}
	return f.ready.Run(ended, 0)
}

// readiness answers whether the process takes connections.
type readiness struct{ frontend *Frontend }

// Pass implements caller.Passer.
func (r readiness) Pass(_ context.Context, raw *caller.Raw, w *caller.Reply) {
	status := http.StatusServiceUnavailable
	switch {
	case raw.Path != platform.ReadyPath:
		status = http.StatusNotFound
	case r.frontend.takesCallers(boottime.Now()):
		status = http.StatusOK
	}
	if err := w.AnswerRaw(status, http.Header{}, nil); err != nil {
		r.frontend.Log.WithField("cause", err.Error()).Debug("readiness answer not taken")
	}
}

// takesCallers reports whether callers are served better here than elsewhere:
// not by an entry that knows nothing yet, is about to stop, or would refuse all
// keys because it is cut off from the store.
func (f *Frontend) takesCallers(now time.Time) bool {
	if f.stopping.Load() || !f.belief.Known() {
		return false
	}
	return f.fresh.Age(now) <= f.relay.KeyAge()
}

// service answers the other processes.
type service struct {
	fleetpb.UnimplementedEntryServer

	frontend *Frontend
}

// Proof implements fleetpb.EntryServer.
func (s *service) Proof(context.Context, *fleetpb.ProofRequest) (*fleetpb.ProofReply, error) {
	f := s.frontend
	t := f.belief.Table()
	if t == nil {
		return nil, result.New(result.NoPreset, "")
	}
	return &fleetpb.ProofReply{
		AgeMicros: uint64(max(0, f.fresh.Age(boottime.Now()).Microseconds())),
		Version:   t.Version(),
	}, nil
}
