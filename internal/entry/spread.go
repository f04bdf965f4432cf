package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/spread"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/vmlist"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
)

const (
	// gossipEvery is how often an entry exchanges digests with another.
	gossipEvery = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange. It is longer than a round between
	// regions takes, and a frozen entry holds up a change no longer.
	exchangeTimeout = time.Second
	// syncPeerCount is how many peers are asked before a change is written.
	syncPeerCount = 3
	// readOn is how long an entry that lost its place as reader goes on, so
	// that places that change hands leave no moment without readers.
	readOn = 5 * time.Second
)

// spreading exchanges the configuration with other entries.
type spreading struct {
	entry    *Entry
	counter  metrics.Counter
	failures metrics.Counter
	reader   metrics.Gauge
	reaches  metrics.Gauge

	mu    sync.Mutex // guards table
	table spread.Table
}

func (s *spreading) init(e *Entry) {
	s.entry = e
	s.counter = metrics.GetOrRegisterCounter("entry.exchanges", e.Registry)
	s.failures = metrics.GetOrRegisterCounter("entry.exchangeFailures", e.Registry)
	s.reader = metrics.GetOrRegisterGauge("entry.readsPlatform", e.Registry)
	s.reaches = metrics.GetOrRegisterGauge("entry.platformReachable", e.Registry)
	s.table.Self = spread.Node{Name: e.Settings.Name, DataCentre: e.Settings.DataCentre}
	s.table.Seed = uint64(e.now().UnixNano())
	s.table.Set(nil)
}

// run exchanges until ctx ends: at once with some when something was learnt,
// and by turns with one.
func (s *spreading) run(ctx context.Context) error {
	changed := s.entry.store.Subscribe()
	defer s.entry.store.Unsubscribe(changed)
	t := time.NewTicker(gossipEvery)
	defer t.Stop()
	for {
		select {
		case <-changed:
			s.exchange(ctx, s.rumourTargets())
		case <-t.C:
			s.exchange(ctx, s.periodic())
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *spreading) rumourTargets() []spread.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RumourTargets()
}

// periodic takes in the newest list of entries and returns whose turn it is.
func (s *spreading) periodic() []spread.Node {
	nodes := s.listed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Set(nodes)
	n, ok := s.table.NextExchange()
	if !ok {
		return nil
	}
	return []spread.Node{n}
}

func (s *spreading) listed() []spread.Node {
	var nodes []spread.Node
	for _, vm := range s.entry.directory.entries() {
		if vm.State() == vmlist.Live {
			nodes = append(nodes, spread.Node{Name: vm.ID(), DataCentre: vm.DataCentre(), Addr: vm.Address()})
		}
	}
	return nodes
}

// exchange exchanges with the nodes at once and waits for all of them.
func (s *spreading) exchange(ctx context.Context, nodes []spread.Node) {
	done := make(chan struct{}, len(nodes))
	for _, n := range nodes {
		go func() {
			s.exchangeWith(ctx, n)
			done <- struct{}{}
		}()
	}
	for range nodes {
		<-done
	}
}

func (s *spreading) exchangeWith(ctx context.Context, n spread.Node) {
	e := s.entry
	cc, err := e.conns.Get(n.Addr)
	if err != nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	err = peer.SyncConfig(limited, peerpb.NewPeerClient(cc), &e.store, &e.clock, e.now)
	if ctx.Err() != nil {
		return
	}
	s.counter.Inc(1)
	if err != nil {
		s.failures.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordResponse(n.Name, err == nil)
}

// syncPeers asks some peers for their configuration before a change is written.
func (s *spreading) syncPeers(ctx context.Context) {
	s.mu.Lock()
	nodes := s.table.SamplePeers(syncPeerCount)
	s.mu.Unlock()
	s.exchange(ctx, nodes)
}

func (s *spreading) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.IsReader()
}

// read follows the platform's document while this entry is one of its data
// centre's readers.
func (s *spreading) read(ctx context.Context) error {
	var w *reading
	var last time.Time
	err := process.Every(ctx, gossipEvery, func(ctx context.Context) {
		now := s.entry.now()
		s.reach()
		switch {
		case s.isReader():
			last = now
			if w == nil {
				w = s.startReading(ctx)
			}
		case w != nil && now.Sub(last) > readOn:
			s.note(w.stop())
			w = nil
		}
	})
	if w != nil {
		err = errors.Join(err, w.stop())
	}
	return err
}

// reach notes whether the platform's service can be reached, for entries that
// don't read it too: operators may give orders at any of them.
func (s *spreading) reach() {
	up := int64(0)
	if s.entry.platform.Reachable() {
		up = 1
	}
	s.reaches.Update(up)
}

func (s *spreading) note(err error) {
	s.reader.Update(0)
	if err != nil {
		s.entry.Log.WithError(err).Warn("the platform's document could not be followed")
	}
}

// reading is a running watcher.
type reading struct {
	cancel context.CancelFunc
	done   chan error
}

func (r *reading) stop() error {
	r.cancel()
	return <-r.done
}

func (s *spreading) startReading(ctx context.Context) *reading {
	e := s.entry
	w := &config.Watcher{
		Source: e.platform, Writer: e.writer,
		ReadInterval: watchPeriod, Timeout: process.PlatformTimeout, Now: e.now,
		Log: e.Log, Metrics: e.Registry,
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &reading{cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- w.Run(ctx) }()
	s.reader.Update(1)
	return r
}
