package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/agent"
	"github.com/hyssoprelay/hyssoprelay/internal/entry"
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	list "github.com/hyssoprelay/hyssoprelay/internal/platform/vmlist"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/ranks"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/service"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/vmlist"
)

// OperatorToken is the token of the system's operators.
const OperatorToken = "demo-operator-token-of-32-letters"

// System is a whole system. Set the exported fields before Start.
type System struct {
	// DataCentres are the names of the data centres.
	DataCentres []string
	// Entries, Engines and Services are how many there are in each.
	Entries, Engines, Services int
	// EngineSettings describe the engines.
	EngineSettings engine.Settings
	// WrapEngine, if not nil, wraps what serves at the address of each engine.
	WrapEngine func(e *engine.Engine, h http.Handler) http.Handler
	// Preset is put into force at the start.
	Preset string
	// Ranks, when set, makes all engines one group of ranks. Start fills in the
	// peers.
	Ranks *settings.Rank
	// Drain bounds graceful stops; zero means ten seconds.
	Drain time.Duration
	// Log receives the processes' lines; nil drops them.
	Log *logrus.Logger
	// Events, if not nil, receives the events of the stand-ins.
	Events *logrus.Logger

	// KV is the stand-in of the platform's key-value service.
	KV *kv.Server
	// List is the stand-in of the platform's list of VMs.
	List *vmlist.Server
	// Group is the stand-in of the group of ranks.
	Group ranks.Group
	// Network carries the processes' connections.
	Network Network

	client *platform.Client
	ctx    context.Context
	parts  []*Part
	// inGroup names the endpoints of the group in the order of its peers.
	inGroup []string

	mu       sync.Mutex
	entries  []*Entry
	agents   []*Agent
	killed   []*Part
	engines  map[string]*engine.Engine
	services map[string]*service.Service
}

// Part is something that runs until it is stopped.
type Part struct {
	cancel context.CancelFunc
	done   chan error
	once   sync.Once
	err    error
}

// Stop ends the part and waits until it has.
func (p *Part) Stop() error {
	p.cancel()
	p.once.Do(func() { p.err = <-p.done })
	return p.err
}

// Entry is a running entry.
type Entry struct {
	*Part
	host       *Host
	Name       string
	DataCentre string
	Process    *entry.Entry
}

// Agent is a running agent.
type Agent struct {
	*Part
	host       *Host
	Name       string
	DataCentre string
	Process    *agent.Agent
	Endpoint   string
}

func (s *System) run(run func(context.Context) error) *Part {
	ctx, cancel := context.WithCancel(s.ctx)
	p := &Part{cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- run(ctx) }()
	return p
}

// Start starts all of the system and returns when each entry can serve.
func (s *System) Start(ctx context.Context) error {
	logging.SetLevel(logging.LevelNone)
	if s.Log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		s.Log = l
	}
	if s.Drain == 0 {
		s.Drain = 10 * time.Second
	}
	s.ctx = ctx
	s.engines = map[string]*engine.Engine{}
	s.services = map[string]*service.Service{}
	kvAddr, err := freeAddress()
	if err != nil {
		return err
	}
	listAddr, err := freeAddress()
	if err != nil {
		return err
	}
	s.KV = &kv.Server{Listen: kvAddr.String(), Events: s.Events}
	s.parts = append(s.parts, s.run(s.KV.Run))
	s.List = &vmlist.Server{Listen: listAddr.String(), Events: s.Events}
	s.parts = append(s.parts, s.run(s.List.Run))
	s.Network.at(s.KV.Addr(), Platform)
	s.Network.at(s.List.Addr(), Platform)
	s.client = &platform.Client{Addrs: []string{s.KV.Addr()}, Timeout: time.Second}
	s.parts = append(s.parts, s.run(s.client.Run))
	if err := s.putPreset(); err != nil {
		return err
	}
	if err := s.startRanks(); err != nil {
		return err
	}
	for _, dc := range s.DataCentres {
		if err := s.startDataCentre(dc); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

func (s *System) putPreset() error {
	ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
	defer cancel()
	w := &config.Writer{KV: s.client, Store: &config.Store{}}
	o := config.Order{ChangeID: "first", By: "demo", Change: config.PutPreset{Name: "ordinary", Body: []byte(s.Preset)}}
	for {
		_, err := w.Submit(ctx, o, time.Now())
		if err == nil || ctx.Err() != nil {
			return eris.Wrap(err, "first preset")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *System) startDataCentre(dc string) error {
	for i := range s.Engines {
		if err := s.StartEngine(dc, fmt.Sprintf("%s-engine-%d", dc, i)); err != nil {
			return err
		}
	}
	for i := range s.Services {
		if err := s.StartService(dc, fmt.Sprintf("%s-desk-%d", dc, i)); err != nil {
			return err
		}
	}
	for i := range s.Entries {
		if _, err := s.StartEntry(dc, fmt.Sprintf("%s-entry-%d", dc, i)); err != nil {
			return err
		}
	}
	return nil
}

// StartEngine starts an engine and its agent.
func (s *System) StartEngine(dc, name string) error {
	addr, err := freeAddress()
	if err != nil {
		return err
	}
	e := engine.New(s.EngineSettings)
	srv := &standin.Server{Listen: addr.String(), Handler: s.handler(name, e), Events: s.Events, Name: name}
	e.Drop = srv.Drop
	s.parts = append(s.parts, s.run(srv.Run))
	s.mu.Lock()
	s.engines[name] = e
	s.mu.Unlock()
	_, err = s.StartAgent(dc, name, srv.Addr(s.ctx), settings.Engine)
	return err
}

// StartService starts a plain service and its agent.
func (s *System) StartService(dc, name string) error {
	addr, err := freeAddress()
	if err != nil {
		return err
	}
	v := &service.Service{}
	srv := &standin.Server{Listen: addr.String(), Handler: v, Events: s.Events, Name: name}
	s.parts = append(s.parts, s.run(srv.Run))
	s.mu.Lock()
	s.services[name] = v
	s.mu.Unlock()
	_, err = s.StartAgent(dc, name, srv.Addr(s.ctx), settings.Plain)
	return err
}

// logOf returns a logger that writes to Log and names a process in its lines.
func (s *System) logOf(name, dc string) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(s.Log.Out)
	l.SetFormatter(s.Log.Formatter)
	l.SetLevel(s.Log.Level)
	process.AddOrigin(l, name, dc)
	return l
}

// freeAddress returns an address that no other system uses or has used: processes go on
// calling the addresses of those that were killed, and all systems have the same names.
func freeAddress() (netip.AddrPort, error) {
	addr, err := standin.FreeAddress()
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "address of a part")
	}
	return netip.ParseAddrPort(addr)
}

