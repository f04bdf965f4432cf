package ranker

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

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
// term has ended. The message is a poll, whose result is ignored.
func (t *term) announceEnd(ctx context.Context) {
	agents, _ := t.ranker.members(t.group)
	var recipients []fleet.Member
	for _, m := range agents {
		if distance := (t.rankByAgent[m.Name] - t.leader.OwnRank - 1 + t.size) % t.size; distance < firstCandidates {
			recipients = append(recipients, m)
		}
	}
	parallel(len(recipients), func(i int) {
		if _, err := t.poller.queryAgent(ctx, &recipients[i], pollOptions{leader: t.leaderProto(true)}); err != nil {
			t.ranker.Log.WithFields(logrus.Fields{"agent": recipients[i].Name, "cause": err.Error()}).Info("cannot tell agent that the term has ended")
		}
	})
}

// leaderProto identifies this agent as the group's leader, or as its former leader if
// ended is set.
func (t *term) leaderProto(ended bool) *fleetpb.Leader {
	return &fleetpb.Leader{Agent: t.ranker.Settings.Name, Token: t.token, Rank: uint32(t.leader.OwnRank), Ended: ended}
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
