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

// Event is a state change for the time line.
type Event struct {
	// Kind is one of the Event constants.
	Kind string
	// Number is the fencing token or the version of the map, depending on Kind.
	Number uint64
	// Detail is a description for operators.
	Detail string
}

// The kinds of events.
const (
	// EventLead means that the agent has begun to lead the group; Number is its
	// token.
	EventLead = "rankLead"
	// EventDeposed means that the agent no longer leads the group; Number is
	// its token.
	EventDeposed = "rankDeposed"
	// EventInForce means that a map has been put in force; Number is its
	// version.
	EventInForce = "rankMapInForce"
	// EventStaged means that the engine has staged a map; Number is its
	// version.
	EventStaged = "rankMapStaged"
	// EventJoined means that the member has joined its group; Number is the
	// version of the map in force.
	EventJoined = "rankJoined"
	// EventMapsLost means that the member has lost its maps and waits until it
	// has joined its group again; Number is the version of the map that was in
	// force.
	EventMapsLost = "rankLost"
)

// Runner is an agent's participation in a group of ranks. Set the fields,
// register it with the agent's gRPC server by Register, then call Run. Orders
// that arrive before Run is called are answered, but the ranks receive no order
// until Run has waited for StartDelay.
//
// The mutex mu guards the state machines of the member and the leader. It is
// held only for single calls to them and never while blocking; no other lock is
// acquired while it is held.
type Runner struct {
	// Group is the name of the group.
	Group string
	// Index is the agent's index in Peers, which lists the gRPC addresses of
	// all agents of the group in the same order on each agent.
	Index int
	Peers []string
	// Incarnation must be greater than that of the agent's earlier runs, such
	// as its start time in nanoseconds.
	Incarnation uint64
	// Engine controls the endpoint's ranks.
	Engine Engine
	// Lease provides the group's lease and record.
	Lease Lease
	// Initial is the first map of the group, used when no rank has a map.
	Initial *expertmap.Map
	// Limits limits the cost of the plans. PlanEvery is the time between two
	// plans; zero disables rebalancing.
	Limits    expertmap.Limits
	PlanEvery time.Duration
	// PopularityWindow is the time span of the popularity estimate.
	PopularityWindow time.Duration
	// EngineInterval is the interval at which the engine's state is read.
	// Lookahead is how many steps the ranks may run without a new step limit;
	// these must last for several intervals.
	EngineInterval time.Duration
	Lookahead      uint64
	// ResendInterval, RefreshInterval and HoldTime are those of naming.Leader.
	ResendInterval, RefreshInterval, HoldTime time.Duration
	// LeaseTTL is the duration of the lease, which is renewed after each third
	// of it. Another agent tries to acquire the lease after it has accepted no
	// order of a leader for LeaseTTL plus Index times ResendInterval.
	LeaseTTL time.Duration
	// CallTimeout is the timeout of each call to a peer, the engine or the
	// platform.
	CallTimeout time.Duration
	// StartDelay is how long orders of the agent's earlier run may still reach
	// the engine after the agent has started again. Run sends no orders for
	// that time.
	StartDelay time.Duration
	// Credentials is the TLS configuration for connections to peers; nil means
	// plain text.
	Credentials credentials.TransportCredentials
	// Connect returns a connection to a peer, which the Runner closes when it
	// ends; nil means a connection over TCP with Credentials.
	Connect func(addr string) (*grpc.ClientConn, error)
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry
	// Events receives state changes; nil discards them. It must not block.
	Events func(Event)
	// Log receives a line for each state change; nil means the standard logger.
	Log logrus.FieldLogger

	once    sync.Once
	leading atomic.Bool
	conns   []*grpc.ClientConn
	stats   runnerMetrics

	mu     sync.Mutex
	member *naming.Member
	// lastOrderAt is the start of the election timeout: when the last order of
	// a leader was accepted, the runner started or acquiring the lease failed.
	// joined and inForce are the last known state of the member, to detect
	// changes.
	lastOrderAt time.Time
	joined      bool
	inForce     naming.ScheduleEntry
}

// Register registers the runner's gRPC service for the peers on s.
func (r *Runner) Register(s grpc.ServiceRegistrar) {
	r.init()
	rankpb.RegisterRankServer(s, &service{runner: r})
}

