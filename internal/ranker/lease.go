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

// renewal is the end of a call that renews the lease.
type renewal struct {
	until time.Time
	err   error
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
	var first []fleet.Member
	for _, m := range agents {
		if place := (t.rankOf[m.Name] - t.leader.Own - 1 + t.size) % t.size; place < successors {
			first = append(first, m)
		}
	}
	together(len(first), func(i int) {
		if _, err := t.looker.askAgent(ctx, &first[i], wanted{leader: t.self(true)}); err != nil {
			t.ranker.Log.WithFields(logrus.Fields{"agent": first[i].Name, "cause": err.Error()}).Info("end of the lead not told")
		}
	})
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
