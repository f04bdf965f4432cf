package ranker

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxFollowUps bounds how many batches of orders are given without a poll in between:
// hold, arm in three parts, release.
const maxFollowUps = 5

// prepareTimeout bounds a call that has a delegate deliver a map.
const prepareTimeout = 600 * time.Millisecond

// giveAndContinue delivers orders to their ranks, then those that next returns, as
// long as every order is answered as carried out, which is the outcome Done. The
// ranks' states are then known without another poll, and a held step is released some
// milliseconds sooner.
func (t *term) giveAndContinue(
	ctx context.Context, orders []lockstep.AddressedOrder, ranks []lockstep.State, byRank []rankReport,
	next func(now time.Time) []lockstep.AddressedOrder,
) {
	for range maxFollowUps {
		outcomes := t.giveAll(ctx, orders, byRank)
		for i, ao := range orders {
			if outcomes[i] != lockstep.Done || !lockstep.Apply(&ranks[ao.Rank], ao.Order) {
				return
			}
		}
		orders = next(boottime.Now())
		if len(orders) == 0 {
			return
		}
	}
}

// giveAll delivers orders to their ranks: through the delegate by which the rank was
// polled, or else one by one. It returns the outcome of each order.
func (t *term) giveAll(ctx context.Context, orders []lockstep.AddressedOrder, byRank []rankReport) []lockstep.Outcome {
	t.setPrepare(orders)
	outcomes := make([]lockstep.Outcome, len(orders))
	byDelegate := map[string][]int{}
	var calls []func()
	for i, ao := range orders {
		target := byRank[ao.Rank]
		if target.delegate != nil && !isStepOrder(ao.Order) {
			byDelegate[target.delegate.Name] = append(byDelegate[target.delegate.Name], i)
			continue
		}
		calls = append(calls, func() { outcomes[i] = t.giveOrder(ctx, ao, target) })
	}
	for _, indices := range byDelegate {
		calls = append(calls, func() { t.giveToSubgroup(ctx, indices, orders, byRank, outcomes) })
	}
	parallel(len(calls), func(i int) { calls[i]() })
	now := boottime.Now()
	for i, ao := range orders {
		t.leader.RecordOutcome(ao, outcomes[i], now)
	}
	return outcomes
}

// giveToSubgroup delivers the orders with the given indices through the delegate
// by which their ranks were polled, and stores the outcomes under the same indices.
func (t *term) giveToSubgroup(
	ctx context.Context, indices []int, orders []lockstep.AddressedOrder, byRank []rankReport, outcomes []lockstep.Outcome,
) {
	if !t.mayGive(boottime.Now()) {
		return
	}
	delegate := byRank[orders[indices[0]].Rank].delegate
	req := &fleetpb.SpreadRequest{Token: t.token}
	for _, i := range indices {
		ao := orders[i]
		if _, ok := ao.Order.(lockstep.Prepare); ok {
			req.Prepare = t.prepareMsg
		}
		req.Orders = append(req.Orders, addressedProto(ao, byRank[ao.Rank]))
	}
	replies, err := t.callSpread(ctx, delegate, req)
	if err != nil {
		t.tree.NoteFailure(delegate.Name, boottime.Now())
		t.logDelegateFailure(delegate.Name, err)
		return
	}
	for k, i := range indices {
		ao, target := orders[i], byRank[orders[i].Rank]
		if replies[k].GetUnknownBase() {
			outcomes[i] = t.giveOrder(ctx, ao, target)
			continue
		}
		outcomes[i] = lockstep.Outcome(replies[k].GetStatus())
		t.logOrder(ao, outcomes[i], nil)
	}
}

// addressedProto encodes an order for a rank that was polled through a delegate. The
// fencing token and the map of a Prepare are left out, because the SpreadRequest has
// them once for all orders.
func addressedProto(ao lockstep.AddressedOrder, target rankReport) *fleetpb.Addressed {
	order := &fleetpb.Addressed{Order: giveRequestProto(0, ao, &fleetpb.Prepare{}), Direct: target.agent == nil}
	if order.Direct {
		order.Target = &fleetpb.Target{Endpoint: target.address}
	} else {
		order.Target = targetProto(target.agent)
	}
	return order
}

// orderTimeout bounds a call that delivers orders. A Prepare is larger than other
// orders and is usually sent before a step is held, so it may take longer.
func orderTimeout(prepare bool) time.Duration {
	if prepare {
		return prepareTimeout
	}
	return agentCallTimeout
}

