package frontend

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/drain"
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
	"github.com/hyssoprelay/hyssoprelay/platform"
)

const (
	// storeTimeout limits a call to the store, which answers in milliseconds.
	storeTimeout = 700 * time.Millisecond
	// changeBatchDelay is how long the poll loop waits after an answer with changes, so
	// that further ones come in one answer. It is a tenth of the time within which
	// configuration must be in force.
	changeBatchDelay = 200 * time.Millisecond
	// startupPeriod is the time after the start of the process within which that delay
	// grows up to maxChangeBatchDelay while successive answers report changes: while a
	// fleet of a hundred starts, something changes several times per second, and 42
	// entries made 900 calls in 5 s. Later, a longer delay would harm callers: endpoints
	// that come and go became known that much later, and three times as many requests
	// failed on a day with many faults.
	startupPeriod       = 6 * time.Second
	maxChangeBatchDelay = 800 * time.Millisecond
	// keyRevokeMargin is subtracted from the time within which a revoked key must be
	// refused, to cover the transit of a request to its endpoint.
	keyRevokeMargin = 300 * time.Millisecond
	// storeCallsPerSecond limits this process's calls to the store. A fleet of 40 stays
	// below two thirds of the 2,000 reads per second that the store accepts.
	storeCallsPerSecond = 30
	// maxBodyBytes and maxConns limit the resources that callers can occupy. The
	// configuration allows bodies of 4 MB; a connection takes about 20 KB of memory.
	maxBodyBytes = 5 << 20
	maxConns     = 2500
	// callerMemoryShare is the part of the VM's memory that may be held for callers, and
	// processMemoryShare the size of the whole process, also as a part, from which on
	// the garbage collector runs more often in place of letting the process grow.
	// responseMemoryShare is the part that may be buffered for endpoints' responses that don't
	// tell their length: 5.8 MB of the smallest VM.
	callerMemoryShare   = 0.25
	processMemoryShare  = 0.75
	responseMemoryShare = 1.0 / 32
	// readTimeout limits the time to receive a request; the configuration gives callers
	// three seconds for its header.
	readTimeout = 20 * time.Second
	// idleTimeout is longer than any time for which the configuration lets callers keep
	// an idle connection: the side that closes first may cut off a request.
	idleTimeout = 2 * time.Minute
)

