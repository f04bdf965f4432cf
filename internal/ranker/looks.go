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
	// countsPerLook bounds how many counts are asked for in one look, as they
	// come over the leader's own line, the narrowest of all: some 30 kB, ten
	// times a second, are a third of 8 Mbit/s. A count since the last look takes
	// a byte.
	countsPerLook = 30_000
	// sumsPerLook and sumsPerSecond bound the same where delegates tell sums, of
	// a byte a count: a tenth of a line of 6 Mbit/s.
	sumsPerLook   = 21_000
	sumsPerSecond = 75_000
	// directAgents is up to how many agents the leader asks each by itself, and
	// bunchAgents how many a delegate answers for: with a hundred ranks leader
	// and delegates have about as much to do.
	directAgents = 16
	bunchAgents  = 13
)

// mostCounted returns of how many agents the counts are asked for.
//
// Load: a group of 63 ranks with 8 sets of 252 experts behind lines of 8 Mbit/s.
// Harm prevented: the counts of all ranks fill the leader's line, agents do not
// answer in time, and a change of maps takes two seconds (18 maps in the time of 9,
// a skew of 1.9 for 2.8). What the requests of one rank choose tells as much of
// popularity as what those of another do, so a part of a large group is enough.
func (t *term) mostCounted(agents int) int {
	if t.engine == nil {
		return 0
	}
	each := max(1, t.engine.Experts.Sets*t.engine.Experts.Count)
	return min(agents, max(1, countsPerLook/each))
}

// mostSummed returns of how many bunches the sums of counts are asked for, always
// the first ones, and how long after one look the next may ask for them.
func mostSummed(x routing.Experts, bunches int) (n int, pause time.Duration) {
	each := max(1, x.Sets*x.Count)
	n = min(bunches, max(1, sumsPerLook/each))
	return n, time.Duration(float64(n*each) / sumsPerSecond * float64(time.Second))
}

// lookAll looks at the engines of all agents. When that shows fewer ranks than
// there are, the engines of agents that have lapsed are asked too.
func (t *term) lookAll(ctx context.Context, agents []fleet.Member, want wanted) []found {
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
	bunches := t.tree.Bunches(others)
	var out []found
	if len(bunches) == len(others) {
		out = t.lookSingly(ctx, agents, want)
	} else {
		out = t.lookThrough(ctx, bunches, own, want, now)
	}
	if len(out) >= t.size {
		return out
	}
	return append(out, t.lookLapsed(ctx, now, want.lists)...)
}

// lookSingly looks at the engines of agents, each by its own. Counts are asked for
// from the first ones by name, so that they are always the same.
func (t *term) lookSingly(ctx context.Context, agents []fleet.Member, want wanted) []found {
	slices.SortFunc(agents, func(a, b fleet.Member) int { return strings.Compare(a.Name, b.Name) })
	most := t.mostCounted(len(agents))
	members := make([]*fleet.Member, 0, len(agents))
	wants := make([]wanted, 0, len(agents))
	for i := range agents {
		members = append(members, &agents[i])
		wants = append(wants, wanted{counts: want.counts && i < most, lists: want.lists, leader: want.leader})
	}
	t.counted = want.counts
	return t.found(members, t.looker.lookAt(ctx, members, wants))
}

// found returns the looks that came about, and logs the others.
func (t *term) found(members []*fleet.Member, looks []seen) []found {
	out := make([]found, 0, len(looks))
	for i, l := range looks {
		if l.err != nil {
			t.ranker.Log.WithFields(logrus.Fields{"agent": members[i].Name, "cause": l.err.Error()}).Warn("rank not seen")
			continue
		}
		out = append(out, t.dated(l.found))
	}
	return out
}

// lookThrough looks at the engines of bunches of agents through their delegates,
// and at the one beside own, unless that is nil.
func (t *term) lookThrough(ctx context.Context, bunches []fanout.Bunch, own *fleet.Member, want wanted, now time.Time) []found {
	experts, most := 0, 0
	if want.counts {
		n, pause := mostSummed(t.engine.Experts, len(bunches))
		if now.Sub(t.summed) >= pause {
			experts, most = t.engine.Experts.Count, n
			t.counted, t.summed = true, now
		}
	}
	wants := make([]wanted, len(bunches))
	for i := range wants {
		wants[i] = wanted{lists: want.lists, leader: want.leader}
		if i < most {
			wants[i].experts = experts
		}
	}
	var beside []found
	done := make(chan struct{})
	go func() {
		defer close(done)
		if own != nil {
			mine := wanted{counts: experts > 0, lists: want.lists}
			beside = t.found([]*fleet.Member{own}, t.looker.lookAt(ctx, []*fleet.Member{own}, []wanted{mine}))
		}
	}()
	out := t.lookBunches(ctx, bunches, wants)
	<-done
	return append(out, beside...)
}

// lookLapsed looks at the engines of agents that have lapsed.
func (t *term) lookLapsed(ctx context.Context, now time.Time, lists bool) []found {
	lapsed := t.ranker.lapsedMembers(t.group, now)
	members := make([]*fleet.Member, 0, len(lapsed))
	for i := range lapsed {
		members = append(members, &lapsed[i])
	}
	looks := make([]seen, len(lapsed))
	together(len(lapsed), func(i int) {
		f, err := t.looker.lookDirectly(ctx, members[i], lists, darkTimeout)
		looks[i] = seen{found: f, err: err}
	})
	return t.found(members, looks)
}

// dated returns a look with the time that it is of. Engines report to other VMs
// what they were some time ago.
func (t *term) dated(f found) found {
	if f.agent == nil {
		f.state.AsOf = f.state.AsOf.Add(-t.reportLag())
	}
	return f
}

// reportLag returns how old a report to another VM may be.
func (t *term) reportLag() time.Duration {
	if t.engine == nil || t.engine.ReportLag <= 0 {
		return usualLag + lagMargin
	}
	return t.engine.ReportLag + lagMargin
}

// arrange orders looks by rank and reports which ranks were seen.
func (t *term) arrange(looks []found) (ranks []lockstep.State, byRank []found, seen []bool) {
	ranks = make([]lockstep.State, t.size)
	byRank = make([]found, t.size)
	seen = make([]bool, t.size)
	for _, l := range looks {
		i := l.state.Rank
		if l.state.Group != t.group || i < 0 || i >= t.size || seen[i] {
			continue
		}
		seen[i] = true
		ranks[i], byRank[i] = l.state, l
		if l.agent != nil {
			t.rankOf[l.agent.Name] = i
		}
	}
	return ranks, byRank, seen
}
