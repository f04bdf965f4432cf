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
	// memberTimeout bounds a delegate's call to an agent of its bunch, in the
	// same data centre, and memberEngineTimeout one to the engine of an agent
	// that does not answer. Both together leave time for the answer to the
	// leader, which waits for callTimeout.
	memberTimeout       = 90 * time.Millisecond
	memberEngineTimeout = darkTimeout
)

// delegate looks at the ranks of a bunch, and gives them orders, for the leader.
// It keeps nothing that it was told of a rank: each look of the leader's asks all
// of them, so that an answer is never of before the leader asked.
type delegate struct {
	looker looker
	// bunches are those that leaders have told of.
	bunches fleet.Lists
}

func newDelegate(r *Ranker) *delegate {
	return &delegate{looker: newLooker(r, memberTimeout, memberEngineTimeout)}
}

// Gather implements fleetpb.AgentServer.
func (s *service) Gather(ctx context.Context, q *fleetpb.GatherRequest) (*fleetpb.GatherReply, error) {
	d := s.ranker.delegate
	s.ranker.heardOf(q.GetLeader(), boottime.Now())
	targets := d.bunches.Learn(q.GetList(), q.GetTargets())
	if targets == nil {
		return &fleetpb.GatherReply{UnknownList: true}, nil
	}
	want := wanted{experts: int(q.GetExperts()), lists: q.GetLists(), leader: q.GetLeader()}
	agents := make([]*fleet.Member, 0, len(targets))
	for _, target := range targets {
		agents = append(agents, memberOf(target))
	}
	p := &fleetpb.GatherReply{}
	var sum []float64
	for i, one := range d.looker.lookAt(ctx, agents, slices.Repeat([]wanted{want}, len(agents))) {
		if one.err != nil {
			s.ranker.Log.WithFields(logrus.Fields{"agent": agents[i].Name, "cause": one.err.Error()}).Warn("rank not seen")
			continue
		}
		p.Gathered = append(p.Gathered, &fleetpb.Gathered{Target: uint32(i), Look: replyFrom(one.look), Direct: one.agent == nil})
		if counts, ok := countsFrom(one.sums, want.experts, rankBits); ok && len(counts) > 0 {
			sum = addUp(sum, counts)
		}
	}
	p.Sums = sumsProto(sum, want.experts, sumBits)
	return p, nil
}

// Spread implements fleetpb.AgentServer.
func (s *service) Spread(ctx context.Context, q *fleetpb.SpreadRequest) (*fleetpb.SpreadReply, error) {
	p := &fleetpb.SpreadReply{Replies: make([]*fleetpb.GiveReply, len(q.GetOrders()))}
	together(len(p.Replies), func(i int) { p.Replies[i] = s.handOn(ctx, q, q.GetOrders()[i]) })
	return p, nil
}

// handOn gives one order of the leader's to the agent that it is for, in half of the
// time for which the leader waits.
func (s *service) handOn(ctx context.Context, q *fleetpb.SpreadRequest, o *fleetpb.Addressed) *fleetpb.GiveReply {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout(q.GetPrepare() != nil)/2)
	defer cancel()
	order := o.GetOrder()
	order.Token = q.GetToken()
	if order.GetPrepare() != nil {
		order.Order = &fleetpb.GiveRequest_Prepare{Prepare: q.GetPrepare()}
	}
	m := memberOf(o.GetTarget())
	if o.GetDirect() {
		return s.giveDirectly(ctx, m.Endpoint, order)
	}
	p, err := s.giveTo(ctx, m, order)
	if err != nil {
		s.ranker.Log.WithFields(logrus.Fields{"agent": o.GetTarget().GetAgent(), "cause": err.Error()}).Warn("order not handed on")
		return &fleetpb.GiveReply{Status: uint32(lockstep.Unknown)}
	}
	return p
}

// giveDirectly gives an order to an engine whose agent does not answer.
func (s *service) giveDirectly(ctx context.Context, endpoint string, q *fleetpb.GiveRequest) *fleetpb.GiveReply {
	d, known, err := s.read(q)
	if err != nil || !known {
		return &fleetpb.GiveReply{UnknownBase: !known}
	}
	o, err := giveAgain(ctx, s.ranker.delegate.looker.engineAt(endpoint), q.GetToken(), d, directTries)
	if err != nil {
		s.ranker.Log.WithFields(logrus.Fields{"endpoint": endpoint, "cause": err.Error()}).Warn("order not given to the engine")
	}
	return &fleetpb.GiveReply{Status: uint32(o)}
}

// giveTo hands an order to an agent, this one or another.
func (s *service) giveTo(ctx context.Context, m *fleet.Member, order *fleetpb.GiveRequest) (*fleetpb.GiveReply, error) {
	if m.Name == s.ranker.Settings.Name {
		return s.Give(ctx, order)
	}
	conn, err := s.ranker.conns.Get(m.Address)
	if err != nil {
		return nil, err
	}
	return fleetpb.NewAgentClient(conn).Give(ctx, order)
}
