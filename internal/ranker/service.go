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

// engineReport is the result of one poll of an engine.
type engineReport struct {
	state lockstep.State
	// counts and lists are nil when the poll did not ask for them.
	counts []uint64
	lists  [][]int
	// sums holds the counts since the last poll, if the poll asked for them.
	sums []*fleetpb.CountSum
	// address is the engine's IP:port.
	address string
}

// service implements the gRPC service that the group's leader and delegates call.
type service struct {
	fleetpb.UnimplementedAgentServer

	ranker *Ranker
}

// Look implements fleetpb.AgentServer.
func (s *service) Look(ctx context.Context, req *fleetpb.LookRequest) (*fleetpb.LookReply, error) {
	s.ranker.noteLeader(req.GetLeader(), boottime.Now())
	opts := pollOptions{counts: req.GetCounts(), experts: int(req.GetExperts()), lists: req.GetLists()}
	report, err := queryEngine(ctx, s.ranker.engine, opts)
	if err != nil {
		return nil, err
	}
	resp := lookReplyProto(report)
	switch {
	case opts.experts > 0:
		resp.Sums = s.ranker.localSums(report, opts.experts, boottime.Now())
	case opts.counts:
		s.ranker.countHistory.encode(resp, report.counts, req.GetCounted())
	}
	return resp, nil
}

// localSums returns what the agent's own engine has counted since the previous call,
// for sets of the given number of experts.
func (r *Ranker) localSums(report engineReport, experts int, now time.Time) []*fleetpb.CountSum {
	return sumsProto(r.recentCounts.sinceLast(report, now), experts, rankLevelBits)
}

// queryEngine reads the state of one engine, and its counts and expert lists if opts
// asks for them.
func queryEngine(ctx context.Context, e *platform.Engine, opts pollOptions) (engineReport, error) {
	report := engineReport{address: e.Addr}
	var err error
	if opts.counts || opts.experts > 0 {
		if report.counts, err = e.Counts(ctx); err != nil {
			return report, err
		}
	}
	if opts.lists {
		if report.lists, err = e.Lists(ctx); err != nil {
			return report, err
		}
	}
	report.state, err = e.State(ctx)
	return report, err
}

// Give implements fleetpb.AgentServer.
func (s *service) Give(ctx context.Context, req *fleetpb.GiveRequest) (*fleetpb.GiveReply, error) {
	ao, known, err := s.decodeOrder(req)
	if err != nil {
		return nil, err
	}
	if !known {
		return &fleetpb.GiveReply{UnknownBase: true}, nil
	}
	o, err := s.ranker.giveLocal(ctx, req.GetToken(), ao)
	if err != nil && o != lockstep.Unknown {
		return nil, err
	}
	return &fleetpb.GiveReply{Status: uint32(o)}, nil
}

// decodeOrder decodes an order. known is false when the order's map is encoded as
// changes to a map that this agent does not have, or that do not yield the leader's
// map.
func (s *service) decodeOrder(req *fleetpb.GiveRequest) (ao lockstep.AddressedOrder, known bool, err error) {
	if ao, err = addressedOrderFromProto(req); err != nil {
		return ao, false, err
	}
	prepare := req.GetPrepare()
	if prepare == nil {
		return ao, true, nil
	}
	sets, ok := s.ranker.mapCache.decode(prepare)
	ao.Order = lockstep.Prepare{Version: prepare.GetVersion(), Sets: sets}
	return ao, ok, nil
}

// giveLocal delivers an order to the agent's own engine.
func (r *Ranker) giveLocal(ctx context.Context, token uint64, ao lockstep.AddressedOrder) (lockstep.Outcome, error) {
	if p, ok := ao.Order.(lockstep.Prepare); ok {
		r.mapCache.add(p.Version, p.Sets)
	}
	o, err := giveWithRetries(ctx, r.engine, token, ao, localRetries)
	r.counters.orders.Inc(1)
	switch o {
	case lockstep.Unknown:
		r.counters.unanswered.Inc(1)
	case lockstep.Rejected, lockstep.Fenced:
		r.counters.rejected.Inc(1)
	}
	return o, err
}

// Lead implements fleetpb.AgentServer.
func (s *service) Lead(context.Context, *fleetpb.LeadRequest) (*fleetpb.LeadReply, error) {
	return &fleetpb.LeadReply{Token: s.ranker.leadToken.Load()}, nil
}

