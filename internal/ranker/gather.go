package ranker

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// lookBunch looks at the engines of a bunch of agents through its delegate, and
// through another one when that does not answer.
func (t *term) lookBunch(ctx context.Context, b fanout.Bunch, byName map[string]*fleet.Member, want wanted) []found {
	if len(b) == 1 {
		return t.lookOne(ctx, byName[b[0]], want)
	}
	targets := make([]*fleet.Member, 0, len(b))
	for _, name := range b {
		targets = append(targets, byName[name])
	}
	for range delegatesTried {
		delegate := byName[t.tree.Delegate(b)]
		out, err := t.gather(ctx, delegate, targets, want)
		if err == nil {
			return out
		}
		t.delegateFailed(delegate, err)
	}
	return nil
}

// delegateFailed notes that a delegate did not answer.
func (t *term) delegateFailed(m *fleet.Member, err error) {
	t.tree.Failed(m.Name, boottime.Now())
	t.ranker.conns.DropSilent(m.Address)
	t.ranker.Log.WithFields(logrus.Fields{"dependency": "agent", "agent": m.Name, "cause": err.Error()}).Warn("delegate does not answer")
}

// gather has a delegate look at the engines of some agents.
func (t *term) gather(ctx context.Context, delegate *fleet.Member, targets []*fleet.Member, want wanted) ([]found, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := t.ranker.conns.Get(delegate.Address)
	if err != nil {
		return nil, err
	}
	q := gatherRequest(targets)
	q.Lists, q.Leader = want.lists, want.leader
	if want.counts {
		q.Experts = uint32(t.engine.Experts.Count)
	}
	told := q.Targets
	if t.known.Knows(delegate.Name, q.List) {
		q.Targets = nil
	}
	asked := boottime.Now()
	agent := fleetpb.NewAgentClient(conn)
	p, err := agent.Gather(ctx, q)
	if err == nil && p.GetUnknownList() {
		q.Targets = told
		p, err = agent.Gather(ctx, q)
	}
	if err != nil {
		t.known.Forget(delegate.Name)
		return nil, err
	}
	t.takeSums(p.GetSums())
	return t.foundBy(delegate, targets, p, asked), nil
}

// gatherRequest asks for the states of targets.
func gatherRequest(targets []*fleet.Member) *fleetpb.GatherRequest {
	q := &fleetpb.GatherRequest{}
	for _, m := range targets {
		q.Targets = append(q.Targets, targetOf(m))
	}
	q.List = fleet.ListName(q.Targets)
	return q
}

// foundBy returns the looks that a delegate tells, and logs which are missing.
func (t *term) foundBy(delegate *fleet.Member, targets []*fleet.Member, p *fleetpb.GatherReply, asked time.Time) []found {
	out := make([]found, 0, len(targets))
	seen := make([]bool, len(targets))
	for _, g := range p.GetGathered() {
		i := int(g.GetTarget())
		if i >= len(targets) || g.GetLook() == nil || seen[i] {
			continue
		}
		seen[i] = true
		f := found{look: lookFrom(g.GetLook(), targets[i].Endpoint), via: delegate}
		f.state.AsOf = asked
		if !g.GetDirect() {
			f.agent = targets[i]
		}
		out = append(out, t.dated(f))
	}
	for i, ok := range seen {
		if !ok {
			t.ranker.Log.WithFields(logrus.Fields{"agent": targets[i].Name, "delegate": delegate.Name}).Warn("rank not seen")
		}
	}
	return out
}

// takeSums keeps what a delegate has counted until it is planned by.
func (t *term) takeSums(sums []*fleetpb.CountSum) {
	if t.engine == nil || len(sums) == 0 {
		return
	}
	counts, ok := countsFrom(sums, t.engine.Experts.Count)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sums = append(t.sums, counts)
}

// takenSums returns the sums that came since the last call.
func (t *term) takenSums() [][]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.sums
	t.sums = nil
	return out
}

func targetOf(m *fleet.Member) *fleetpb.Target {
	return &fleetpb.Target{Agent: m.Name, Address: m.Address, Endpoint: m.Endpoint}
}

func memberOf(t *fleetpb.Target) *fleet.Member {
	return &fleet.Member{Kind: fleet.Agent, Name: t.GetAgent(), Address: t.GetAddress(), Endpoint: t.GetEndpoint()}
}
