package ranker

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

const (
	// standPollInterval is how often an agent polls its own engine while the group stands at the step
	// that this engine holds.
	standPollInterval = 50 * time.Millisecond
	// minStandTime is how long the group must have stood there before its leader's lease is ended.
	// Leaders release a step within some 50 ms.
	minStandTime = 200 * time.Millisecond
	// maxLeaderSilence is how long the leader must not have polled this agent before. One that waits for
	// another rank's frozen VM polls it again within 0.6 s: 0.15 s for orders to that rank, 0.35 s for a
	// poll, and the pause between two polls. Its successor would not know which orders it has given.
	maxLeaderSilence = 700 * time.Millisecond
	// minSilenceToAsk is how long the leader must not have polled this agent to be asked whether it is there,
	// while the group stands. Leaders poll ten times a second.
	minSilenceToAsk = 200 * time.Millisecond
	// leaderAnswerTimeout bounds that question, which a leader answers in some milliseconds also while it waits
	// for another rank's frozen VM.
	leaderAnswerTimeout = 150 * time.Millisecond
)

// standstill tracks for how long a group has stood at the step that the agent's own engine holds. A leader
// gives the hold to the rank behind its own, whose agent is also the first in the order of succession.
//
// If the leader's VM freezes then, all streams of the group wait until its lease has lapsed, 0.9 to 1.2 s, and
// for the successor's first orders. Callers who had asked just before left after 2 s, while their entries
// could hardly tell yet which engine was the one that stood.
type standstill struct {
	step  uint64
	since time.Time
	// observedAt is when the engine was last polled.
	observedAt time.Time
}

// observe records the state of the agent's engine at the time now, and returns for how long the group has
// stood. The time for which the agent itself stood still does not count.
func (h *standstill) observe(s lockstep.State, now time.Time) time.Duration {
	stoodStill := now.Sub(h.observedAt) > 2*ownPollInterval
	h.observedAt = now
	if s.Held == nil || s.Step+1 != *s.Held {
		h.since = time.Time{}
		return 0
	}
	if h.since.IsZero() || h.step != *s.Held || stoodStill {
		h.step, h.since = *s.Held, now
	}
	return now.Sub(h.since)
}

// pollInterval returns how long to wait before the engine is polled again, if the leader was last heard of that
// long ago.
func (h *standstill) pollInterval(leaderSilence time.Duration) time.Duration {
	if h.since.IsZero() && (leaderSilence < minSilenceToAsk || leaderSilence > maxLeaderSilence) {
		return ownPollInterval
	}
	return standPollInterval
}

// mayEndLease reports whether an agent may end the lease of a leader that it last heard of that long ago,
// when its group has stood for the time stood.
//
// Ending a lease is safe where engines check fencing tokens: a successor shows its token to each rank before
// it decides, and from then on the ranks refuse what the old leader orders, whether that one is frozen or
// not. Elsewhere only the lapse of its lease keeps an old leader from giving orders.
func mayEndLease(stood, leaderSilence time.Duration, fencingChecked bool) bool {
	return fencingChecked && stood >= minStandTime && leaderSilence >= maxLeaderSilence
}

// mayAskLeader reports whether an agent may ask a leader that it last heard of that long ago whether it is there, and
// end its lease if it isn't. stood is for how long the group has stood.
func mayAskLeader(stood, leaderSilence time.Duration, fencingChecked bool) bool {
	return fencingChecked && stood > 0 && leaderSilence >= minSilenceToAsk
}

// askedLeader is a leader that was asked whether it is there.
type askedLeader struct {
	token   uint64
	address string
}

// leaderAnswers asks the agent that this one last heard of as the leader whether it still leads the group. One that
// can't be asked, for want of its address, counts as answering.
//
// A leader that waits for another rank's frozen VM doesn't poll for half a second. Without the question, its silence
// would have to last longer than that before another agent leads, and the group stands meanwhile.
func (r *Ranker) leaderAnswers(ctx context.Context) bool {
	leader, known := r.leader.last()
	if !known || leader.name == r.Settings.Name {
		return true
	}
	address, ok := r.leaderAddress(ctx, leader)
	if !ok {
		return true
	}
	conn, err := r.conns.Get(address)
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, leaderAnswerTimeout)
	defer cancel()
	reply, err := fleetpb.NewAgentClient(conn).Lead(ctx, &fleetpb.LeadRequest{})
	switch status.Code(err) {
	case codes.OK:
		return reply.GetToken() == leader.Token
	case codes.DeadlineExceeded, codes.Unavailable:
		r.conns.RemoveUnresponsive(address)
		return false
	default:
		return true
	}
}

// leaderAddress returns the address of a leader's agent according to the store, and false if the store doesn't tell.
func (r *Ranker) leaderAddress(ctx context.Context, leader leaderInfo) (string, bool) {
	r.mu.Lock()
	asked := r.asked
	r.mu.Unlock()
	if asked.token == leader.Token {
		return asked.address, true
	}
	reply, err := r.store.Get(ctx, fleet.Member{Kind: fleet.Agent, Name: leader.name}.Key())
	if err != nil {
		r.logStoreFailure(err)
		return "", false
	}
	item, ok := reply.First()
	if !ok {
		return "", false
	}
	m, ok, err := fleet.Decode(item.Key(), item.Value())
	if err != nil {
		r.logMalformed(err)
	}
	if err != nil || !ok {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = askedLeader{token: leader.Token, address: m.Address}
	return m.Address, true
}

// takeOver ends the lease of a leader that has left a step held, and campaigns for the group's lease.
func (r *Ranker) takeOver(ctx context.Context, s lockstep.State, stood time.Duration) {
	lease := r.newLease(s)
	held, ok, err := lease.CurrentHolder(ctx)
	if err != nil {
		r.logStoreFailure(err)
		return
	}
	if ok && !r.endLease(ctx, lease, held, s, stood) {
		return
	}
	r.campaign(ctx, s)
}

// endLease ends the lease of the leader that this agent last heard of. It reports whether it did.
func (r *Ranker) endLease(ctx context.Context, lease *rank.KVLease, held kv.KeyValue, s lockstep.State, stood time.Duration) bool {
	holder, ok := parseHolder(held)
	last, known := r.leader.last()
	if !ok || !known || holder.Token != last.Token {
		return false // another agent has just begun to lead
	}
	r.Log.WithFields(logrus.Fields{
		"group": s.Group, "leader": last.name, "token": last.Token, "step": *s.Held, "stood": stood.Milliseconds(),
		"silent": r.leader.silence(boottime.Now()).Milliseconds(),
	}).Warn("the leader is silent while a step is held, its lease is ended")
	if err := lease.End(ctx, held); err != nil {
		r.logStoreFailure(err)
		return false
	}
	return true
}