// Frontend is one entry process. Set the exported fields, then call Listen and Run,
// in this order.
type Frontend struct {
	Settings *settings.Relay
	Log      *process.BoundedLog
	// Registry receives the metrics; nil means a new registry.
	Registry metrics.Registry
	// Output receives the log lines; nil means standard output.
	Output io.Writer
	// MaxHostWait is the longest time that the process, when it starts together with the
	// whole fleet, waits for another entry with which it can register. Zero selects the
	// default of 2 s.
	MaxHostWait time.Duration
	// Reload loads the settings again; nil means that they never change.
	Reload func() (*settings.Relay, error)
	// ReloadSignal receives a value when the settings may have changed.
	ReloadSignal <-chan os.Signal

	store        *platform.Store
	mirror       *mirror.Mirror
	state        *relay.State
	freshness    relay.Freshness
	relay        *relay.Relay
	callerServer *caller.Server
	readyServer  *caller.Server
	peerServer   *peer.Server
	peerConns    *peer.ConnPool
	stopping     atomic.Bool
	// stopBy is when the connections of callers are closed. It is set by drain.
	stopBy      time.Time
	bounds      atomic.Pointer[settings.Bounds]
	storeStatus readers.Freshness
	// documents holds the configuration in force as it is stored, documentSender passes
	// it to other entries, and missing is a configuration that another entry holds and
	// this one does not.
	documents      document.Versions
	documentSender document.Sender
	// inForceMu makes a configuration come into force and be held at once. It is locked before
	// the locks of state and documents.
	inForceMu sync.Mutex
	missing   missingTracker
	members   memberSet
	// host keeps processes registered in the store. hostWait is how long this entry, having
	// listed the store's hosts for the first time, waits for another one before it registers by
	// itself, and aloneUntil the end of that time, or nil before that list. fleetRuns reports that
	// others were registered then.
	host         *fleet.Host
	hostWait     time.Duration
	aloneUntil   atomic.Pointer[time.Time]
	fleetRuns    atomic.Bool
	workReporter *workReporter
	// silent holds the entries that did not answer in time when told of an endpoint's end.
	silent  silentEntries
	hub     hub
	hubLoad hubLoad
	// storeCopy holds what was received from the store, to be passed to other entries,
	// and sourceSelector selects the entry from which updates are requested, or starter while
	// this one has no state. transfer holds the pages of the complete state that have been
	// received. wasHost reports that the store listed this entry as a host when it started. Only
	// the mirror's goroutine uses sourceSelector, starter and the fields from transfer to
	// storeLostByPeer. Once
	// hasSource is set, source and sourceAddress identify the entry asked last; an empty
	// source is the store. sourceOrigin is the entry that received the source's updates
	// directly from the store. storeRecovered is the time of the last recovery of the
	// store that other entries reported.
	storeCopy      mirror.Copy
	sourceSelector readers.SourceSelector
	starter        readers.Starter
	sourceMetrics  sourceMetrics
	transfer       mirror.Transfer
	wasHost        bool
	// firstSources holds the addresses of entries, besides the hosts, from which this one may get its
	// first state, by name. firstStates decides whom this one sends it to.
	firstSources map[string]string
	firstStates  firstStateSender
	// readStore reports that this entry has read the complete state from the store.
	readStore      bool
	source         string
	sourceAddress  string
	sourceOrigin   string
	hasSource      bool
	storeRecovered time.Time
	// storeLostByPeer reports that the store did not answer another entry; the store's
	// next answer to this entry then counts as its recovery. Endpoints whose store
	// entries expired in an outage are retained for a while after it, but an entry that
	// starts to poll the store because another one lost it has not seen the outage
	// itself.
	storeLostByPeer bool
	// targetLists holds the lists of engines to which load reports refer.
	targetLists fleet.TargetLists
	// callersLost counts the callers' connections that were lost.
	callersLost metrics.Counter
	// callersUnread counts those that were closed unread.
	callersUnread metrics.Counter
	// holdsMalformed counts the orders in the store that could not be read.
	holdsMalformed metrics.Counter
	// leaseSuspect is raised when leases in the store may have expired.
	leaseSuspect wake.Signal
}

// Listen opens the process's listening addresses.
func (f *Frontend) Listen() error {
	s := f.Settings
	f.build()
	f.callerServer = &caller.Server{
		Addr: s.CallerAddress.String(), BodyLimit: maxBodyBytes, MaxConns: maxConns,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, Forwarder: f.relay, Now: boottime.Now,
		MemoryLimit: int64(callerMemoryShare * float64(s.Memory)), OnCutOff: f.logCutOff,
		OnLost: f.logLost, OnUnserved: f.logUnserved, OnProbeLost: f.logProbeLost, OnUnread: f.logUnread,
		RequestID: func(h http.Header) string { return f.relay.HeaderCodec.ReadRequest(h).ID },
	}
	f.readyServer = &caller.Server{
		Addr: s.ReadyAddress.String(), BodyLimit: maxBodyBytes, MaxConns: maxConns,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, Forwarder: readiness{f},
	}
	traffic := &peer.Traffic{Registry: f.Registry}
	f.peerConns = &peer.ConnPool{Traffic: traffic}
	f.peerServer = &peer.Server{Addr: s.PeerAddress.String(), Traffic: traffic, Register: func(g grpc.ServiceRegistrar) {
		fleetpb.RegisterEntryServer(g, &service{frontend: f})
	}}
	if err := f.callerServer.Listen(); err != nil {
		return err
	}
	if err := f.readyServer.Listen(); err != nil {
		return err
	}
	return f.peerServer.Listen()
}

