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

// pollSubgroups polls the engines of subgroups of agents through their delegates, and
// once more through other delegates where these fail.
//
// When more than half of the delegates fail at once, the likely cause is that the
// leader's own link is congested or cut. Other delegates would not be reached either,
// and each of them needs new connections first. The poll is not repeated then, and no
// delegate is recorded as failed.
func (t *term) pollSubgroups(ctx context.Context, subgroups []fanout.Subgroup, opts []pollOptions) []rankReport {
	reports := make([][]rankReport, len(subgroups))
	errs := make([]error, len(subgroups))
	delegates := make([]fleet.Member, len(subgroups))
	poll := func(i int) {
		delegates[i] = t.tree.Delegate(subgroups[i])
		reports[i], errs[i] = t.gather(ctx, &delegates[i], subgroups[i], opts[i])
	}
	parallel(len(subgroups), poll)
	failed := make([]int, 0, len(subgroups))
	for i, err := range errs {
		if err != nil {
			failed = append(failed, i)
			t.logDelegateFailure(delegates[i].Name, err)
		}
	}
	if 2*len(failed) <= len(subgroups) {
		for _, i := range failed {
			t.tree.NoteFailure(delegates[i].Name, boottime.Now())
			t.ranker.conns.RemoveUnresponsive(delegates[i].Address)
		}
		parallel(len(failed), func(n int) { poll(failed[n]) })
	}
	return slices.Concat(reports...)
}

// logDelegateFailure logs that a delegate did not answer.
func (t *term) logDelegateFailure(name string, err error) {
	t.ranker.Log.WithFields(logrus.Fields{"dependency": "agent", "agent": name, "cause": err.Error()}).Warn("delegate does not answer")
}

// gather has a delegate poll the engines of some agents.
func (t *term) gather(ctx context.Context, delegate *fleet.Member, targets fanout.Subgroup, opts pollOptions) ([]rankReport, error) {
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	conn, err := t.ranker.conns.Get(delegate.Address)
	if err != nil {
		return nil, err
	}
	req := gatherRequestProto(targets)
	req.Lists, req.Leader = opts.lists, opts.leader
	req.Experts = uint32(opts.experts)
	allTargets := req.Targets
	if t.sentLists.MarkSent(delegate.Name, req.List) {
		req.Targets = nil
	}
	polledAt := boottime.Now()
	agent := fleetpb.NewAgentClient(conn)
	resp, err := agent.Gather(ctx, req)
	if err == nil && resp.GetUnknownList() {
		req.Targets = allTargets
		resp, err = agent.Gather(ctx, req)
	}
	if err != nil {
		t.sentLists.Forget(delegate.Name)
		return nil, err
	}
	t.addSums(resp.GetSums())
	return t.reportsFromDelegate(delegate, targets, resp, polledAt), nil
}

// gatherRequestProto returns a request for the states of targets.
func gatherRequestProto(targets fanout.Subgroup) *fleetpb.GatherRequest {
	req := &fleetpb.GatherRequest{}
	for i := range targets {
		req.Targets = append(req.Targets, targetProto(&targets[i]))
	}
	req.List = fleet.TargetListHash(req.Targets)
	return req
}

// reportsFromDelegate decodes the reports in a delegate's reply and logs which
// targets have none.
func (t *term) reportsFromDelegate(delegate *fleet.Member, targets fanout.Subgroup, resp *fleetpb.GatherReply, polledAt time.Time) []rankReport {
	reports := make([]rankReport, 0, len(targets))
	seen := make([]bool, len(targets))
	for _, gathered := range resp.GetGathered() {
		i := int(gathered.GetTarget())
		if i >= len(targets) || gathered.GetLook() == nil || seen[i] {
			continue
		}
		seen[i] = true
		report := rankReport{engineReport: reportFromProto(gathered.GetLook(), targets[i].Endpoint), delegate: delegate}
		report.state.AsOf = polledAt
		if !gathered.GetDirect() {
			report.agent = &targets[i]
		}
		reports = append(reports, t.withReportLag(report))
	}
	for i, ok := range seen {
		if !ok {
			t.ranker.Log.WithFields(logrus.Fields{"agent": targets[i].Name, "delegate": delegate.Name}).Warn("rank not seen")
		}
	}
	return reports
}

// addSums stores the counts from a delegate until the next plan. It ignores sums that
// cannot be decoded.
func (t *term) addSums(sums []*fleetpb.CountSum) {
	if t.engine == nil || len(sums) == 0 {
		return
	}
	counts, ok := countsFromProto(sums, t.engine.Experts.Count, subgroupLevelBits)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingSums = append(t.pendingSums, counts)
}

// drainSums returns the sums that were added since the previous call.
func (t *term) drainSums() [][]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.pendingSums
	t.pendingSums = nil
	return out
}

func targetProto(m *fleet.Member) *fleetpb.Target {
	return &fleetpb.Target{Agent: m.Name, Address: m.Address, Endpoint: m.Endpoint}
}

func memberFromProto(target *fleetpb.Target) *fleet.Member {
	return &fleet.Member{Kind: fleet.Agent, Name: target.GetAgent(), Address: target.GetAddress(), Endpoint: target.GetEndpoint()}
}
