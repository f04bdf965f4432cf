package agent

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

const (
	// announceTime is how long a leaving agent waits before it refuses, so
	// that entries hear of it first and send their requests elsewhere.
	announceTime = 500 * time.Millisecond
	// loadEvery is how often an engine's load report is read. The report lags,
	// and is read only for the engine's incarnation and its own word that it
	// is cold.
	loadEvery = time.Second
	// restartIdle is how lately a connection must have been used for its close
	// to count as a restart: endpoints keep idle ones longer than this.
	restartIdle = 5 * time.Second
	// loadTimeout bounds one load report.
	loadTimeout = time.Second
)

// platformBudget bounds one agent's calls a second. Claims go in batches, so
// that today's three services together stay under the service's few hundred
// writes.
var platformBudget = process.Budget{Writes: 60, Reads: 60}

func (a *Agent) init(workCtx context.Context) {
	if a.Registry == nil {
		a.Registry = metrics.NewRegistry()
	}
	a.workCtx = workCtx
	a.askLoad = make(chan struct{}, 1)
	a.delivering = make(chan struct{})
	a.incarnation = uint64(a.now().UnixMicro())
	a.ring = &timeline.Ring{Clock: &a.clock}
	a.client = &endpoint.Client{
		Addr:    a.Settings.EndpointAddress.String(),
		Service: a.Settings.Kind == settings.Plain,
		Metrics: a.Registry,
		Log:     a.Log,
		Lost:    a.connectionLost,
	}
	a.platform = process.Platform(&a.Settings.Process, platformBudget, a.TLS.Client, a.Dial, a.Registry)
}

// Listen opens the agent's address, so that it is known before Run.
func (a *Agent) Listen() error {
	ctx, cancel := context.WithCancel(context.Background())
	a.stopWork = cancel
	a.init(ctx)
	a.peers = &peer.Server{
		Addr:  a.Settings.PeerAddress.String(),
		TLS:   a.TLS.Peers,
		Peer:  a.service(),
		Agent: &server{Agent: a},
	}
	if a.Settings.Rank.Group != "" {
		r, err := a.newRanks()
		if err != nil {
			return err
		}
		a.ranks = r
		a.peers.Register = r.Register
	}
	if err := a.peers.Listen(); err != nil {
		return err
	}
	a.claims = a.newBatcher()
	return nil
}

// Address returns where other processes are met, as IP:port.
func (a *Agent) Address() string { return a.peers.ListenAddr() }

func (a *Agent) service() *peer.Service {
	return &peer.Service{
		Name: a.Settings.Name, DataCentre: a.Settings.DataCentre,
		Clock: &a.clock, Events: a.ring, Store: &a.store,
		State: a.status, Now: a.now,
	}
}

func (a *Agent) status() *peerpb.StatusReply {
	r := &peerpb.StatusReply{
		Process:           a.Settings.Name,
		Role:              "agent",
		DataCentre:        a.Settings.DataCentre,
		Generation:        a.store.Current().Head().Generation(),
		Leaving:           a.leaving.Load(),
		PlatformReachable: a.platform.Reachable(),
		Endpoints:         []*peerpb.LoadReport{a.report()},
		Ranks:             a.rankStatus(),
	}
	if v := a.view.Load(); v != nil {
		r.Preset = v.preset
	}
	return r
}

// Run serves until ctx ends, and then leaves gracefully: it says that it
// leaves, refuses new work truly, and stops when what runs has ended or the
// drain time is over. Listen must come first.
func (a *Agent) Run(ctx context.Context) error {
	parts := []process.Part{
		a.platform.Run, a.client.Run, a.peers.Run, a.claims.Run, a.follow, a.keep,
	}
	if a.Settings.Kind == settings.Engine {
		parts = append(parts, a.readLoad)
	}
	stopRanks := func() {}
	if a.ranks != nil {
		ranks, end := a.ranksPart()
		parts, stopRanks = append(parts, ranks), end
	}
	parts = append(parts, process.MetricsParts(a.Settings.MetricsAddress, a.Registry)...)
	return process.RunParts(ctx, parts, func(error) error {
		a.leave()
		a.stopWork()
		stopRanks()
		return nil
	})
}

