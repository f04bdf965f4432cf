package ranker

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
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
	// sums is what was counted since the last look, if it was asked for.
	sums []*fleetpb.CountSum
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
	s.ranker.heardOf(q.GetLeader(), boottime.Now())
	want := wanted{counts: q.GetCounts(), experts: int(q.GetExperts()), lists: q.GetLists()}
	l, err := lookEngine(ctx, s.ranker.engine, want)
	if err != nil {
		return nil, err
	}
	p := replyFrom(l)
	switch {
	case want.experts > 0:
		p.Sums = s.ranker.ownSums(l, want.experts, boottime.Now())
	case want.counts:
		s.ranker.told.tell(p, l.counts, q.GetCounted())
	}
	return p, nil
}

// ownSums tells what the own engine has counted since the last time.
func (r *Ranker) ownSums(l look, experts int, now time.Time) []*fleetpb.CountSum {
	return sumsProto(r.recent.tell(l, now), experts, rankBits)
}

// lookEngine looks at one engine.
func lookEngine(ctx context.Context, e *platform.Engine, want wanted) (look, error) {
	l := look{address: e.Addr}
	var err error
	if want.counts || want.experts > 0 {
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
	d, known, err := s.read(q)
	if err != nil {
		return nil, err
	}
	if !known {
		return &fleetpb.GiveReply{UnknownBase: true}, nil
	}
	o, err := s.ranker.giveOwn(ctx, q.GetToken(), d)
	if err != nil && o != lockstep.Unknown {
		return nil, err
	}
	return &fleetpb.GiveReply{Status: uint32(o)}, nil
}

// read reads an order. It reports false for a map that is told by changes of one
// that isn't known.
func (s *service) read(q *fleetpb.GiveRequest) (d lockstep.Directive, known bool, err error) {
	if d, err = directiveFrom(q); err != nil {
		return d, false, err
	}
	p := q.GetPrepare()
	if p == nil {
		return d, true, nil
	}
	sets, ok := s.ranker.maps.read(p)
	d.Order = lockstep.Prepare{Version: p.GetVersion(), Sets: sets}
	return d, ok, nil
}

// giveOwn hands an order to the agent's own engine.
func (r *Ranker) giveOwn(ctx context.Context, token uint64, d lockstep.Directive) (lockstep.Outcome, error) {
	if p, ok := d.Order.(lockstep.Prepare); ok {
		r.maps.keep(p.Version, p.Sets)
	}
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
		Pace: uint32(100 * s.Pace),
	}
	if s.Armed != nil {
		p.Armed, p.ArmedStep, p.ArmedVersion = true, s.Armed.Step, s.Armed.Version
	}
	if s.Held != nil {
		p.Held, p.HeldStep = true, *s.Held
	}
	for _, experts := range l.lists {
		p.Lists = append(p.Lists, &fleetpb.Experts{Experts: uints(experts)})
	}
	return p
}

func lookFrom(p *fleetpb.LookReply, address string) look {
	l := look{address: address, sums: p.GetSums(), state: lockstep.State{
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
		l.lists = append(l.lists, ints(e.GetExperts()))
	}
	return l
}

// giveProto is the message of an order; m is that of a Prepare, see prepareProto.
func giveProto(token uint64, d lockstep.Directive, m *fleetpb.Prepare) *fleetpb.GiveRequest {
	p := &fleetpb.GiveRequest{Token: token, Epoch: d.Epoch, Sequence: d.Sequence}
	switch o := d.Order.(type) {
	case lockstep.Fence:
		p.Order = &fleetpb.GiveRequest_Fence{Fence: &fleetpb.Fence{}}
	case lockstep.Prepare:
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

// directiveFrom reads an order but for the map of a Prepare.
func directiveFrom(p *fleetpb.GiveRequest) (lockstep.Directive, error) {
	d := lockstep.Directive{Epoch: p.GetEpoch(), Sequence: p.GetSequence()}
	switch o := p.GetOrder().(type) {
	case *fleetpb.GiveRequest_Fence:
		d.Order = lockstep.Fence{}
	case *fleetpb.GiveRequest_Prepare:
		// The caller reads the map, which may be told by changes.
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