func lookReplyProto(report engineReport) *fleetpb.LookReply {
	s := report.state
	resp := &fleetpb.LookReply{
		Group: s.Group, Epoch: s.Epoch, Rank: uint32(s.Rank), Size: uint32(s.Size), Open: s.Accepting,
		Step: s.Step, Sequence: s.Sequence, Busy: s.Busy, Map: s.Map, Prepared: s.Prepared,
		HasPrepared: s.HasPrepared, Running: uint32(s.Running), Queued: uint32(s.Queued), Born: s.StartMillis,
		Pace: uint32(100 * s.Slowdown),
	}
	if s.Armed != nil {
		resp.Armed, resp.ArmedStep, resp.ArmedVersion = true, s.Armed.Step, s.Armed.Version
	}
	if s.Held != nil {
		resp.Held, resp.HeldStep = true, *s.Held
	}
	for _, experts := range report.lists {
		resp.Lists = append(resp.Lists, &fleetpb.Experts{Experts: toUint32s(experts)})
	}
	return resp
}

func reportFromProto(resp *fleetpb.LookReply, address string) engineReport {
	report := engineReport{address: address, sums: resp.GetSums(), state: lockstep.State{
		Group: resp.GetGroup(), Epoch: resp.GetEpoch(), Rank: int(resp.GetRank()), Size: int(resp.GetSize()), Accepting: resp.GetOpen(),
		Step: resp.GetStep(), Sequence: resp.GetSequence(), Busy: resp.GetBusy(), Map: resp.GetMap(), Prepared: resp.GetPrepared(),
		HasPrepared: resp.GetHasPrepared(), Running: int(resp.GetRunning()), Queued: int(resp.GetQueued()), StartMillis: resp.GetBorn(),
		Slowdown: float64(resp.GetPace()) / 100,
	}}
	if resp.GetArmed() {
		report.state.Armed = &lockstep.ArmedMap{Step: resp.GetArmedStep(), Version: resp.GetArmedVersion()}
	}
	if resp.GetHeld() {
		step := resp.GetHeldStep()
		report.state.Held = &step
	}
	for _, e := range resp.GetLists() {
		report.lists = append(report.lists, toInts(e.GetExperts()))
	}
	return report
}

// giveRequestProto encodes an order. prepare is the encoded map of a Prepare order,
// see prepareProto.
func giveRequestProto(token uint64, ao lockstep.AddressedOrder, prepare *fleetpb.Prepare) *fleetpb.GiveRequest {
	req := &fleetpb.GiveRequest{Token: token, Epoch: ao.Epoch, Sequence: ao.Sequence}
	switch o := ao.Order.(type) {
	case lockstep.Fence:
		req.Order = &fleetpb.GiveRequest_Fence{Fence: &fleetpb.Fence{}}
	case lockstep.Prepare:
		req.Order = &fleetpb.GiveRequest_Prepare{Prepare: prepare}
	case lockstep.Arm:
		req.Order = &fleetpb.GiveRequest_Arm{Arm: &fleetpb.Arm{Version: o.Version, Step: o.Step}}
	case lockstep.Disarm:
		req.Order = &fleetpb.GiveRequest_Disarm{Disarm: &fleetpb.Disarm{Version: o.Version}}
	case lockstep.Hold:
		req.Order = &fleetpb.GiveRequest_Hold{Hold: &fleetpb.Hold{Step: o.Step}}
	case lockstep.Release:
		req.Order = &fleetpb.GiveRequest_Go{Go: &fleetpb.Go{Step: o.Step}}
	}
	return req
}

// addressedOrderFromProto decodes an order except for the map of a Prepare. It
// returns an error for an order of unknown kind.
func addressedOrderFromProto(req *fleetpb.GiveRequest) (lockstep.AddressedOrder, error) {
	ao := lockstep.AddressedOrder{Epoch: req.GetEpoch(), Sequence: req.GetSequence()}
	switch o := req.GetOrder().(type) {
	case *fleetpb.GiveRequest_Fence:
		ao.Order = lockstep.Fence{}
	case *fleetpb.GiveRequest_Prepare:
		// decodeOrder decodes the map, which may be encoded as changes.
	case *fleetpb.GiveRequest_Arm:
		ao.Order = lockstep.Arm{Version: o.Arm.GetVersion(), Step: o.Arm.GetStep()}
	case *fleetpb.GiveRequest_Disarm:
		ao.Order = lockstep.Disarm{Version: o.Disarm.GetVersion()}
	case *fleetpb.GiveRequest_Hold:
		ao.Order = lockstep.Hold{Step: o.Hold.GetStep()}
	case *fleetpb.GiveRequest_Go:
		ao.Order = lockstep.Release{Step: o.Go.GetStep()}
	default:
		return ao, result.New(result.MalformedMsg, "an order of an unknown kind")
	}
	return ao, nil
}
