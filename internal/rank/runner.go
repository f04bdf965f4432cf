package rank

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/rankpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Event is a change of state for the time line.
type Event struct {
	// Kind is one of the Event constants.
	Kind string
	// Number is the fencing token, the map's version or the step, as the kind
	// says.
	Number uint64
	// Detail is for the reader.
	Detail string
}

// The kinds of events.
const (
	// EventLead says that the agent leads the group; Number is its token.
	EventLead = "rankLead"
	// EventDeposed says that it no longer does.
	EventDeposed = "rankDeposed"
	// EventInForce says that a map got in force; Number is its version.
	EventInForce = "rankMapInForce"
	// EventStaged says that the engine took a map to keep ready; Number is its
	// version.
	EventStaged = "rankMapStaged"
	// EventJoined says that the member has joined its group.
	EventJoined = "rankJoined"
	// EventLost says that the member lost its maps and waits.
	EventLost = "rankLost"
)

// Runner is an agent's part in a group of ranks. Set the fields, register it
// with the agent's gRPC server by Register, then Run it. Orders that come before
// Run are answered; the ranks get no order before it.
//
// Locks: mu guards the member's and the leader's state machines. It is taken for
// single calls of them and for nothing that waits; no other lock is taken under
// it.
type Runner struct {
	// Group is the group's name.
	Group string
	// Index is the agent's place in Peers, which lists the gRPC addresses of
	// all agents of the group in the same order everywhere.
	Index int
	Peers []string
	// Incarnation must be greater than that of the agent's earlier runs, such
	// as its start time in nanoseconds.
	Incarnation uint64
	// Engine is the way to the endpoint's ranks.
	Engine Engine
	// Lease is the group's lease and record.
	Lease Lease
	// Initial is what the group begins with when no rank has a map.
	Initial *expertmap.Map
	// Limits bounds the plans, PlanEvery is the time between two of them. A
	// PlanEvery of zero never rebalances.
	Limits    expertmap.Limits
	PlanEvery time.Duration
	// Memory is how far back the estimate of popularity reaches.
	Memory time.Duration
	// Tick is the time between two looks at the engine. Lookahead is how many
	// steps the ranks may run without asking; they must last for some ticks.
	Tick      time.Duration
	Lookahead uint64
	// Resend, Refresh and HoldTime are those of naming.Leader.
	Resend, Refresh, HoldTime time.Duration
	// LeaseTime is how long the lease lasts; it is renewed each third of it.
	// Another agent tries for it after it has heard no leader for LeaseTime,
	// and a Resend more for each place in Peers.
	LeaseTime time.Duration
	// CallTimeout bounds each call to a peer, the engine or the platform.
	CallTimeout time.Duration
	// Drain is how long after a start orders of the agent's earlier run may
	// still reach the engine.
	Drain time.Duration
	// Credentials is the TLS set-up towards peers; nil means plain text.
	Credentials credentials.TransportCredentials
	// Connect returns a connection to a peer, which the Runner closes at its
	// end; nil means one over TCP with Credentials.
	Connect func(addr string) (*grpc.ClientConn, error)
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry
	// Events receives changes of state; nil drops them. It must not block.
	Events func(Event)
	// Log receives a line for each change of state; nil means the standard
	// logger.
	Log logrus.FieldLogger

	once   sync.Once
	leads  atomic.Bool
	conns  []*grpc.ClientConn
	counts counts

	mu     sync.Mutex
	member *naming.Member
	// heard is when an order of a leader came last; joined is what the member
	// said last, to tell changes.
	heard  time.Time
	joined bool
	force  naming.Entry
}

// Register makes the runner answer the peers on s.
func (r *Runner) Register(s grpc.ServiceRegistrar) {
	r.init()
	rankpb.RegisterRankServer(s, &service{runner: r})
}

func (r *Runner) init() {
	r.once.Do(func() {
		r.counts = newCounts(r.Metrics)
		if r.Log == nil {
			r.Log = logrus.StandardLogger()
		}
		r.member = &naming.Member{
			Index: r.Index, Members: len(r.Peers), Incarnation: r.Incarnation, Lookahead: r.Lookahead,
		}
	})
}

func (r *Runner) check() error {
	switch {
	case r.Group == "":
		return result.New(result.MissingSetting, "group name")
	case r.Index < 0 || r.Index >= len(r.Peers):
		return result.Newf(result.BadSetting, "place %d among %d agents", r.Index, len(r.Peers))
	case r.Engine == nil || r.Lease == nil || r.Initial == nil:
		return result.New(result.MissingSetting, "engine, lease or first map of the group")
	case r.Incarnation == 0 || r.Lookahead == 0:
		return result.New(result.BadSetting, "incarnation and lookahead must be positive")
	case min(r.Tick, r.Resend, r.Refresh, r.HoldTime, r.LeaseTime, r.CallTimeout) <= 0:
		return result.New(result.BadSetting, "the times of a group must be positive")
	}
	return nil
}

// Run takes part in the group until ctx ends. It returns nil then, and an error
// at once when the fields can't be used. The ranks go on up to their bound.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.check(); err != nil {
		return err
	}
	r.init()
	if err := r.dial(); err != nil {
		return err
	}
	defer r.hangUp()
	if !pause.For(ctx, r.Drain) {
		return nil
	}
	loops := []func(context.Context) error{r.runEngine, r.runJoin, r.runLeader}
	done := make(chan error, len(loops))
	for _, loop := range loops {
		go func() { done <- loop(ctx) }()
	}
	var first error
	for range loops {
		if err := <-done; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Leads reports whether this agent leads the group.
func (r *Runner) Leads() bool { return r.leads.Load() }

// InForce returns the version of the newest map that the member was told to
// use, or zero while it has not joined its group.
func (r *Runner) InForce() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.joined {
		return 0
	}
	return r.force.Map.Version
}

// emit tells the log and the time line of a change of state.
func (r *Runner) emit(e Event) {
	r.Log.WithFields(logrus.Fields{"group": r.Group, "number": e.Number}).Info(e.Kind + " " + e.Detail)
	if r.Events != nil {
		r.Events(e)
	}
}

// observe tells of changes of the member's state. mu must not be held.
func (r *Runner) observe() {
	r.mu.Lock()
	tell := r.changes()
	r.mu.Unlock()
	tell()
}

// changes notes what has changed of the member's state since the last call, and
// returns what tells of it, to be called without mu. It is called with mu held.
//
// Guard: what changes the member's state and what looks at it must not be apart. An
// engine that restarts loses its maps; were the loss looked for only after the
// engine's next orders, the member may have joined again from its peers by then, and
// neither log, counter nor time line would tell of the loss.
func (r *Runner) changes() func() {
	s := r.member.State()
	joined, force := r.joined, r.force
	r.joined = s.Joined
	if n := len(s.Schedule); n > 0 {
		r.force = s.Schedule[n-1]
	}
	now := r.force
	return func() { r.tell(s, joined, force, now) }
}

// tell tells of a member's state that was joined and at force before, and is at now.
func (r *Runner) tell(s naming.State, joined bool, force, now naming.Entry) {
	if s.Joined && !joined {
		r.counts.joins.Inc(1)
		r.emit(Event{Kind: EventJoined, Number: now.Map.Version})
	}
	if !s.Joined && joined {
		r.counts.losses.Inc(1)
		r.emit(Event{Kind: EventLost, Number: force.Map.Version})
	}
	if s.Joined && now != force {
		r.counts.maps.Inc(1)
		r.counts.version.Update(int64(now.Map.Version))
		r.emit(Event{Kind: EventInForce, Number: now.Map.Version})
	}
}