func (r *Runner) init() {
	r.once.Do(func() {
		r.stats = newRunnerMetrics(r.Metrics)
		if r.Log == nil {
			r.Log = logrus.StandardLogger()
		}
		r.member = &naming.Member{
			Index: r.Index, Members: len(r.Peers), Incarnation: r.Incarnation, Lookahead: r.Lookahead,
		}
	})
}

func (r *Runner) validate() error {
	switch {
	case r.Group == "":
		return result.New(result.MissingSetting, "group name")
	case r.Index < 0 || r.Index >= len(r.Peers):
		return result.Newf(result.BadSetting, "index %d is out of range for %d agents", r.Index, len(r.Peers))
	case r.Engine == nil || r.Lease == nil || r.Initial == nil:
		return result.New(result.MissingSetting, "engine, lease or initial map of the group")
	case r.Incarnation == 0 || r.Lookahead == 0:
		return result.New(result.BadSetting, "Incarnation and Lookahead must be positive")
	case min(r.EngineInterval, r.ResendInterval, r.RefreshInterval, r.HoldTime, r.LeaseTTL, r.CallTimeout) <= 0:
		return result.New(result.BadSetting, "EngineInterval, ResendInterval, RefreshInterval, HoldTime, LeaseTTL and CallTimeout must be positive")
	}
	return nil
}

// Run takes part in the group until ctx ends and then returns nil. It returns
// an error at once when the fields are invalid or a connection to a peer cannot
// be created. After Run ends, the ranks continue up to their step limit.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.validate(); err != nil {
		return err
	}
	r.init()
	if err := r.dial(); err != nil {
		return err
	}
	defer r.closeConns()
	if !pause.For(ctx, r.StartDelay) {
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

// Leading reports whether this agent leads the group.
func (r *Runner) Leading() bool { return r.leading.Load() }

// VersionInForce returns the version of the newest map in the member's
// schedule, or zero while the member has not joined its group.
func (r *Runner) VersionInForce() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.joined {
		return 0
	}
	return r.inForce.Map.Version
}

// emit logs a state change and passes it to Events.
func (r *Runner) emit(e Event) {
	r.Log.WithFields(logrus.Fields{"group": r.Group, "number": e.Number}).Info(e.Kind + " " + e.Detail)
	if r.Events != nil {
		r.Events(e)
	}
}

// reportChanges reports changes of the member's state. mu must not be held.
func (r *Runner) reportChanges() {
	r.mu.Lock()
	report := r.recordChanges()
	r.mu.Unlock()
	report()
}

// recordChanges records the changes of the member's state since the last call
// and returns a function that reports them, to be called without mu. mu must be
// held.
//
// A loss of maps, which Member.Tick discovers, must be recorded before mu is
// released after that call. An engine that restarts loses its maps; if the loss
// were looked for only after the engine's next orders, the member might have
// joined again through its peers by then, and neither log, counter nor time
// line would show the loss.
func (r *Runner) recordChanges() func() {
	s := r.member.State()
	wasJoined, previous := r.joined, r.inForce
	r.joined = s.Joined
	if n := len(s.Schedule); n > 0 {
		r.inForce = s.Schedule[n-1]
	}
	current := r.inForce
	return func() { r.emitChanges(s, wasJoined, previous, current) }
}

// emitChanges reports the difference between the member's previous state, given
// by wasJoined and previous, and its current state, given by s and current.
func (r *Runner) emitChanges(s naming.State, wasJoined bool, previous, current naming.ScheduleEntry) {
	if s.Joined && !wasJoined {
		r.stats.joins.Inc(1)
		r.emit(Event{Kind: EventJoined, Number: current.Map.Version})
	}
	if !s.Joined && wasJoined {
		r.stats.losses.Inc(1)
		r.emit(Event{Kind: EventMapsLost, Number: previous.Map.Version})
	}
	if s.Joined && current != previous {
		r.stats.mapsInForce.Inc(1)
		r.stats.mapVersion.Update(int64(current.Map.Version))
		r.emit(Event{Kind: EventInForce, Number: current.Map.Version})
	}
}