func (s *System) process(dc, name string, peer netip.AddrPort) settings.Process {
	return settings.Process{
		Name:              name,
		DataCentre:        dc,
		PeerAddress:       peer,
		VMListAddress:     netip.MustParseAddrPort(s.List.Addr()),
		PlatformAddresses: []netip.AddrPort{netip.MustParseAddrPort(s.KV.Addr())},
		DrainTimeout:      s.Drain,
		TLS:               settings.TLS{Insecure: true},
	}
}

// StartAgent starts the agent beside an endpoint.
func (s *System) StartAgent(dc, name, endpointAddr string, kind settings.EndpointKind) (*Agent, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	h := s.Network.Host(dc)
	p := &agent.Agent{
		Settings: &settings.Agent{
			Process:         s.process(dc, name+"-agent", addr),
			EndpointName:    name,
			EndpointAddress: netip.MustParseAddrPort(endpointAddr),
			Kind:            kind,
		},
		Log:  s.logOf(name+"-agent", dc),
		Dial: h.Dial,
	}
	s.joinGroup(p.Settings)
	if err := p.Listen(); err != nil {
		return nil, err
	}
	s.Network.at(p.Address(), dc)
	s.List.Put(list.NewVM(name, list.Agent, dc, p.Address(), list.Live))
	a := &Agent{Part: s.run(p.Run), host: h, Name: name, DataCentre: dc, Process: p, Endpoint: endpointAddr}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents = append(s.agents, a)
	return a, nil
}

// StartEntry starts an entry.
func (s *System) StartEntry(dc, name string) (*Entry, error) {
	var addrs [3]netip.AddrPort
	for i := range addrs {
		addr, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	h := s.Network.Host(dc)
	p := &entry.Entry{
		Settings: &settings.Entry{
			Process:       s.process(dc, name, addrs[0]),
			CallerAddress: addrs[1],
			AdminAddress:  addrs[2],
			OperatorToken: OperatorToken,
			Limits:        settings.Limits{BodyBytes: 1 << 20, MaxConnections: 4096, IdleTimeout: time.Minute},
		},
		Log:      s.logOf(name, dc),
		Dial:     h.Dial,
		Announce: 300 * time.Millisecond,
	}
	if err := p.Listen(); err != nil {
		return nil, err
	}
	s.Network.at(p.PeerAddress(), dc)
	s.List.Put(list.NewVM(name, list.Entry, dc, p.PeerAddress(), list.Live))
	e := &Entry{Part: s.run(p.Run), host: h, Name: name, DataCentre: dc, Process: p}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, e)
	return e, nil
}

func (s *System) awaitReady() error {
	ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
	defer cancel()
	for {
		if s.ready() {
			return nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return eris.New("the system did not get ready")
		}
	}
}

func (s *System) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	want := len(s.agents)
	for _, e := range s.entries {
		if e.Process.Ready() != nil || e.Process.Endpoints() < want {
			return false
		}
	}
	return true
}

// Stop stops entries and agents gracefully, then the stand-ins.
func (s *System) Stop() {
	s.mu.Lock()
	entries, agents, killed := s.entries, s.agents, s.killed
	s.mu.Unlock()
	for _, e := range entries {
		e.cancel()
	}
	for _, e := range entries {
		_ = e.Stop()
	}
	for _, a := range agents {
		a.cancel()
	}
	for _, a := range agents {
		_ = a.Stop()
	}
	for _, p := range killed {
		_ = p.Stop()
	}
	for _, p := range s.parts {
		_ = p.Stop()
	}
}