// logCutOff logs that a caller was cut off because it did not read its answer.
func (f *Frontend) logCutOff(c caller.CutOff) {
	f.Log.WithFields(logrus.Fields{
		"code": int(c.Cause.Code()), "result": c.Cause.Code().String(), "cause": c.Cause.Detail(),
		"held": c.Held, "stalled": c.Stalled.Milliseconds(),
	}).Warn("caller cut off")
}

// logLost logs and counts a caller's connection that was lost.
func (f *Frontend) logLost(l caller.Lost) {
	f.callersLost.Inc(1)
	f.Log.WithFields(l.Fields()).Info("caller's connection lost")
}

// logUnserved logs a request that was received behind the last answer of its connection.
func (f *Frontend) logUnserved(id string) {
	f.Log.WithField("request", id).Info("request behind the last answer of its connection is not served")
}

// logProbeLost logs that the connection is being replaced through which the process asks its event
// loop whether it may be given a caller's connection.
func (f *Frontend) logProbeLost(cause error) {
	f.Log.WithField("cause", cause.Error()).Warn("event loop probe lost")
}

// logUnread logs and counts a caller's connection that was closed unread.
func (f *Frontend) logUnread() {
	f.callersUnread.Inc(1)
	f.Log.Warn("caller's connection closed unread, the event loop is busy")
}

// CallerAddress returns the IP:port at which callers are served. Call it after
// Listen.
func (f *Frontend) CallerAddress() string { return f.callerServer.Address() }

// ReadyAddress returns the IP:port of the readiness check. Call it after Listen.
func (f *Frontend) ReadyAddress() string { return f.readyServer.Address() }

func (f *Frontend) build() {
	s := f.Settings
	if f.Registry == nil {
		f.Registry = metrics.NewRegistry()
	}
	if f.Output == nil {
		f.Output = os.Stdout
	}
	f.callersLost = metrics.GetOrRegisterCounter("relay.callersLost", f.Registry)
	f.callersUnread = metrics.GetOrRegisterCounter("relay.callersUnread", f.Registry)
	f.holdsMalformed = metrics.GetOrRegisterCounter("relay.holdsMalformed", f.Registry)
	now := boottime.Now()
	pollWait := readers.Wait(s.Bounds.ChangeApply)
	f.store = &platform.Store{
		Addr: s.PlatformAddresses[0].String(), Timeout: storeTimeout,
		Budget: kv.RateLimiter{PerSecond: storeCallsPerSecond}, Metrics: f.Registry, OnTooLong: f.logTooLong,
	}
	f.store.Open()
	f.state = &relay.State{
		DataCentre: s.DataCentre, Name: s.Name, Seed: xxhash.Sum64String(s.Name), Freshness: &f.freshness,
	}
	f.hostWait = rand.N(cmp.Or(f.MaxHostWait, maxHostWait))
	f.host = &fleet.Host{Store: f.store, RenewElsewhere: f.renewElsewhere, OnError: f.callFailed, Now: boottime.Now}
	f.workReporter = newWorkReporter(f)
	f.state.OnChange = f.workReporter.changed.Raise
	f.state.OnPartChange, f.state.OnRequestChange = f.logPartChange, f.logRequestChange
	f.state.Init(now)
	f.mirror = &mirror.Mirror{
		Reader: f.store, Wait: pollWait, OnRequest: f.storeStatus.NoteRequest, Settle: changeBatchDelay, MaxSettle: maxChangeBatchDelay, StartupPeriod: startupPeriod,
		Now: boottime.Now, Apply: f.apply, OnError: f.storeFailed, OnRelist: f.logRelist,
	}
	f.sourceSelector.Self, f.starter.Self = s.Name, s.Name
	f.firstSources = map[string]string{}
	f.storeStatus.Self, f.storeStatus.Wait = s.Name, pollWait
	f.storeStatus.NoteProgress(now)
	f.sourceMetrics = newSourceMetrics(f.Registry, f.heldDocument, f.newestKnownDocument)
	f.storeCopy.SeparateKey = platform.DocumentKey
	f.documentSender.Versions = &f.documents
	f.documentSender.Pacer = &document.Pacer{BytesPerSecond: documentBandwidthShare * s.LineRate}
	f.mirror.Peer = f.followPeer
	f.relay = &relay.Relay{
		State: f.state, Client: f.newClient(), HeaderCodec: platform.HeaderCodec{},
		Now: boottime.Now, Log: f.Log.Logger,
		Metrics: relay.NewMetrics(f.Registry), AnnounceEnd: f.announceEnd,
	}
	f.relay.Client.OnStray = f.relay.LogStray
	f.relay.Metrics.RegisterGauges(f.state, boottime.Now)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(processMemoryShare * float64(s.Memory)))
	}
	f.applyBounds(s.Bounds)
}

