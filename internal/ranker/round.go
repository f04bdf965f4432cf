package ranker

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

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
