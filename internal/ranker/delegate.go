package ranker

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

const (
	// delegateAgentTimeout bounds a delegate's call to an agent of its subgroup, in
	// the same data centre, and delegateEngineTimeout one to the engine of an agent
	// that does not answer. Together they leave time for the reply to the leader,
	// which waits for agentCallTimeout.
	delegateAgentTimeout  = 90 * time.Millisecond
	delegateEngineTimeout = unresponsiveTimeout
)

// delegate polls the ranks of a subgroup and delivers orders to them for the leader.
// It caches no rank's state: each poll by the leader polls all ranks, so that no
// report dates from before the leader's call.
type delegate struct {
	poller poller
	// targetLists holds the target lists that leaders have sent.
	targetLists fleet.TargetLists
}

func newDelegate(r *Ranker) *delegate {
	return &delegate{poller: newPoller(r, delegateAgentTimeout, delegateEngineTimeout)}
}

// Gather implements fleetpb.AgentServer.
func (s *service) Gather(ctx context.Context, req *fleetpb.GatherRequest) (*fleetpb.GatherReply, error) {
	d, now := s.ranker.delegate, boottime.Now()
	s.ranker.noteLeader(req.GetLeader(), now)
	targets := d.targetLists.Resolve(req.GetList(), req.GetTargets(), now)
	if targets == nil {
		return &fleetpb.GatherReply{UnknownList: true}, nil
	}
	opts := pollOptions{experts: int(req.GetExperts()), lists: req.GetLists(), leader: req.GetLeader()}
	agents := make([]*fleet.Member, 0, len(targets))
	for _, target := range targets {
		agents = append(agents, memberFromProto(target))
	}
	resp := &fleetpb.GatherReply{}
	var sum []float64
	for i, result := range d.poller.poll(ctx, agents, slices.Repeat([]pollOptions{opts}, len(agents))) {
		if result.err != nil {
			s.ranker.Log.WithFields(logrus.Fields{"agent": agents[i].Name, "cause": result.err.Error()}).Warn("rank not seen")
			continue
		}
		resp.Gathered = append(resp.Gathered, &fleetpb.Gathered{Target: uint32(i), Look: lookReplyProto(result.engineReport), Direct: result.agent == nil})
		if counts, ok := countsFromProto(result.sums, opts.experts, rankLevelBits); ok && len(counts) > 0 {
			sum = addCounts(sum, counts)
		}
	}
	resp.Sums = sumsProto(sum, opts.experts, subgroupLevelBits)
	return resp, nil
}

// Spread implements fleetpb.AgentServer.
func (s *service) Spread(ctx context.Context, req *fleetpb.SpreadRequest) (*fleetpb.SpreadReply, error) {
	resp := &fleetpb.SpreadReply{Replies: make([]*fleetpb.GiveReply, len(req.GetOrders()))}
	parallel(len(resp.Replies), func(i int) { resp.Replies[i] = s.forward(ctx, req, req.GetOrders()[i]) })
	return resp, nil
}

// forward delivers one of the leader's orders to the agent or engine that it is for,
// within half of the time for which the leader waits.
func (s *service) forward(ctx context.Context, req *fleetpb.SpreadRequest, addressed *fleetpb.Addressed) *fleetpb.GiveReply {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout(req.GetPrepare() != nil)/2)
	defer cancel()
	order := addressed.GetOrder()
	if order == nil {
		s.ranker.Log.WithField("agent", addressed.GetTarget().GetAgent()).Warn("message without an order ignored")
		return &fleetpb.GiveReply{Status: uint32(lockstep.Unknown)}
	}
	order.Token = req.GetToken()
	if order.GetPrepare() != nil {
		order.Order = &fleetpb.GiveRequest_Prepare{Prepare: req.GetPrepare()}
	}
	m := memberFromProto(addressed.GetTarget())
	if addressed.GetDirect() {
		return s.giveToEngine(ctx, m.Endpoint, order)
	}
	resp, err := s.giveToAgent(ctx, m, order)
	if err != nil {
		s.ranker.Log.WithFields(logrus.Fields{"agent": addressed.GetTarget().GetAgent(), "cause": err.Error()}).Warn("cannot forward order to agent")
		return &fleetpb.GiveReply{Status: uint32(lockstep.Unknown)}
	}
	return resp
}

// giveToEngine delivers an order to an engine whose agent does not answer.
func (s *service) giveToEngine(ctx context.Context, endpoint string, req *fleetpb.GiveRequest) *fleetpb.GiveReply {
	ao, known, err := s.decodeOrder(req)
	if err != nil || !known {
		return &fleetpb.GiveReply{UnknownBase: !known}
	}
	o, err := giveWithRetries(ctx, s.ranker.delegate.poller.engineAt(endpoint), req.GetToken(), ao, remoteRetries)
	if err != nil {
		s.ranker.Log.WithFields(logrus.Fields{"endpoint": endpoint, "cause": err.Error()}).Warn("cannot deliver order to engine")
	}
	return &fleetpb.GiveReply{Status: uint32(o)}
}

// giveToAgent delivers an order to this agent or another.
func (s *service) giveToAgent(ctx context.Context, m *fleet.Member, order *fleetpb.GiveRequest) (*fleetpb.GiveReply, error) {
	if m.Name == s.ranker.Settings.Name {
		return s.Give(ctx, order)
	}
	conn, err := s.ranker.conns.Get(m.Address)
	if err != nil {
		return nil, err
	}
	return fleetpb.NewAgentClient(conn).Give(ctx, order)
}
