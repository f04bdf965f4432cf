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

// mostFollows bounds how many orders follow one another without a look: hold,
// arms in three parts, go.
const mostFollows = 5

// prepareTimeout bounds a call that hands a map on.
const prepareTimeout = 600 * time.Millisecond

// giveAndFollow hands orders to their ranks, and those that next decides as long
// as each was answered as done: then the ranks' state is known without another
// look, and a held step goes on some milliseconds sooner.
func (t *term) giveAndFollow(
	ctx context.Context, directives []lockstep.Directive, ranks []lockstep.State, byRank []found,
	next func(now time.Time) []lockstep.Directive,
) {
	for range mostFollows {
		outcomes := t.giveAll(ctx, directives, byRank)
		for i, d := range directives {
			if outcomes[i] != lockstep.Already || !lockstep.Apply(&ranks[d.Rank], d.Order) {
				return
			}
		}
		directives = next(boottime.Now())
		if len(directives) == 0 {
			return
		}
	}
}

// giveAll hands orders to their ranks: those that were seen through a delegate
// through that one, and the others one by one.
func (t *term) giveAll(ctx context.Context, directives []lockstep.Directive, byRank []found) []lockstep.Outcome {
	t.tellMap(directives)
	outcomes := make([]lockstep.Outcome, len(directives))
	byDelegate := map[string][]int{}
	var parts []func()
	for i, d := range directives {
		to := byRank[d.Rank]
		if to.via != nil && !stepOrder(d.Order) {
			byDelegate[to.via.Name] = append(byDelegate[to.via.Name], i)
			continue
		}
		parts = append(parts, func() { outcomes[i] = t.give(ctx, d, to) })
	}
	for _, bunch := range byDelegate {
		parts = append(parts, func() { t.giveBunch(ctx, bunch, directives, byRank, outcomes) })
	}
	together(len(parts), func(i int) { parts[i]() })
	now := boottime.Now()
	for i, d := range directives {
		t.leader.Answered(d, outcomes[i], now)
	}
	return outcomes
}

// giveBunch hands the directives of some indices to their ranks through the
// delegate that they were seen through, and notes the outcomes.
func (t *term) giveBunch(
	ctx context.Context, bunch []int, directives []lockstep.Directive, byRank []found, outcomes []lockstep.Outcome,
) {
	if !t.mayGive(boottime.Now()) {
		return
	}
	via := byRank[directives[bunch[0]].Rank].via
	q := &fleetpb.SpreadRequest{Token: t.token}
	for _, i := range bunch {
		d := directives[i]
		if _, ok := d.Order.(lockstep.Prepare); ok {
			q.Prepare = t.prepare
		}
		q.Orders = append(q.Orders, addressed(d, byRank[d.Rank]))
	}
	replies, err := t.spread(ctx, via, q)
	if err != nil {
		t.tree.Failed(via.Name, boottime.Now())
		t.logSilentDelegate(via.Name, err)
		return
	}
	for n, i := range bunch {
		d, to := directives[i], byRank[directives[i].Rank]
		if replies[n].GetUnknownBase() {
			outcomes[i] = t.give(ctx, d, to)
			continue
		}
		outcomes[i] = lockstep.Outcome(replies[n].GetStatus())
		t.logGiven(d, outcomes[i], nil)
	}
}

// addressed is an order for a rank that was seen through a delegate.
func addressed(d lockstep.Directive, to found) *fleetpb.Addressed {
	a := &fleetpb.Addressed{Order: giveProto(0, d, &fleetpb.Prepare{}), Direct: to.agent == nil}
	if a.Direct {
		a.Target = &fleetpb.Target{Endpoint: to.address}
	} else {
		a.Target = targetOf(to.agent)
	}
	return a
}

// orderTimeout bounds a call that hands orders on. One to prepare a map is larger
// than others and holds nothing up.
func orderTimeout(prepare bool) time.Duration {
	if prepare {
		return prepareTimeout
	}
	return callTimeout
}

