package ranker

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// maxCountsPerPoll bounds the counts requested in one poll, because they arrive
	// over the leader's own link, the narrowest of all. A count since the last poll
	// takes one byte: 30 kB ten times a second are a third of 8 Mbit/s.
	maxCountsPerPoll = 30_000
	// maxSumsPerPoll and maxSumsPerSecond are the corresponding bounds where
	// delegates return sums of one byte per count. The rate is a tenth of a 6 Mbit/s
	// link.
	maxSumsPerPoll   = 21_000
	maxSumsPerSecond = 75_000
	// maxDirectAgents is the largest number of agents that the leader calls directly,
	// and maxSubgroupAgents the number for which a delegate answers: with a hundred
	// ranks, the leader and each delegate then have about the same amount of work.
	maxDirectAgents   = 16
	maxSubgroupAgents = 13
)

// maxCountedAgents returns how many agents are asked for counts.
//
// In a group of 63 ranks with 8 sets of 252 experts on 8 Mbit/s links, the counts of
// all ranks fill the leader's link, agents do not answer in time, and a map change
// takes two seconds: with fewer counts, 18 maps came into force in the time of 9, at
// a skew of 1.9 instead of 2.8. The choices of one rank's requests say as much about
// popularity as those of another's, so a part of a large group is sufficient.
func (t *term) maxCountedAgents(agents int) int {
	if t.engine == nil {
		return 0
	}
	perRank := max(1, t.engine.Experts.Sets*t.engine.Experts.Count)
	return min(agents, max(1, maxCountsPerPoll/perRank))
}

// sumBudget returns how many subgroups, always the first ones, are asked for sums of
// counts, and the minimum time between two such polls.
func sumBudget(experts routing.Experts, subgroups int) (n int, pause time.Duration) {
	perSubgroup := max(1, experts.Sets*experts.Count)
	n = min(subgroups, max(1, maxSumsPerPoll/perSubgroup))
	return n, time.Duration(float64(n*perSubgroup) / maxSumsPerSecond * float64(time.Second))
}

// pollGroup polls the engines of all agents. If that yields fewer reports than the
// group has ranks, it also polls the engines of agents whose keys have vanished.
func (t *term) pollGroup(ctx context.Context, agents []fleet.Member, opts pollOptions) []rankReport {
	now := boottime.Now()
	var own *fleet.Member
	others := make([]fleet.Member, 0, len(agents))
	for i := range agents {
		if agents[i].Name == t.ranker.Settings.Name {
			own = &agents[i]
		} else {
			others = append(others, agents[i])
		}
	}
	subgroups := t.tree.Subgroups(others)
	var reports []rankReport
	if len(subgroups) == len(others) {
		reports = t.pollEach(ctx, agents, opts)
	} else {
		reports = t.pollThroughDelegates(ctx, subgroups, own, opts, now)
	}
	if len(reports) >= t.size {
		return reports
	}
	return append(reports, t.pollLapsed(ctx, now, opts.lists)...)
}

// pollEach polls every agent directly. Counts are requested from the first agents by
// name, so that they always come from the same agents.
func (t *term) pollEach(ctx context.Context, agents []fleet.Member, opts pollOptions) []rankReport {
	slices.SortFunc(agents, func(a, b fleet.Member) int { return strings.Compare(a.Name, b.Name) })
	counted := t.maxCountedAgents(len(agents))
	members := make([]*fleet.Member, 0, len(agents))
	agentOpts := make([]pollOptions, 0, len(agents))
	for i := range agents {
		members = append(members, &agents[i])
		agentOpts = append(agentOpts, pollOptions{counts: opts.counts && i < counted, lists: opts.lists, leader: opts.leader})
	}
	t.countsPolled = opts.counts
	return t.successful(members, t.poller.poll(ctx, members, agentOpts))
}

