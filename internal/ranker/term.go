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
	// lookEvery is how often the leader looks at all ranks while no change is
	// under way. Popularity jumps every few seconds; a quarter second is a
	// small part of that, and its counts are enough to tell a jump by.
	lookEvery = 100 * time.Millisecond
	// workEvery is the pause while ranks copy experts, 100 ms each.
	workEvery = 25 * time.Millisecond
	// callTimeout bounds a call to an agent. It is some forty times the delay
	// between data centres; while a step is held, a slow call stalls streams.
	callTimeout = 200 * time.Millisecond
	// changeTime is what a change takes from its hold to its end, given up or
	// not, with room.
	changeTime = 600 * time.Millisecond
)

// term is the time for which this agent leads a group.
type term struct {
	ranker *Ranker
	lease  *rank.KVLease
	group  string
	size   int
	token  uint64
	until  time.Time
	// lost says that the store has ended the lease.
	lost bool

	leader  lockstep.Leader
	engine  *routing.Engine
	pop     *popularity
	planner planner
	looker  looker
	// tree says which agents are reached through which delegates.
	tree fanout.Tree
	// known is which bunches delegates have been told of.
	known fleet.Told
	// summed is when delegates were last asked for the sums of counts, and counted
	// that the last look asked for counts.
	summed  time.Time
	counted bool
	// prepare tells agents the map that they prepare now, which is prepared.
	prepare  *fleetpb.Prepare
	prepared [][][]int
	mu       sync.Mutex // guards sums
	// sums holds what delegates have counted since it was last planned by.
	sums [][]float64
	// tries is how often orders are given to engines elsewhere.
	tries tries
	loads loadTeller
	// jumped says that popularity has jumped since a map was last proposed.
	jumped bool
	// rankOf is the rank beside each agent, as last seen.
	rankOf map[string]int
	// paces is how much slower than usual each rank was at the last look.
	paces []float64
	// heldLogged is when a step that stays held was last told of.
	heldLogged time.Time
	renew      chan renewal
	renewAt    time.Time
	renews     bool
}

func newTerm(r *Ranker, lease *rank.KVLease, s lockstep.State, token uint64, until time.Time) *term {
	return &term{
		ranker: r, lease: lease, group: s.Group, size: s.Size, token: token, until: until,
		leader: lockstep.Leader{Own: s.Rank, Holder: (s.Rank + 1) % s.Size, Token: token},
		looker: newLooker(r, callTimeout, engineTimeout),
		tree:   fanout.Tree{Direct: directAgents, Most: bunchAgents},
		loads:  newLoadTeller(), rankOf: map[string]int{},
		renew: make(chan renewal, 1), tries: directTries,
	}
}

// run leads until another agent does, or the process leaves and nothing is held.
//
// A lease that can't be renewed because the store is away does not end the term
// where engines check fencing tokens: no other agent can take the lease then,
// and one that takes it later shows its token to every rank before it does
// anything else, from when on this leader's orders are refused. Without that the
// group would stay held, or on an old map, for as long as the store is away.
func (t *term) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := boottime.Now()
		t.keepLease(ctx, now)
		if t.over(now) {
			break
		}
		if t.engine == nil {
			t.readShape(ctx)
		}
		pause.For(ctx, t.round(ctx))
	}
	if t.renews {
		<-t.renew
	}
	if t.ranker.leaving.Load() {
		t.giveBack()
	}
}

// over reports whether the term has ended.
func (t *term) over(now time.Time) bool {
	switch {
	case t.lost || t.leader.Deposed():
		return true
	case t.ranker.leaving.Load():
		return !t.leader.Holding()
	default:
		return !now.Before(t.until) && !t.ranker.Settings.FencingChecked
	}
}

// mayBegin reports whether a change may be begun. One that is begun must come to
// its end before the lease does, where engines do not check tokens.
func (t *term) mayBegin(now time.Time) bool {
	if t.ranker.leaving.Load() {
		return false
	}
	return t.ranker.Settings.FencingChecked || now.Before(t.until.Add(-changeTime))
}

// readShape reads from the configuration what the group's engines are like.
func (t *term) readShape(ctx context.Context) {
	table, err := t.ranker.store.Table(ctx)
	if err != nil {
		t.ranker.storeFailed(err)
		return
	}
	s := table.Service(t.ranker.Settings.Service)
	if s == nil || s.Engine == nil || s.Engine.Experts.Sets == 0 {
		return
	}
	t.engine = s.Engine
	t.pop = newPopularity(s.Engine.Experts.Sets, s.Engine.Experts.Count)
	t.planner = planner{engine: s.Engine, ranks: t.size, gap: table.Gaps()[s.Name]}
}