// newClient returns the client that calls endpoints.
func (f *Frontend) newClient() *direct.Client {
	c := &direct.Client{}
	c.Memory.Limit = int64(responseMemoryShare * float64(f.Settings.Memory))
	return c
}

// Run serves until ctx is done, then drains without interrupting requests.
func (f *Frontend) Run(ctx context.Context) error {
	f.host.Self = f.member().Key()
	registrar := &fleet.Registrar{Store: f.store, OnError: f.callFailed, RenewNow: &f.leaseSuspect, Member: f.member, Hosts: f.registrationHosts}
	parts := []process.Part{
		f.mirror.Run, f.host.Run, registrar.Run, f.workReporter.run, f.forwardWork, f.refreshFromPeers, f.fetchDocuments, f.exchangeCases, f.saveParts, f.watchSettings, f.peerServer.Run, f.relay.CloseIdleConns, f.relay.WatchSilences, f.relay.UpdateMetrics,
		func(ctx context.Context) error { return f.Log.Run(ctx, f.Output) },
		func(ctx context.Context) error { return process.LogTraffic(ctx, f.Log, f.Registry) },
		f.stopServers,
	}
	parts = append(parts, process.MetricsParts(f.Settings.MetricsAddress, f.Registry)...)
	f.Log.WithField("callers", f.callerServer.Address()).Info("relay started")
	return process.RunParts(ctx, parts, func(error) error {
		f.drain()
		return nil
	})
}

// stopServers waits until ctx is done, which is after the drain, and stops the servers
// for callers and for readiness checks. Requests that have arrived since the drain ended are still answered.
func (f *Frontend) stopServers(ctx context.Context) error {
	<-ctx.Done()
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	if err := f.callerServer.Run(stopped, min(f.stopBy.Sub(boottime.Now()), drain.LastAnswersTime)); err != nil {
		return err
	}
	return f.readyServer.Run(stopped, 0)
}

// readiness answers the check whether the process accepts connections.
type readiness struct{ frontend *Frontend }

// Forward implements caller.Forwarder.
func (r readiness) Forward(ctx context.Context, raw *caller.RawRequest, w *caller.Reply) {
	status := http.StatusServiceUnavailable
	switch {
	case raw.Path != platform.ReadyPath:
		status = http.StatusNotFound
	case r.frontend.isReady(boottime.Now()) && r.frontend.callerServer.Responds(ctx):
		status = http.StatusOK
	}
	if err := w.SendRaw(status, http.Header{}, nil); err != nil {
		r.frontend.Log.WithField("cause", err.Error()).Debug("readiness response not written")
	}
}

// isReady reports whether callers should connect to this entry. Others serve them
// better if it has no configuration yet, is about to stop, or would refuse all account
// keys because it is cut off from the store.
func (f *Frontend) isReady(now time.Time) bool {
	if f.stopping.Load() || !f.state.Ready() {
		return false
	}
	return f.freshness.Age(now) <= f.relay.MaxKeyAge()
}

// service handles the calls of the other processes.
type service struct {
	fleetpb.UnimplementedEntryServer

	frontend *Frontend
}
