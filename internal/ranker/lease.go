package ranker

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
)

// renewal is the result of a call that renews the lease.
type renewal struct {
	until time.Time
	err   error
}

// releaseLease ends the lease of a stopping leader, so that another agent can lead at
// once.
func (t *term) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), agentCallTimeout)
	defer cancel()
	if err := t.lease.Release(ctx); err != nil {
		t.ranker.logStoreFailure(err)
		return
	}
	t.announceEnd(ctx)
}

// announceEnd tells the agents that are first in the order of succession that the
// term has ended and, because this agent's key is about to vanish, where its engine is.
// The message is a poll, whose result is ignored.
func (t *term) announceEnd(ctx context.Context) {
	self := t.ranker.self(t.group)
	leader := t.leaderProto(true)
	leader.Lapsed = append(lapsedTargets(t.ranker.lapsedMembers(t.group, boottime.Now())), targetProto(&self))
	agents, _ := t.ranker.members(t.group)
	var recipients []fleet.Member
	for _, m := range agents {
		if distance := (t.rankByAgent[m.Name] - t.leader.OwnRank - 1 + t.size) % t.size; distance < firstCandidates {
			recipients = append(recipients, m)
		}
	}
	parallel(len(recipients), func(i int) {
		if _, err := t.poller.queryAgent(ctx, &recipients[i], pollOptions{leader: leader}); err != nil {
			t.ranker.Log.WithFields(logrus.Fields{"agent": recipients[i].Name, "cause": err.Error()}).Info("cannot tell agent that the term has ended")
		}
	})
}

// leaderProto identifies this agent as the group's leader, or as its former leader if
// ended is set.
func (t *term) leaderProto(ended bool) *fleetpb.Leader {
	return &fleetpb.Leader{Agent: t.ranker.Settings.Name, Token: t.token, Rank: uint32(t.leader.OwnRank), Ended: ended}
}

// lapsedToTell returns the agents that this poll names as lapsed: those that no poll has named
// yet, and all of them once in lapsedTellInterval.
//
// A successor reads the agents from the store, which no longer has those. Without their
// engines it would lack a rank until they are back, and change no map.
func (t *term) lapsedToTell(now time.Time) []*fleetpb.Target {
	all := now.Sub(t.lapsedToldAt) >= lapsedTellInterval
	if all {
		t.lapsedToldAt = now
	}
	lapsed := t.ranker.lapsedMembers(t.group, now)
	told := make(map[string]bool, len(lapsed))
	var due []fleet.Member
	for _, m := range lapsed {
		if all || !t.lapsedTold[m.Name] {
			due = append(due, m)
		}
		told[m.Name] = true
	}
	t.lapsedTold = told
	return lapsedTargets(due)
}

// lapsedTargets returns the targets of agents in the order of their names, at most maxLapsedTold.
func lapsedTargets(lapsed []fleet.Member) []*fleetpb.Target {
	slices.SortFunc(lapsed, func(a, b fleet.Member) int { return strings.Compare(a.Name, b.Name) })
	var out []*fleetpb.Target
	for i := range lapsed[:min(len(lapsed), maxLapsedTold)] {
		out = append(out, targetProto(&lapsed[i]))
	}
	return out
}

// keepLease renews the lease when it is due. The call runs concurrently with the
// rounds, so that a slow store does not stall the group.
func (t *term) keepLease(ctx context.Context, now time.Time) {
	select {
	case result := <-t.renewals:
		t.renewing = false
		recovered := t.renewalFailed && result.err == nil
		t.renewalFailed = result.err != nil
		if result.err == nil {
			t.leaseUntil = result.until
			if recovered {
				t.ranker.storeReturned.Raise()
			}
		} else {
			t.ranker.logStoreFailure(result.err)
			t.leaseLost = t.leaseLost || errors.Is(result.err, rank.ErrLeaseLost)
		}
	default:
	}
	if t.renewing || now.Before(t.nextRenewal) {
		return
	}
	t.renewing, t.nextRenewal = true, now.Add(renewInterval)
	go func() {
		until, err := t.lease.Renew(ctx, now)
		t.renewals <- renewal{until: until, err: err}
	}()
}
