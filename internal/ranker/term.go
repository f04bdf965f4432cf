package ranker

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// pollInterval is the time between two polls of all ranks while no change is in
	// progress. Popularity jumps every few seconds; the interval is a small part of
	// that time, and the counts of one interval suffice to detect a jump.
	pollInterval = 100 * time.Millisecond
	// copyPollInterval is the time between two polls while ranks copy experts, which
	// takes 100 ms each.
	copyPollInterval = 25 * time.Millisecond
	// agentCallTimeout bounds a call to an agent. It is about forty times the delay
	// between data centres. While a step is held, a slow call stalls streams.
	agentCallTimeout = 200 * time.Millisecond
	// lapsedTellInterval is the time between two polls that name all lapsed agents, and
	// maxLapsedTold how many a poll names. An agent receives at most 1 kB/s of them, besides
	// each once.
	lapsedTellInterval = time.Second
	maxLapsedTold      = 16
	// maxChangeTime is an upper bound of the time from a change's hold until its end,
	// whether it succeeds or is given up.
	maxChangeTime = 600 * time.Millisecond
)

// term is the time for which this agent leads a group, with the leader's state.
type term struct {
	ranker     *Ranker
	lease      *rank.KVLease
	group      string
	size       int
	token      uint64
	leaseUntil time.Time
	// leaseLost reports that the store has ended the lease.
	leaseLost bool

	leader     lockstep.Leader
	engine     *routing.Engine
	popularity *popularity
	planner    planner
	poller     poller
	// tree selects the delegates through which agents are reached.
	tree fanout.Tree
	// sentLists records which target lists delegates have received.
	sentLists fleet.SentLists
	// sumsPolledAt is when delegates were last asked for sums of counts. countsPolled
	// reports whether the last poll asked for counts.
	sumsPolledAt time.Time
	countsPolled bool
	// prepareMsg is the encoded map that ranks are preparing, preparedSets the map
	// itself.
	prepareMsg   *fleetpb.Prepare
	preparedSets [][][]int
	mu           sync.Mutex // guards pendingSums
	// pendingSums holds the counts from delegates that no plan has used yet.
	pendingSums [][]float64
	// retries applies to orders that are given to engines on other VMs.
	retries retryPolicy
	loads   loadReporter
	stand   groupStand
	// jumped reports whether popularity has jumped since the last map was proposed.
	jumped bool
	// rankByAgent is the rank of each agent's engine when it was last polled.
	rankByAgent map[string]int
	// slowdowns is each rank's slowdown factor at the last poll.
	slowdowns []float64
	// lapsedToldAt is when a poll last named all lapsed agents.
	lapsedToldAt time.Time
	// lapsedTold are those that a poll has named.
	lapsedTold map[string]bool
	// heldLoggedAt is when a step held for too long was last logged.
	heldLoggedAt time.Time
	renewals     chan renewal
	nextRenewal  time.Time
	renewing     bool
	// renewalFailed reports that the store did not answer the last renewal.
	renewalFailed bool
}

func newTerm(r *Ranker, lease *rank.KVLease, s lockstep.State, token uint64, until time.Time) *term {
	return &term{
		ranker: r, lease: lease, group: s.Group, size: s.Size, token: token, leaseUntil: until,
		leader: lockstep.Leader{OwnRank: s.Rank, HoldRank: (s.Rank + 1) % s.Size, Token: token},
		poller: newPoller(r, agentCallTimeout, engineTimeout),
		tree:   fanout.Tree{MaxDirect: maxDirectAgents, MaxSize: maxSubgroupAgents},
		loads:  newLoadReporter(s.Group), rankByAgent: map[string]int{},
		renewals: make(chan renewal, 1), retries: remoteRetries,
	}
}

// run leads the group until another agent leads it, or until the process stops and no
// step is held.
//
// Where engines check fencing tokens, a lease that cannot be renewed because the
// store is unreachable does not end the term. No other agent can take the lease
// during the outage, and one that takes it later first shows its token to every rank,
// after which this leader's orders are refused. If the term ended, a step would stay
// held, or an old map in force, for the whole outage.
func (t *term) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := boottime.Now()
		t.keepLease(ctx, now)
		if t.ended(now) {
			break
		}
		if t.engine == nil {
			t.readEngineConfig(ctx)
		}
		pause.For(ctx, t.round(ctx))
	}
	if t.renewing {
		<-t.renewals
	}
	if t.ranker.stopping.Load() {
		t.releaseLease()
	}
}

// ended reports whether the term has ended.
func (t *term) ended(now time.Time) bool {
	switch {
	case t.leaseLost || t.leader.Deposed():
		return true
	case t.ranker.stopping.Load():
		return !t.leader.Holding()
	default:
		return !now.Before(t.leaseUntil) && !t.ranker.Settings.FencingChecked
	}
}

// mayBegin reports whether a map change may begin. Where engines do not check fencing
// tokens, a change must end before the lease does.
func (t *term) mayBegin(now time.Time) bool {
	if t.ranker.stopping.Load() {
		return false
	}
	return t.ranker.Settings.FencingChecked || now.Before(t.leaseUntil.Add(-maxChangeTime))
}

// readEngineConfig reads the group's engine parameters from the configuration. The
// term's engine stays nil until the configuration contains them.
func (t *term) readEngineConfig(ctx context.Context) {
	table, err := t.ranker.store.Table(ctx)
	if err != nil {
		t.ranker.logStoreFailure(err)
		return
	}
	s := table.Service(t.ranker.Settings.Service)
	if s == nil || s.Engine == nil || s.Engine.Experts.Sets == 0 {
		return
	}
	t.engine = s.Engine
	t.popularity = newPopularity(s.Engine.Experts.Sets, s.Engine.Experts.Count)
	t.planner = planner{engine: s.Engine, ranks: t.size, maxGap: table.MaxGaps()[s.Name]}
}
