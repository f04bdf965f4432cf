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

// round polls all ranks, gives the orders that follow from their states, and returns
// how long to wait before the next round.
func (t *term) round(ctx context.Context) time.Duration {
	agents, entries := t.ranker.members(t.group)
	opts := pollOptions{counts: t.engine != nil && !t.leader.Busy(), lists: t.engine != nil && t.leader.InForce() == nil, leader: t.leaderProto(false)}
	opts.leader.Lapsed = t.lapsedToTell(boottime.Now())
	t.countsPolled = false
	reports := t.pollGroup(ctx, agents, opts)
	now := boottime.Now()
	ranks, byRank, seen := t.indexByRank(reports)
	stood := t.stand.observe(ranks, seen, now)
	t.reportLoads(ctx, entries, reports, !slices.Contains(seen, false), stood, now)
	if slices.Contains(seen, false) {
		return t.endHeldStep(ctx, ranks, byRank, seen, now)
	}
	if t.engine == nil {
		return pollInterval
	}
	t.learnMapInForce(byRank)
	t.logSlowdowns(slowdowns(byRank))
	if t.countsPolled {
		t.plan(byRank, now)
	}
	wasBusy := t.leader.Busy()
	orders := t.leader.NextOrders(ranks, t.mayBegin(now), now)
	t.logHeld(ranks, now)
	if wasBusy && !t.leader.Busy() {
		return 0 // counts gathered meanwhile may call for the next change
	}
	if len(orders) > 0 {
		t.giveAndContinue(ctx, orders, ranks, byRank, func(now time.Time) []lockstep.AddressedOrder {
			return t.leader.NextOrders(ranks, t.mayBegin(now), now)
		})
		t.logChange()
		return 0
	}
	if t.leader.Busy() {
		return copyPollInterval
	}
	return pollInterval
}

// logHeld logs a step that has been held for longer than any change takes, with the
// ranks that prevent its release. It logs at most once in maxChangeTime.
func (t *term) logHeld(ranks []lockstep.State, now time.Time) {
	held := t.leader.HeldFor(ranks, now)
	if held < maxChangeTime || now.Sub(t.heldLoggedAt) < maxChangeTime {
		return
	}
	t.heldLoggedAt = now
	fields := logrus.Fields{"group": t.group, "epoch": ranks[0].Epoch, "held": held.Milliseconds()}
	for _, i := range t.leader.BlockingRanks(ranks) {
		fields[fmt.Sprint("rank", i)] = ranks[i].String()
	}
	t.ranker.Log.WithFields(fields).Warn("a step stays held")
}

// logChange logs a completed map change with its expected and actual duration: a
// change that took longer than expected may have stalled the group.
func (t *term) logChange() {
	c, ok := t.leader.TakeChange()
	if !ok {
		return
	}
	t.ranker.Log.WithFields(logrus.Fields{
		"group": t.group, "step": c.Step, "ahead": c.StepsAhead, "took": c.Duration.Milliseconds(),
		"expected": c.ExpectedDuration.Milliseconds(), "stepTime": c.StepDuration.Milliseconds(),
	}).Info("expert map change completed")
}

// endHeldStep ends a hold while some ranks have no report: that of the previous leader
// if only its rank is missing, or this leader's own if it knows which of the missing
// ranks are armed. It returns how long to wait before the next round.
func (t *term) endHeldStep(ctx context.Context, ranks []lockstep.State, byRank []rankReport, seen []bool, now time.Time) time.Duration {
	next := func(now time.Time) []lockstep.AddressedOrder {
		if orders := t.leader.RecoverHeldStep(ranks, seen); len(orders) > 0 {
			return orders
		}
		return t.leader.EndOwnHold(ranks, seen, now)
	}
	orders := next(now)
	if len(orders) == 0 {
		t.logInDoubt(ranks, seen, now)
		return pollInterval
	}
	t.giveAndContinue(ctx, orders, ranks, byRank, next)
	return 0
}

// logInDoubt logs that a step stays held because it is not known whether a rank without
// a report is armed. It logs at most once in maxChangeTime.
func (t *term) logInDoubt(ranks []lockstep.State, seen []bool, now time.Time) {
	held := slices.IndexFunc(ranks, func(s lockstep.State) bool { return s.Held != nil })
	if held < 0 || now.Sub(t.heldLoggedAt) < maxChangeTime {
		return
	}
	t.heldLoggedAt = now
	fields := logrus.Fields{"group": t.group, "epoch": ranks[held].Epoch, "step": *ranks[held].Held}
	for i, ok := range seen {
		if ok {
			fields[fmt.Sprint("rank", i)] = ranks[i].String()
		} else {
			fields[fmt.Sprint("rank", i)] = "not seen"
		}
	}
	t.ranker.Log.WithFields(fields).Warn("a step stays held, it is not known whether a rank is armed")
}

// learnMapInForce derives the map in force from the ranks' expert lists, if all ranks
// report the same version.
func (t *term) learnMapInForce(byRank []rankReport) {
	if t.leader.InForce() != nil {
		return
	}
	experts := t.engine.Experts
	sets := make([][][]int, experts.Sets)
	for _, report := range byRank {
		if report.lists == nil || len(report.lists) != experts.Sets || report.state.Map != byRank[0].state.Map {
			return
		}
		for s := range sets {
			sets[s] = append(sets[s], report.lists[s])
		}
	}
	t.leader.SetInForce(byRank[0].state.Map, sortExperts(sets))
}
