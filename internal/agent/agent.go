package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
	"github.com/hyssoprelay/hyssoprelay/internal/inflight"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/claim"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

const (
	// expireEvery is how often kept answers are looked through.
	expireEvery = time.Second
)

// Agent runs beside one endpoint. Set the exported fields before Run.
type Agent struct {
	// Settings are the process's settings.
	Settings *settings.Agent
	// Log receives changes of state.
	Log *logrus.Logger
	// Registry receives the metrics; nil means a new one.
	Registry metrics.Registry
	// TLS secures the agent's connections; its zero value means plain TCP.
	TLS process.TLS
	// Dial opens connections to other processes; nil means TCP.
	Dial process.Dial

	clock        timeline.Clock
	ring         *timeline.Ring
	client       *endpoint.Client
	falls        falls
	allowance    allowance.Allowance
	attempts     table
	incarnation  uint64
	workCtx      context.Context
	view         atomic.Pointer[view]
	store        config.Store
	platform     *platform.Client
	claims       *claim.Batcher
	serials      atomic.Uint64
	attemptCount atomic.Uint64
	peers        *peer.Server
	ranks        *rank.Runner
	rankConns    peer.ConnPool
	stopWork     context.CancelFunc
	// announced says that the agent has told that it leaves, and leaving that
	// it takes no more work.
	announced atomic.Bool
	leaving   atomic.Bool
	tokens    atomic.Int64
	version   atomic.Uint64
	running   inflight.Counter
	// delivering is closed when all that runs has ended and only answers are
	// still being delivered.
	delivering chan struct{}
	askLoad    chan struct{}
}

func (a *Agent) now() time.Time { return time.Now() }

// changed makes watchers send a report soon.
func (a *Agent) changed() { a.version.Add(1) }

func (a *Agent) event(k timeline.Kind, req *peerpb.RunRequest, detail string, n uint64, now time.Time) {
	a.ring.Add(k, req.GetRequestId(), a.Settings.EndpointName, detail, n, now)
}

// start runs an attempt in a goroutine that reports its end to Run.
func (a *Agent) start(ctx context.Context, at *attempt, t allowance.Ticket) {
	a.running.Begin()
	a.changed()
	go func() {
		a.work(ctx, at, t)
		at.cancel()
		a.running.End()
	}()
}

// apply puts a configuration into force at this endpoint.
func (a *Agent) apply(v *view) {
	now := a.now()
	if l, ok := v.limits(); ok {
		if err := a.allowance.Configure(l); err != nil {
			a.Log.WithError(err).Warn("the preset's limits can't be used")
		}
	}
	a.view.Store(v)
	a.ring.Add(timeline.GenerationApplied, "", a.Settings.EndpointName, v.preset, v.generation, now)
	a.changed()
}

// restarted notes a sign that the endpoint lost its warmth.
func (a *Agent) restarted(c allowance.ColdStartCause, now time.Time) {
	was := a.allowance.State().Cold()
	a.allowance.ResetToCold(c)
	if !was {
		a.Log.WithField("cause", c.String()).Warn("endpoint is cold")
	}
	a.ring.Add(timeline.EndpointCold, "", a.Settings.EndpointName, c.String(), 0, now)
	a.changed()
}

// Generation returns the generation of the configuration in force here.
func (a *Agent) Generation() uint64 {
	if v := a.view.Load(); v != nil {
		return v.generation
	}
	return 0
}

// OutOfService reports whether the endpoint or its data centre is out.
func (a *Agent) OutOfService() bool {
	v := a.view.Load()
	return v != nil && v.out
}

// Allowance returns how many requests the endpoint bears at once now.
func (a *Agent) Allowance() int { return a.allowance.State().Limit() }

// Running returns how many attempts have not ended.
func (a *Agent) Running() int { return a.running.Running() }