// spread has a delegate hand orders on. It returns a reply for each.
func (t *term) spread(ctx context.Context, via *fleet.Member, q *fleetpb.SpreadRequest) ([]*fleetpb.GiveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout(q.GetPrepare() != nil))
	defer cancel()
	conn, err := t.ranker.conns.Get(via.Address)
	if err != nil {
		return nil, err
	}
	p, err := fleetpb.NewAgentClient(conn).Spread(ctx, q)
	if err != nil {
		return nil, err
	}
	if len(p.GetReplies()) != len(q.GetOrders()) {
		return nil, result.Newf(result.MalformedMsg, "%d replies to %d orders", len(p.GetReplies()), len(q.GetOrders()))
	}
	return p.GetReplies(), nil
}

// tellMap makes the message of the map that ranks are to prepare, the same for all.
func (t *term) tellMap(directives []lockstep.Directive) {
	for _, d := range directives {
		if p, ok := d.Order.(lockstep.Prepare); ok {
			t.prepare, t.prepared = prepareProto(p, t.leader.InForce()), p.Sets
			return
		}
	}
}

func (t *term) give(ctx context.Context, d lockstep.Directive, to found) lockstep.Outcome {
	if !t.mayGive(boottime.Now()) {
		return lockstep.Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := t.send(ctx, d, to)
	t.logGiven(d, o, err)
	return o
}

// mayGive reports whether orders may still be given. A leader that was frozen may
// have decided them before another took over.
func (t *term) mayGive(now time.Time) bool {
	return t.ranker.Settings.FencingChecked || now.Before(t.until)
}

// logGiven tells what became of an order. One line tells of a map as a whole.
func (t *term) logGiven(d lockstep.Directive, o lockstep.Outcome, err error) {
	if _, ok := d.Order.(lockstep.Prepare); ok && o == lockstep.Begun {
		return
	}
	f := logrus.Fields{"group": t.group, "rank": d.Rank, "epoch": d.Epoch, "sequence": d.Sequence, "outcome": o.String()}
	describe(f, d.Order)
	if err != nil {
		f["cause"] = err.Error()
	}
	t.ranker.Log.WithFields(f).Info("order given")
}

func (t *term) send(ctx context.Context, d lockstep.Directive, to found) (lockstep.Outcome, error) {
	r := t.ranker
	switch {
	case to.agent == nil || stepOrder(d.Order):
		return giveAgain(ctx, t.looker.engineAt(to.address), t.token, d, t.tries)
	case to.agent.Name == r.Settings.Name:
		return r.giveOwn(ctx, t.token, d)
	}
	conn, err := r.conns.Get(to.agent.Address)
	if err != nil {
		return lockstep.Unknown, err
	}
	agent := fleetpb.NewAgentClient(conn)
	p, err := agent.Give(ctx, giveProto(t.token, d, t.prepare))
	if err == nil && p.GetUnknownBase() {
		whole := &fleetpb.Prepare{Version: t.prepare.GetVersion(), Sets: setsProto(t.prepared)}
		p, err = agent.Give(ctx, giveProto(t.token, d, whole))
	}
	if err != nil {
		return lockstep.Unknown, err
	}
	return lockstep.Outcome(p.GetStatus()), nil
}

// stepOrder reports whether an order holds a step or lets it go. These go to the
// engine directly: the agent on the way may be the one whose VM freezes, and
// then nobody would reach the rank that holds the group.
func stepOrder(o lockstep.Order) bool {
	switch o.(type) {
	case lockstep.Hold, lockstep.Go:
		return true
	default:
		return false
	}
}

// describe adds what an order says.
func describe(f logrus.Fields, o lockstep.Order) {
	switch o := o.(type) {
	case lockstep.Fence:
		f["order"] = "fence"
	case lockstep.Prepare:
		f["order"], f["map"] = "prepare", o.Version
	case lockstep.Arm:
		f["order"], f["map"], f["step"] = "arm", o.Version, o.Step
	case lockstep.Disarm:
		f["order"], f["map"] = "disarm", o.Version
	case lockstep.Hold:
		f["order"], f["step"] = "hold", o.Step
	case lockstep.Go:
		f["order"], f["step"] = "go", o.Step
	}
}
