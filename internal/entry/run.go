package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

// Run serves until ctx ends, and then leaves gracefully: it announces that it
// leaves, still takes requests for a moment, then refuses new ones truly, and
// stops when all answers have been given or the drain time is over. Listen
// must come first.
func (e *Entry) Run(ctx context.Context) error {
	callersCtx, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	callersDone := make(chan error, 1)
	go func() { callersDone <- e.callers.Run(callersCtx, e.Settings.DrainTimeout) }()
	err := process.RunParts(ctx, e.parts(), func(failed error) error {
		e.leave(failed == nil)
		stopCallers()
		return <-callersDone
	})
	e.members.stop()
	e.conns.Close()
	return err
}

func (e *Entry) parts() []process.Part {
	parts := []process.Part{
		e.platform.Run,
		e.spreading.read,
		e.spreading.run,
		e.peers.Run,
		e.admin.Run,
		func(ctx context.Context) error { return e.scheduler.run(ctx, e.now) },
		e.follow,
		e.handOn,
		e.directory.list.Run,
		e.directory.run,
		e.shares.run,
	}
	return append(parts, process.MetricsParts(e.Settings.MetricsAddress, e.Registry)...)
}

// leave announces that the entry goes, and gives the platform's balancer time
// to send callers elsewhere. Without that time, callers sent here meanwhile
// would be refused or find the port closed.
func (e *Entry) leave(announce bool) {
	e.leaving.Store(true)
	e.ring.Add(timeline.Leaving, "", "", "", 0, e.now())
	e.Log.Info("leaving")
	e.callers.StartDraining()
	if announce {
		time.Sleep(e.Announce)
	}
}

// follow applies each change of the configuration.
func (e *Entry) follow(ctx context.Context) error {
	return e.store.OnChange(ctx, func(context.Context) { e.apply(e.now()) })
}

// handOn hands each change to the agents. It is apart from follow because an
// agent that is frozen holds it up until a timeout.
func (e *Entry) handOn(ctx context.Context) error {
	return e.store.OnChange(ctx, e.members.pushAll)
}

func seedOf(name string) uint64 { return xxhash.Sum64String(name) }
