package ranker

import (
	"context"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

// look is what one look at an engine brought.
type look struct {
	state lockstep.State
	// counts and lists are nil when they were not asked for.
	counts []uint64
	lists  [][]int
	// address is the engine's IP:port.
	address string
}

// service answers the leader of the group.
type service struct {
	fleetpb.UnimplementedAgentServer

	ranker *Ranker
}

// Look implements fleetpb.AgentServer.
func (s *service) Look(ctx context.Context, q *fleetpb.LookRequest) (*fleetpb.LookReply, error) {
	l, err := lookEngine(ctx, s.ranker.engine, wanted{counts: q.GetCounts(), lists: q.GetLists()})
	if err != nil {
		return nil, err
	}
	return replyFrom(l), nil
}

// lookEngine looks at one engine.
func lookEngine(ctx context.Context, e *platform.Engine, want wanted) (look, error) {
	l := look{address: e.Addr}
	var err error
	if want.counts {
		if l.counts, err = e.Counts(ctx); err != nil {
			return l, err
		}
	}
	if want.lists {
		if l.lists, err = e.Lists(ctx); err != nil {
			return l, err
		}
	}
	l.state, err = e.State(ctx)
	return l, err
}

// Give implements fleetpb.AgentServer.
func (s *service) Give(ctx context.Context, q *fleetpb.GiveRequest) (*fleetpb.GiveReply, error) {
	d, err := directiveFrom(q)
	if err != nil {
		return nil, err
	}
	o, err := s.ranker.giveOwn(ctx, q.GetToken(), d)
	if err != nil && o != lockstep.Unknown {
		return nil, err
	}
	return &fleetpb.GiveReply{Status: uint32(o)}, nil
}

// giveOwn hands an order to the agent's own engine.
func (r *Ranker) giveOwn(ctx context.Context, token uint64, d lockstep.Directive) (lockstep.Outcome, error) {
	o, err := giveAgain(ctx, r.engine, token, d, ownTries)
	r.counts.orders.Inc(1)
	switch o {
	case lockstep.Unknown:
		r.counts.unanswered.Inc(1)
	case lockstep.Unfit, lockstep.Fenced:
		r.counts.unfit.Inc(1)
	}
	return o, err
}

func replyFrom(l look) *fleetpb.LookReply {
	s := l.state
	p := &fleetpb.LookReply{
		Group: s.Group, Epoch: s.Epoch, Rank: uint32(s.Rank), Size: uint32(s.Size), Open: s.Open,
		Step: s.Step, Sequence: s.Sequence, Busy: s.Busy, Map: s.Map, Prepared: s.Prepared,
		HasPrepared: s.HasPrepared, Running: uint32(s.Running), Queued: uint32(s.Queued), Born: s.Born,
		Counts: l.counts, Pace: uint32(100 * s.Pace),
	}
	if s.Armed != nil {
		p.Armed, p.ArmedStep, p.ArmedVersion = true, s.Armed.Step, s.Armed.Version
	}
	if s.Held != nil {
		p.Held, p.HeldStep = true, *s.Held
	}
	for _, experts := range l.lists {
		p.Lists = append(p.Lists, expertsProto(experts))
	}
	return p
}

func expertsProto(experts []int) *fleetpb.Experts {
	p := &fleetpb.Experts{Experts: make([]uint32, 0, len(experts))}
	for _, e := range experts {
		p.Experts = append(p.Experts, uint32(e))
	}
	return p
}

func expertsFrom(p *fleetpb.Experts) []int {
	out := make([]int, 0, len(p.GetExperts()))
	for _, e := range p.GetExperts() {
		out = append(out, int(e))
	}
	return out
}

func lookFrom(p *fleetpb.LookReply, address string) look {
	l := look{address: address, counts: p.GetCounts(), state: lockstep.State{
		Group: p.GetGroup(), Epoch: p.GetEpoch(), Rank: int(p.GetRank()), Size: int(p.GetSize()), Open: p.GetOpen(),
		Step: p.GetStep(), Sequence: p.GetSequence(), Busy: p.GetBusy(), Map: p.GetMap(), Prepared: p.GetPrepared(),
		HasPrepared: p.GetHasPrepared(), Running: int(p.GetRunning()), Queued: int(p.GetQueued()), Born: p.GetBorn(),
		Pace: float64(p.GetPace()) / 100,
	}}
	if p.GetArmed() {
		l.state.Armed = &lockstep.Arming{Step: p.GetArmedStep(), Version: p.GetArmedVersion()}
	}
	if p.GetHeld() {
		step := p.GetHeldStep()
		l.state.Held = &step
	}
	for _, e := range p.GetLists() {
		l.lists = append(l.lists, expertsFrom(e))
	}
	return l
}

func giveProto(token uint64, d lockstep.Directive) *fleetpb.GiveRequest {
	p := &fleetpb.GiveRequest{Token: token, Epoch: d.Epoch, Sequence: d.Sequence}
	switch o := d.Order.(type) {
	case lockstep.Fence:
		p.Order = &fleetpb.GiveRequest_Fence{Fence: &fleetpb.Fence{}}
	case lockstep.Prepare:
		m := &fleetpb.Prepare{Version: o.Version}
		for _, ranks := range o.Sets {
			set := &fleetpb.SetOfRanks{}
			for _, experts := range ranks {
				set.Ranks = append(set.Ranks, expertsProto(experts))
			}
			m.Sets = append(m.Sets, set)
		}
		p.Order = &fleetpb.GiveRequest_Prepare{Prepare: m}
	case lockstep.Arm:
		p.Order = &fleetpb.GiveRequest_Arm{Arm: &fleetpb.Arm{Version: o.Version, Step: o.Step}}
	case lockstep.Disarm:
		p.Order = &fleetpb.GiveRequest_Disarm{Disarm: &fleetpb.Disarm{Version: o.Version}}
	case lockstep.Hold:
		p.Order = &fleetpb.GiveRequest_Hold{Hold: &fleetpb.Hold{Step: o.Step}}
	case lockstep.Go:
		p.Order = &fleetpb.GiveRequest_Go{Go: &fleetpb.Go{Step: o.Step}}
	}
	return p
}

func directiveFrom(p *fleetpb.GiveRequest) (lockstep.Directive, error) {
	d := lockstep.Directive{Epoch: p.GetEpoch(), Sequence: p.GetSequence()}
	switch o := p.GetOrder().(type) {
	case *fleetpb.GiveRequest_Fence:
		d.Order = lockstep.Fence{}
	case *fleetpb.GiveRequest_Prepare:
		order := lockstep.Prepare{Version: o.Prepare.GetVersion()}
		for _, set := range o.Prepare.GetSets() {
			ranks := make([][]int, 0, len(set.GetRanks()))
			for _, experts := range set.GetRanks() {
				ranks = append(ranks, expertsFrom(experts))
			}
			order.Sets = append(order.Sets, ranks)
		}
		d.Order = order
	case *fleetpb.GiveRequest_Arm:
		d.Order = lockstep.Arm{Version: o.Arm.GetVersion(), Step: o.Arm.GetStep()}
	case *fleetpb.GiveRequest_Disarm:
		d.Order = lockstep.Disarm{Version: o.Disarm.GetVersion()}
	case *fleetpb.GiveRequest_Hold:
		d.Order = lockstep.Hold{Step: o.Hold.GetStep()}
	case *fleetpb.GiveRequest_Go:
		d.Order = lockstep.Go{Step: o.Go.GetStep()}
	default:
		return d, result.New(result.MalformedMsg, "an order of an unknown kind")
	}
	return d, nil
}
