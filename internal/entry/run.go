package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

const (
	// gossipEvery is how often an entry exchanges configuration with another,
	// so that one that hears nothing from the platform learns a change within
	// seconds.
	gossipEvery = 500 * time.Millisecond
	// refreshPeers is how many peers are asked before a change is written.
	refreshPeers = 3
)

// part is what one goroutine of the entry does until ctx ends.
type part func(ctx context.Context) error

// Run serves until ctx ends, and then leaves gracefully: it announces that it
// leaves, still takes requests for a moment, then refuses new ones truly, and
// stops when all answers have been given or the drain time is over. Listen
// must come first.
func (e *Entry) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	callersCtx, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	callersDone := make(chan error, 1)
	go func() { callersDone <- e.callers.Run(callersCtx, e.Settings.DrainTimeout) }()
	parts := e.parts()
	done := make(chan error, len(parts))
	for _, p := range parts {
		go func() { done <- p(inner) }()
	}
	var failed error
	running := len(parts)
	select {
	case <-ctx.Done():
	case failed = <-done:
		running--
	}
	e.leave(failed == nil)
	stopCallers()
	failed = errors.Join(failed, <-callersDone)
	stop()
	for range running {
		failed = errors.Join(failed, <-done)
	}
	e.members.stop()
	e.conns.Close()
	return failed
}

func (e *Entry) parts() []part {
	w := &config.Watcher{
		Source: e.platform, Writer: e.writer,
		Period: watchPeriod, Timeout: process.PlatformTimeout, Now: e.now,
		Log: e.Log, Metrics: e.Registry,
	}
	parts := []part{
		e.platform.Run,
		w.Run,
		e.peers.Run,
		e.admin.Run,
		func(ctx context.Context) error { return e.scheduler.run(ctx, e.now) },
		e.follow,
		e.directory.list.Run,
		e.directory.run,
		e.gossip,
		e.shares.run,
	}
	if a := e.Settings.MetricsAddress; a.IsValid() {
		parts = append(parts, func(ctx context.Context) error {
			return process.ServeMetrics(ctx, a.String(), e.Registry)
		})
	}
	return parts
}

// leave announces that the entry goes, and gives the platform's balancer time
// to send callers elsewhere. Without that time, callers sent here meanwhile
// would be refused or find the port closed.
func (e *Entry) leave(announce bool) {
	e.leaving.Store(true)
	e.ring.Add(timeline.Leaving, "", "", "", 0, e.now())
	e.Log.Info("leaving")
	e.callers.Announce()
	if announce {
		time.Sleep(e.Announce)
	}
}

// follow applies each change of the configuration and hands it to the agents.
func (e *Entry) follow(ctx context.Context) error {
	c := e.store.Subscribe()
	defer e.store.Unsubscribe(c)
	for {
		e.apply(e.now())
		e.members.pushAll(ctx)
		select {
		case <-c:
		case <-ctx.Done():
			return nil
		}
	}
}

// gossip exchanges configuration with other entries in turn. A data centre
// that is cut off from the platform stays of one mind that way, and a new VM
// learns the configuration during an outage.
func (e *Entry) gossip(ctx context.Context) error {
	t := time.NewTicker(gossipEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		if peers := e.directory.entries(); len(peers) > 0 {
			e.exchange(ctx, peers[i%len(peers)].Address())
		}
	}
}

func (e *Entry) exchange(ctx context.Context, addr string) {
	cc, err := e.conns.Get(addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, gossipEvery)
	defer cancel()
	// A peer that can't be reached is asked again on its next turn.
	_ = peer.Exchange(ctx, peerpb.NewPeerClient(cc), &e.store, &e.clock, e.now)
}

// refresh asks some peers for their configuration before a change is written.
func (e *Entry) refresh(ctx context.Context) {
	for i, a := range e.directory.entries() {
		if i == refreshPeers || ctx.Err() != nil {
			return
		}
		e.exchange(ctx, a.Address())
	}
}

func seedOf(name string) uint64 { return xxhash.Sum64String(name) }