// leave ends the agent's work without cutting any of it off.
func (a *Agent) leave() {
	a.Log.Info("leaving")
	a.ring.Add(timeline.Leaving, "", a.Settings.EndpointName, "", 0, a.now())
	a.announced.Store(true)
	a.changed()
	time.Sleep(announceTime)
	a.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), a.Settings.DrainTimeout)
	defer cancel()
	a.running.Wait(ctx)
	a.flush()
	a.deliver(ctx)
}

// deliver waits until the entries have taken the last answers: until ctx is done, or for
// announceTime if that is longer. Entries take an answer no faster than its caller reads it.
func (a *Agent) deliver(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Until(deadline), announceTime))
	defer cancel()
	close(a.delivering)
	begun := a.now()
	a.peers.Drain(ctx)
	a.Log.WithFields(logrus.Fields{"took": a.now().Sub(begun).Milliseconds(), "aborted": ctx.Err() != nil}).Info("last answers delivered")
}

// flush stores the outcomes of claimed requests before the agent goes.
func (a *Agent) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	if err := a.claims.Flush(ctx); err != nil {
		a.Log.WithField("outcomes", a.claims.Pending()).Error("outcomes of claimed requests are not stored; operators see the claims as open")
	}
}

// follow applies each change of the configuration.
func (a *Agent) follow(ctx context.Context) error {
	return a.store.OnChange(ctx, func(context.Context) { a.takeConfiguration() })
}

func (a *Agent) takeConfiguration() {
	s := a.store.Current()
	in, body, ok := s.Preset()
	if !ok {
		return
	}
	out := s.IsOutOfService(config.Endpoint(a.Settings.EndpointName)) || s.IsOutOfService(config.DataCentre(a.Settings.DataCentre))
	g := s.Head().Generation()
	if v := a.view.Load(); v != nil && v.digest == in.Digest() {
		a.apply(v.at(g, out))
		return
	}
	p, faults := preset.Parse(body)
	if len(faults) > 0 {
		a.Log.WithField("faults", len(faults)).Error("the preset in force can't be read")
		return
	}
	v := newView(g, p, a.Settings.EndpointName, out)
	v.digest = in.Digest()
	a.apply(v)
}

// keep looks through kept answers.
func (a *Agent) keep(ctx context.Context) error {
	return process.Every(ctx, expireEvery, func(context.Context) { a.attempts.expire(a.now()) })
}

// connectionLost takes note that the endpoint closed an idle connection. One
// that was used a moment ago is closed by a restart; one that was idle for long
// may only have reached the endpoint's own limit, and an engine is asked.
func (a *Agent) connectionLost(idle time.Duration) {
	if idle < restartIdle {
		a.restarted(allowance.ConnectionLost, a.now())
		return
	}
	select {
	case a.askLoad <- struct{}{}:
	default:
	}
}

// readLoad reads the engine's incarnation, so that a restart between two
// answers is noticed.
func (a *Agent) readLoad(ctx context.Context) error {
	t := time.NewTicker(loadEvery)
	defer t.Stop()
	for {
		a.readLoadOnce(ctx)
		select {
		case <-t.C:
		case <-a.askLoad:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Agent) readLoadOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	was := a.allowance.State().Cold()
	l, err := a.client.Load(ctx)
	if err != nil {
		return
	}
	a.allowance.SetIncarnation(l.Incarnation)
	a.allowance.ReportRunning(l.Running, a.allowance.State().Running(), a.now())
	a.allowance.ReportCold(l.Cold, a.now().Add(-time.Duration(l.AgeMillis)*time.Millisecond))
	if s := a.allowance.State(); s.Cold() && !was {
		a.Log.WithFields(logrus.Fields{"cause": s.Cause().String()}).Warn("endpoint is cold")
		a.ring.Add(timeline.EndpointCold, "", a.Settings.EndpointName, s.Cause().String(), 0, a.now())
		a.changed()
	}
}
