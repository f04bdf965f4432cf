package rank

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/rankpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// service implements the gRPC service for the other agents of the group.
type service struct {
	rankpb.UnimplementedRankServer

	runner *Runner
}

// Give implements rankpb.RankServer.
func (s *service) Give(ctx context.Context, p *rankpb.GiveRequest) (*rankpb.GiveReply, error) {
	r := s.runner
	if err := r.checkGroup(p.GetGroup()); err != nil {
		return &rankpb.GiveReply{Code: resultCode(err), Detail: err.Error()}, nil
	}
	staged, err := r.mapToStage(ctx, p.GetStage())
	if err != nil {
		return r.refusalReply(err), nil
	}
	o, err := orderFromProto(p, staged)
	if err != nil {
		return r.refusalReply(err), nil
	}
	state, err := r.handleOrder(o, time.Now())
	reply := &rankpb.GiveReply{State: stateToProto(state)}
	if err != nil {
		reply.Code, reply.Detail = resultCode(err), err.Error()
	}
	return reply, nil
}

// refusalReply returns the reply to an order that was not passed to the member.
func (r *Runner) refusalReply(err error) *rankpb.GiveReply {
	r.mu.Lock()
	state := r.member.State()
	r.mu.Unlock()
	return &rankpb.GiveReply{Code: resultCode(err), Detail: err.Error(), State: stateToProto(state)}
}

// handleOrder passes an order to the member.
func (r *Runner) handleOrder(o naming.Order, now time.Time) (naming.State, error) {
	r.mu.Lock()
	state, err := r.member.Handle(o)
	if err == nil {
		r.lastOrderAt = now
	}
	r.mu.Unlock()
	r.stats.orders.Inc(1)
	if err != nil {
		r.stats.ordersRefused.Inc(1)
	}
	r.reportChanges()
	return state, err
}

// mapToStage returns the map that a Stage order refers to: the member's own
// copy, or else that of the first listed member that provides it.
func (r *Runner) mapToStage(ctx context.Context, p *rankpb.Stage) (*expertmap.Map, error) {
	if p == nil {
		return nil, nil
	}
	ref := refFromProto(p.GetMap())
	r.mu.Lock()
	m, ok := r.member.Map(ref)
	r.mu.Unlock()
	if ok {
		return m, nil
	}
	err := error(result.Newf(result.MapMissing, "version %d", ref.Version))
	for _, i := range p.GetFrom() {
		m, err = r.fetchMap(ctx, int(i), ref)
		if err == nil {
			return m, nil
		}
	}
	return nil, err
}

// Join implements rankpb.RankServer.
func (s *service) Join(_ context.Context, p *rankpb.JoinRequest) (*rankpb.JoinReply, error) {
	r := s.runner
	if err := r.checkGroup(p.GetGroup()); err != nil {
		return &rankpb.JoinReply{Code: resultCode(err), Detail: err.Error()}, nil
	}
	r.mu.Lock()
	jr := r.member.HandleJoin(naming.Join{Member: int(p.GetMember()), Incarnation: p.GetIncarnation()})
	r.mu.Unlock()
	reply := &rankpb.JoinReply{To: jr.SenderIncarnation, Noted: jr.KnownIncarnation, State: stateToProto(jr.State)}
	for _, m := range jr.Maps {
		reply.Maps = append(reply.Maps, mapToProto(m, nil))
	}
	return reply, nil
}

// Fetch implements rankpb.RankServer.
func (s *service) Fetch(_ context.Context, p *rankpb.FetchRequest) (*rankpb.FetchReply, error) {
	r := s.runner
	if err := r.checkGroup(p.GetGroup()); err != nil {
		return &rankpb.FetchReply{Code: resultCode(err), Detail: err.Error()}, nil
	}
	r.mu.Lock()
	m, ok := r.member.Map(refFromProto(p.GetMap()))
	var base *expertmap.Map
	for _, have := range p.GetHave() {
		if b, ok := r.member.Map(refFromProto(have)); ok {
			base = b
		}
	}
	r.mu.Unlock()
	if !ok {
		return &rankpb.FetchReply{Code: int32(result.MapMissing)}, nil
	}
	return &rankpb.FetchReply{Map: mapToProto(m, base)}, nil
}

// Count implements rankpb.RankServer.
func (s *service) Count(ctx context.Context, p *rankpb.CountRequest) (*rankpb.CountReply, error) {
	r := s.runner
	if err := r.checkGroup(p.GetGroup()); err != nil {
		return &rankpb.CountReply{Code: resultCode(err), Detail: err.Error()}, nil
	}
	counts, err := r.Engine.Counts(ctx)
	if err != nil {
		return &rankpb.CountReply{Code: resultCode(err), Detail: err.Error()}, nil
	}
	reply := &rankpb.CountReply{}
	for _, c := range counts {
		reply.Layers = append(reply.Layers, uint32(c.Layer))
		reply.Experts = append(reply.Experts, uint32(c.Expert))
		reply.Counts = append(reply.Counts, float32(c.Tokens))
	}
	return reply, nil
}

func (r *Runner) checkGroup(group string) error {
	if group != r.Group {
		return result.Newf(result.MalformedMsg, "message for group %q at an agent of %q", group, r.Group)
	}
	return nil
}

// resultCode returns the result code of an error. Errors without one come from
// the engine or the network and count as EndpointFailed.
func resultCode(err error) int32 {
	if e := result.Of(err); e != nil {
		return int32(e.Code())
	}
	return int32(result.EndpointFailed)
}