// successful returns the reports of successful polls and logs the failed ones.
func (t *term) successful(members []*fleet.Member, results []pollResult) []rankReport {
	out := make([]rankReport, 0, len(results))
	for i, result := range results {
		if result.err != nil {
			t.ranker.Log.WithFields(logrus.Fields{"agent": members[i].Name, "cause": result.err.Error()}).Warn("rank not seen")
			continue
		}
		out = append(out, t.withReportLag(result.rankReport))
	}
	return out
}

// pollThroughDelegates polls subgroups through their delegates, and concurrently the
// engine of own, unless own is nil.
func (t *term) pollThroughDelegates(ctx context.Context, subgroups []fanout.Subgroup, own *fleet.Member, opts pollOptions, now time.Time) []rankReport {
	experts, summed := 0, 0
	if opts.counts {
		n, pause := sumBudget(t.engine.Experts, len(subgroups))
		if now.Sub(t.sumsPolledAt) >= pause {
			experts, summed = t.engine.Experts.Count, n
			t.countsPolled, t.sumsPolledAt = true, now
		}
	}
	subgroupOpts := make([]pollOptions, len(subgroups))
	for i := range subgroupOpts {
		subgroupOpts[i] = pollOptions{lists: opts.lists, leader: opts.leader}
		if i < summed {
			subgroupOpts[i].experts = experts
		}
	}
	var local []rankReport
	done := make(chan struct{})
	go func() {
		defer close(done)
		if own != nil {
			localOpts := pollOptions{counts: experts > 0, lists: opts.lists}
			local = t.successful([]*fleet.Member{own}, t.poller.poll(ctx, []*fleet.Member{own}, []pollOptions{localOpts}))
		}
	}()
	reports := t.pollSubgroups(ctx, subgroups, subgroupOpts)
	<-done
	return append(reports, local...)
}

// pollLapsed polls the engines of agents whose keys have vanished.
func (t *term) pollLapsed(ctx context.Context, now time.Time, lists bool) []rankReport {
	lapsed := t.ranker.lapsedMembers(t.group, now)
	members := make([]*fleet.Member, 0, len(lapsed))
	for i := range lapsed {
		members = append(members, &lapsed[i])
	}
	results := make([]pollResult, len(lapsed))
	parallel(len(lapsed), func(i int) {
		report, err := t.poller.pollEngine(ctx, members[i], lists, unresponsiveTimeout)
		results[i] = pollResult{rankReport: report, err: err}
	})
	for i, result := range results {
		if result.err == nil && result.state.Group == t.group {
			t.ranker.noteLapsedSeen(members[i].Name, now)
		}
	}
	return t.successful(members, results)
}

// withReportLag corrects the time of a report obtained without the engine's agent,
// because engines report an older state to other VMs.
func (t *term) withReportLag(report rankReport) rankReport {
	if report.agent == nil {
		report.state.AsOf = report.state.AsOf.Add(-t.reportLag())
	}
	return report
}

// reportLag returns the largest assumed age of a report to another VM.
func (t *term) reportLag() time.Duration {
	if t.engine == nil || t.engine.ReportLag <= 0 {
		return defaultReportLag + reportLagMargin
	}
	return t.engine.ReportLag + reportLagMargin
}

// indexByRank returns the states and the reports of all ranks by rank. seen reports
// which ranks have one.
func (t *term) indexByRank(reports []rankReport) (ranks []lockstep.State, byRank []rankReport, seen []bool) {
	ranks = make([]lockstep.State, t.size)
	byRank = make([]rankReport, t.size)
	seen = make([]bool, t.size)
	for _, report := range reports {
		i := report.state.Rank
		if report.state.Group != t.group || i < 0 || i >= t.size || seen[i] {
			continue
		}
		seen[i] = true
		ranks[i], byRank[i] = report.state, report
		if report.agent != nil {
			t.rankByAgent[report.agent.Name] = i
		}
	}
	return ranks, byRank, seen
}