// callSpread has a delegate deliver orders and returns one reply for each.
func (t *term) callSpread(ctx context.Context, delegate *fleet.Member, req *fleetpb.SpreadRequest) ([]*fleetpb.GiveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout(req.GetPrepare() != nil))
	defer cancel()
	conn, err := t.ranker.conns.Get(delegate.Address)
	if err != nil {
		return nil, err
	}
	resp, err := fleetpb.NewAgentClient(conn).Spread(ctx, req)
	if err != nil {
		return nil, err
	}
	if len(resp.GetReplies()) != len(req.GetOrders()) {
		return nil, result.Newf(result.MalformedMsg, "%d replies to %d orders", len(resp.GetReplies()), len(req.GetOrders()))
	}
	return resp.GetReplies(), nil
}

// setPrepare encodes the map that ranks are to prepare, which is the same for all
// ranks.
func (t *term) setPrepare(orders []lockstep.AddressedOrder) {
	for _, ao := range orders {
		if p, ok := ao.Order.(lockstep.Prepare); ok {
			t.prepareMsg, t.preparedSets = prepareProto(p, t.leader.InForce()), p.Sets
			return
		}
	}
}

func (t *term) giveOrder(ctx context.Context, ao lockstep.AddressedOrder, target rankReport) lockstep.Outcome {
	if !t.mayGive(boottime.Now()) {
		return lockstep.Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	o, err := t.send(ctx, ao, target)
	t.logOrder(ao, o, err)
	return o
}

// mayGive reports whether the term still allows orders to be given. A leader whose VM
// was frozen may have decided on them before another agent took over; unless engines
// check fencing tokens, such orders must not be sent after the lease has lapsed.
func (t *term) mayGive(now time.Time) bool {
	return t.ranker.Settings.FencingChecked || now.Before(t.leaseUntil)
}

// logOrder logs the outcome of an order. A Prepare that an engine has accepted is left
// out, because the proposal of a map is logged once for all ranks.
func (t *term) logOrder(ao lockstep.AddressedOrder, o lockstep.Outcome, err error) {
	if _, ok := ao.Order.(lockstep.Prepare); ok && o == lockstep.Accepted {
		return
	}
	fields := logrus.Fields{"group": t.group, "rank": ao.Rank, "epoch": ao.Epoch, "sequence": ao.Sequence, "outcome": o.String()}
	addOrderFields(fields, ao.Order)
	if err != nil {
		fields["cause"] = err.Error()
	}
	t.ranker.Log.WithFields(fields).Info("order given")
}

func (t *term) send(ctx context.Context, ao lockstep.AddressedOrder, target rankReport) (lockstep.Outcome, error) {
	r := t.ranker
	switch {
	case target.agent == nil || isStepOrder(ao.Order):
		return giveWithRetries(ctx, t.poller.engineAt(target.address), t.token, ao, t.retries)
	case target.agent.Name == r.Settings.Name:
		return r.giveLocal(ctx, t.token, ao)
	}
	conn, err := r.conns.Get(target.agent.Address)
	if err != nil {
		return lockstep.Unknown, err
	}
	agent := fleetpb.NewAgentClient(conn)
	resp, err := agent.Give(ctx, giveRequestProto(t.token, ao, t.prepareMsg))
	if err == nil && resp.GetUnknownBase() {
		full := &fleetpb.Prepare{Version: t.prepareMsg.GetVersion(), Sets: setsProto(t.preparedSets)}
		resp, err = agent.Give(ctx, giveRequestProto(t.token, ao, full))
	}
	if err != nil {
		return lockstep.Unknown, err
	}
	return lockstep.Outcome(resp.GetStatus()), nil
}

// isStepOrder reports whether an order holds or releases a step. Such orders go to
// the engine directly: the VM of the agent in between may freeze, and then the rank
// that holds up the group would be out of reach.
func isStepOrder(o lockstep.Order) bool {
	switch o.(type) {
	case lockstep.Hold, lockstep.Release:
		return true
	default:
		return false
	}
}

// addOrderFields adds the contents of an order to the fields of a log line.
func addOrderFields(fields logrus.Fields, o lockstep.Order) {
	switch o := o.(type) {
	case lockstep.Fence:
		fields["order"] = "fence"
	case lockstep.Prepare:
		fields["order"], fields["map"] = "prepare", o.Version
	case lockstep.Arm:
		fields["order"], fields["map"], fields["step"] = "arm", o.Version, o.Step
	case lockstep.Disarm:
		fields["order"], fields["map"] = "disarm", o.Version
	case lockstep.Hold:
		fields["order"], fields["step"] = "hold", o.Step
	case lockstep.Release:
		fields["order"], fields["step"] = "go", o.Step
	}
}
