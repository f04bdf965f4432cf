package ranker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
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

// renewal is the end of a call that renews the lease.
type renewal struct {
	until time.Time
	err   error
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

// giveBack ends the lease of a leader that stops, so that another leads at once.
func (t *term) giveBack() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := t.lease.Release(ctx); err != nil {
		t.ranker.storeFailed(err)
		return
	}
	t.tellEnd(ctx)
}

// tellEnd tells the first successors that this agent leads no longer.
func (t *term) tellEnd(ctx context.Context) {
	agents, _ := t.ranker.members(t.group)
	var wg sync.WaitGroup
	for _, m := range agents {
		if place := (t.rankOf[m.Name] - t.leader.Own - 1 + t.size) % t.size; place >= successors {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := t.looker.askAgent(ctx, &m, wanted{leader: t.self(true)}); err != nil {
				t.ranker.Log.WithFields(logrus.Fields{"agent": m.Name, "cause": err.Error()}).Info("end of the lead not told")
			}
		}()
	}
	wg.Wait()
}

// self tells who leads, or that this agent no longer does.
func (t *term) self(ended bool) *fleetpb.Leader {
	return &fleetpb.Leader{Agent: t.ranker.Settings.Name, Token: t.token, Rank: uint32(t.leader.Own), Ended: ended}
}

