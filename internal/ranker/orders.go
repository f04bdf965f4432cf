package ranker

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

// mostFollows bounds how many orders follow one another without a look: hold,
// arms in three parts, go.
const mostFollows = 5

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

// giveAll hands orders to their ranks.
func (t *term) giveAll(ctx context.Context, directives []lockstep.Directive, byRank []found) []lockstep.Outcome {
	t.tellMap(directives)
	outcomes := make([]lockstep.Outcome, len(directives))
	var wg sync.WaitGroup
	for i, d := range directives {
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = t.give(ctx, d, byRank[d.Rank])
		}()
	}
	wg.Wait()
	now := boottime.Now()
	for i, d := range directives {
		t.leader.Answered(d, outcomes[i], now)
	}
	return outcomes
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
	// A leader that was frozen may have decided this before another took over.
	if !t.ranker.Settings.FencingChecked && !boottime.Now().Before(t.until) {
		return lockstep.Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := t.send(ctx, d, to)
	f := logrus.Fields{"group": t.group, "rank": d.Rank, "epoch": d.Epoch, "sequence": d.Sequence, "outcome": o.String()}
	describe(f, d.Order)
	if err != nil {
		f["cause"] = err.Error()
	}
	if _, ok := d.Order.(lockstep.Prepare); ok && o == lockstep.Begun {
		return o // one line tells of the map as a whole
	}
	t.ranker.Log.WithFields(f).Info("order given")
	return o
}

func (t *term) send(ctx context.Context, d lockstep.Directive, to found) (lockstep.Outcome, error) {
	r := t.ranker
	switch {
	case to.agent == nil || stepOrder(d.Order):
		return giveAgain(ctx, t.engineAt(to.address), t.token, d, t.tries)
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
