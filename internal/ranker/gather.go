package ranker

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// lookBunches looks at the engines of bunches of agents through their delegates, and
// through other ones where these do not answer.
//
// Guard: when most delegates are silent at once, it is the leader's own way that is
// full or cut. Others would not be reached either, and each has its connections to
// open first; so nothing is concluded from that.
func (t *term) lookBunches(ctx context.Context, bunches []fanout.Bunch, wants []wanted) []found {
	looks := make([][]found, len(bunches))
	failed := make([]error, len(bunches))
	asked := make([]fleet.Member, len(bunches))
	look := func(i int) {
		asked[i] = t.tree.Delegate(bunches[i])
		looks[i], failed[i] = t.gather(ctx, &asked[i], bunches[i], wants[i])
	}
	together(len(bunches), look)
	again := make([]int, 0, len(bunches))
	for i, err := range failed {
		if err != nil {
			again = append(again, i)
			t.logSilentDelegate(asked[i].Name, err)
		}
	}
	if 2*len(again) <= len(bunches) {
		for _, i := range again {
			t.tree.Failed(asked[i].Name, boottime.Now())
			t.ranker.conns.DropSilent(asked[i].Address)
		}
		together(len(again), func(n int) { look(again[n]) })
	}
	return slices.Concat(looks...)
}

// logSilentDelegate tells that a delegate did not answer.
func (t *term) logSilentDelegate(name string, err error) {
	t.ranker.Log.WithFields(logrus.Fields{"dependency": "agent", "agent": name, "cause": err.Error()}).Warn("delegate does not answer")
}

// gather has a delegate look at the engines of some agents.
func (t *term) gather(ctx context.Context, delegate *fleet.Member, targets fanout.Bunch, want wanted) ([]found, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := t.ranker.conns.Get(delegate.Address)
	if err != nil {
		return nil, err
	}
	q := gatherRequest(targets)
	q.Lists, q.Leader = want.lists, want.leader
	q.Experts = uint32(want.experts)
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
func gatherRequest(targets fanout.Bunch) *fleetpb.GatherRequest {
	q := &fleetpb.GatherRequest{}
	for i := range targets {
		q.Targets = append(q.Targets, targetOf(&targets[i]))
	}
	q.List = fleet.ListName(q.Targets)
	return q
}

// foundBy returns the looks that a delegate tells, and logs which are missing.
func (t *term) foundBy(delegate *fleet.Member, targets fanout.Bunch, p *fleetpb.GatherReply, asked time.Time) []found {
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
			f.agent = &targets[i]
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
	counts, ok := countsFrom(sums, t.engine.Experts.Count, sumBits)
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