// keepLease renews the lease beside the rounds, so that a slow store does not
// stall the group.
func (t *term) keepLease(ctx context.Context, now time.Time) {
	select {
	case end := <-t.renew:
		t.renews = false
		if end.err == nil {
			t.until = end.until
		} else {
			t.ranker.storeFailed(end.err)
			t.lost = t.lost || errors.Is(end.err, rank.ErrLeaseLost)
		}
	default:
	}
	if t.renews || now.Before(t.renewAt) {
		return
	}
	t.renews, t.renewAt = true, now.Add(renewEvery)
	go func() {
		until, err := t.lease.Renew(ctx, now)
		t.renew <- renewal{until: until, err: err}
	}()
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

// round looks at all ranks, gives the orders that follow, and returns how long
// to wait for the next round.
func (t *term) round(ctx context.Context) time.Duration {
	agents, entries := t.ranker.members(t.group)
	want := wanted{counts: t.engine != nil && !t.leader.Busy(), lists: t.engine != nil && t.leader.InForce() == nil, leader: t.self(false)}
	t.counted = false
	looks := t.lookAll(ctx, agents, want)
	now := boottime.Now()
	ranks, byRank, seen := t.arrange(looks)
	t.tellEntries(ctx, entries, looks, !slices.Contains(seen, false), now)
	if slices.Contains(seen, false) {
		return t.rescue(ctx, ranks, byRank, seen)
	}
	if t.engine == nil {
		return lookEvery
	}
	t.learnMap(byRank)
	t.notePaces(paces(byRank))
	if t.counted {
		t.plan(byRank, now)
	}
	was := t.leader.Busy()
	directives := t.leader.Decide(ranks, t.mayBegin(now), now)
	t.logHeld(ranks, now)
	if was && !t.leader.Busy() {
		return 0 // what was counted meanwhile may ask for the next change
	}
	if len(directives) > 0 {
		t.giveAndFollow(ctx, directives, ranks, byRank, func(now time.Time) []lockstep.Directive {
			return t.leader.Decide(ranks, t.mayBegin(now), now)
		})
		t.logChange()
		return 0
	}
	if t.leader.Busy() {
		return workEvery
	}
	return lookEvery
}

// logHeld tells of a step that is held for longer than any change takes, and which
// ranks keep it from being let go.
func (t *term) logHeld(ranks []lockstep.State, now time.Time) {
	held := t.leader.HeldFor(ranks, now)
	if held < changeTime || now.Sub(t.heldLogged) < changeTime {
		return
	}
	t.heldLogged = now
	f := logrus.Fields{"group": t.group, "epoch": ranks[0].Epoch, "held": held.Milliseconds()}
	for _, i := range t.leader.Awaited(ranks) {
		f[fmt.Sprint("rank", i)] = ranks[i].String()
	}
	t.ranker.Log.WithFields(f).Warn("a step stays held")
}

// logChange tells how a change of maps went: one that took longer than expected may
// have kept the group waiting.
func (t *term) logChange() {
	c, ok := t.leader.Changed()
	if !ok {
		return
	}
	t.ranker.Log.WithFields(logrus.Fields{
		"group": t.group, "step": c.Step, "ahead": c.Ahead, "took": c.Took.Milliseconds(),
		"expected": c.Expected.Milliseconds(), "stepTime": c.StepTime.Milliseconds(),
	}).Info("expert map let go")
}

// rescue lets a step go that the last leader left held, if its own rank alone
// isn't seen, and returns how long to wait for the next round.
func (t *term) rescue(ctx context.Context, ranks []lockstep.State, byRank []found, seen []bool) time.Duration {
	directives := t.leader.Rescue(ranks, seen)
	if len(directives) == 0 {
		return lookEvery
	}
	t.giveAndFollow(ctx, directives, ranks, byRank, func(time.Time) []lockstep.Directive { return t.leader.Rescue(ranks, seen) })
	return 0
}

// learnMap learns the map in force from the ranks' lists, if all are of one.
func (t *term) learnMap(byRank []found) {
	if t.leader.InForce() != nil {
		return
	}
	x := t.engine.Experts
	sets := make([][][]int, x.Sets)
	for _, l := range byRank {
		if l.lists == nil || len(l.lists) != x.Sets || l.state.Map != byRank[0].state.Map {
			return
		}
		for s := range sets {
			sets[s] = append(sets[s], l.lists[s])
		}
	}
	t.leader.Current(byRank[0].state.Map, inOrder(sets))
}

// plan follows popularity and proposes the next map if it is worth it.
func (t *term) plan(byRank []found, now time.Time) {
	looks := make([]look, 0, len(byRank))
	for _, f := range byRank {
		looks = append(looks, f.look)
	}
	t.jumped = t.pop.observe(looks, t.takenSums(), now) || t.jumped
	current := t.leader.InForce()
	if current == nil || !t.pop.known() {
		return
	}
	p, err := t.planner.plan(current.Sets, t.pop.loads(), paces(byRank), mostRunning(byRank))
	if err != nil {
		t.ranker.Log.WithField("cause", err.Error()).Error("no map can be planned")
		return
	}
	if p == nil {
		return
	}
	version, ok := t.leader.Propose(p.sets)
	if !ok {
		return
	}
	t.ranker.counts.changes.Inc(1)
	t.ranker.counts.copies.Inc(int64(p.copies))
	t.ranker.Log.WithFields(logrus.Fields{
		"group": t.group, "map": version, "copies": p.copies, "skew": p.before, "skewPlanned": p.after, "jump": t.jumped,
	}).Info("expert map proposed")
	t.jumped = false
}

// notePaces tells of each rank that has begun to work slower than usual, or as
// usual again: all others wait for it, and nothing else names it.
func (t *term) notePaces(now []float64) {
	for i, pace := range now {
		was := 1.0
		if i < len(t.paces) {
			was = t.paces[i]
		}
		if (pace > 1) != (was > 1) {
			t.ranker.Log.WithFields(logrus.Fields{"group": t.group, "rank": i, "pace": pace, "before": was}).Warn("rank changes its pace")
		}
	}
	t.paces = now
}

// paces returns how many times slower than usual each rank is.
func paces(byRank []found) []float64 {
	out := make([]float64, len(byRank))
	for i, f := range byRank {
		out[i] = 1
		if f.state.Pace >= batch.SlowFrom {
			out[i] = f.state.Pace
		}
	}
	return out
}

// mostRunning returns the largest number of requests that a rank runs.
func mostRunning(byRank []found) int {
	n := 0
	for _, f := range byRank {
		n = max(n, f.state.Running)
	}
	return n
}
