package ranker

import (
	"context"
	"sync"
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

	mu     sync.Mutex // guards summer
	summer summer
}

func newDelegate(r *Ranker) *delegate {
	return &delegate{looker: newLooker(r, memberTimeout, memberEngineTimeout)}
}

// Gather implements fleetpb.AgentServer.
func (s *service) Gather(ctx context.Context, q *fleetpb.GatherRequest) (*fleetpb.GatherReply, error) {
	d := s.ranker.delegate
	want := wanted{counts: q.GetExperts() > 0, lists: q.GetLists(), leader: q.GetLeader()}
	s.ranker.heardOf(q.GetLeader(), boottime.Now())
	targets := d.bunches.Learn(q.GetList(), q.GetTargets())
	if targets == nil {
		return &fleetpb.GatherReply{UnknownList: true}, nil
	}
	replies := make([]*fleetpb.Gathered, len(targets))
	looks := make([]look, len(replies))
	var wg sync.WaitGroup
	for i, target := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f, err := d.looker.lookAt(ctx, memberOf(target), want)
			if err != nil {
				s.ranker.Log.WithFields(logrus.Fields{"agent": target.GetAgent(), "cause": err.Error()}).Warn("rank not seen")
				return
			}
			looks[i] = f.look
			replies[i] = &fleetpb.Gathered{Target: uint32(i), Look: replyFrom(f.look), Direct: f.agent == nil}
		}()
	}
	wg.Wait()
	p := &fleetpb.GatherReply{}
	for _, one := range replies {
		if one != nil {
			p.Gathered = append(p.Gathered, one)
		}
	}
	if want.counts {
		p.Sums = d.sums(looks, int(q.GetExperts()), boottime.Now())
	}
	return p, nil
}

// sums returns what all ranks have counted since the last call, of so many experts
// a set.
func (d *delegate) sums(looks []look, experts int, now time.Time) []*fleetpb.CountSum {
	counting := make([]look, 0, len(looks))
	for _, l := range looks {
		if len(l.counts) > 0 {
			counting = append(counting, l)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return sumsProto(d.summer.sum(counting, now), experts)
}

// Spread implements fleetpb.AgentServer.
func (s *service) Spread(ctx context.Context, q *fleetpb.SpreadRequest) (*fleetpb.SpreadReply, error) {
	p := &fleetpb.SpreadReply{Replies: make([]*fleetpb.GiveReply, len(q.GetOrders()))}
	var wg sync.WaitGroup
	for i, o := range q.GetOrders() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.Replies[i] = s.handOn(ctx, q, o)
		}()
	}
	wg.Wait()
	return p, nil
}

// handOn gives one order of the leader's to the agent that it is for.
func (s *service) handOn(ctx context.Context, q *fleetpb.SpreadRequest, o *fleetpb.Addressed) *fleetpb.GiveReply {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	order := o.GetOrder()
	order.Token = q.GetToken()
	if order.GetPrepare() != nil {
		order.Order = &fleetpb.GiveRequest_Prepare{Prepare: q.GetPrepare()}
	}
	p, err := s.giveTo(ctx, memberOf(o.GetTarget()), order)
	if err != nil {
		s.ranker.Log.WithFields(logrus.Fields{"agent": o.GetTarget().GetAgent(), "cause": err.Error()}).Warn("order not handed on")
		return &fleetpb.GiveReply{Status: uint32(lockstep.Unknown)}
	}
	return p
}

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
