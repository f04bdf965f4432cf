package ranker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// reportWithCounts is the report of a rank with the given counts.
func reportWithCounts(rank int, startMillis uint64, counts ...uint64) engineReport {
	return engineReport{state: lockstep.State{Rank: rank, StartMillis: startMillis}, counts: counts}
}

func checkCounts(t *testing.T, step string, got []float64, want ...float64) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: %v, want %v", step, got, want)
	}
}

// Guards against counts that are reported twice, that stem from before an engine's
// restart, or that are too old.
func TestSumsCoverCountsSinceLastReport(t *testing.T) {
	r := &recentCounts{}
	now := start
	checkCounts(t, "first", r.sinceLast(reportWithCounts(0, 1, 10, 20), now))
	now = now.Add(maxCountAge / 2)
	checkCounts(t, "second", r.sinceLast(reportWithCounts(0, 1, 11, 22), now), 1, 2)
	now = now.Add(maxCountAge / 2)
	checkCounts(t, "nothing new", r.sinceLast(reportWithCounts(0, 1, 11, 22), now))
	now = now.Add(maxCountAge / 2)
	checkCounts(t, "engine restarted", r.sinceLast(reportWithCounts(0, 2, 3, 3), now))
	now = now.Add(maxCountAge / 2)
	checkCounts(t, "after the restart", r.sinceLast(reportWithCounts(0, 2, 4, 3), now), 1, 0)
	now = now.Add(2 * maxCountAge)
	checkCounts(t, "counts too old", r.sinceLast(reportWithCounts(0, 2, 90, 90), now))
	sum := addCounts(addCounts(nil, []float64{1, 2}), []float64{3, 4})
	checkCounts(t, "sum of two ranks", addCounts(sum, []float64{1}), 4, 6)
}

// Ten delegates report the sums of twelve ranks each. Guards against a rounding
// error, with half a byte per count, that looks like a jump, and against counts
// decoded for the wrong set.
func TestSumsRoundTrip(t *testing.T) {
	const sets, experts, subgroups, ranks = 16, 258, 10, 12
	rng := rand.New(rand.NewPCG(1, 2))
	means := make([]float64, sets*experts)
	for i := range means {
		means[i] = 20 * math.Exp(rng.NormFloat64())
	}
	truth, got := make([]float64, len(means)), make([]float64, len(means))
	for range subgroups {
		sum := make([]float64, len(means))
		for range ranks {
			counts := make([]float64, len(means))
			for i, n := range means {
				counts[i] = max(0, math.Floor(n+math.Sqrt(n)*rng.NormFloat64()))
			}
			sum = addCounts(sum, roundTrip(t, counts, experts, rankLevelBits))
			truth = addCounts(truth, counts)
		}
		got = addCounts(got, roundTrip(t, sum, experts, subgroupLevelBits))
	}
	for set := range sets {
		from, to := set*experts, (set+1)*experts
		deviation, total := 0.0, 0.0
		for i := from; i < to; i++ {
			deviation += math.Abs(got[i] - truth[i])
			total += truth[i]
		}
		if deviation/total > 0.05 {
			t.Errorf("set %d is off by %.3f after decoding", set, deviation/total)
		}
	}
	counts := means
	if _, ok := countsFromProto(sumsProto(counts, experts, rankLevelBits), experts+2, rankLevelBits); ok {
		t.Error("sums of another shape were decoded")
	}
	decoded, ok := countsFromProto(sumsProto([]float64{4, 0, 1}, 3, rankLevelBits), 3, rankLevelBits)
	if !ok || len(decoded) != 3 || decoded[0] != 4 || decoded[1] != 0 || math.Abs(decoded[2]-1) > 0.15 {
		t.Errorf("an odd number of experts is decoded as %v", decoded)
	}
	if sumsProto(counts, 0, subgroupLevelBits) != nil || sumsProto(counts[1:], experts, subgroupLevelBits) != nil {
		t.Error("counts that do not divide into sets were encoded")
	}
}

// roundTrip returns counts after encoding and decoding.
func roundTrip(t *testing.T, counts []float64, experts, bits int) []float64 {
	t.Helper()
	out, ok := countsFromProto(sumsProto(counts, experts, bits), experts, bits)
	if !ok {
		t.Fatal("counts cannot be decoded")
	}
	return out
}

// The leader of 129 ranks has a 6 Mbit/s link. Guards against polls, counts and load
// reports that take more than a quarter of it while no change is in progress: when
// load reports alone took 42 Mbit/s, no rank was polled in time.
func TestLeaderLinkCarriesGroupOf129Ranks(t *testing.T) {
	const bandwidth = 6e6 / 8 // bytes a second
	for _, ranks := range []int{16, 72, 129, 258} {
		if used := leaderBytesPerSecond(ranks); used > bandwidth/4*max(1, float64(ranks)/129) {
			t.Errorf("%d ranks take %.0f kB/s, the link has %.0f", ranks, used/1e3, bandwidth/1e3)
		}
	}
}

// A delegate answers for 12 other agents. Guards against counts that fill its link at
// each poll, so that all its ranks count as unreachable.
func TestDelegateLinkCarriesCountsOfItsSubgroup(t *testing.T) {
	const bandwidth = 6e6 / 8 // bytes a second
	sums := &fleetpb.LookReply{Sums: sumsProto(slices.Repeat([]float64{1}, 16*258), 258, rankLevelBits)}
	if took := float64((maxSubgroupAgents-1)*proto.Size(sums)) / bandwidth; took > delegateAgentTimeout.Seconds()/2 {
		t.Errorf("the counts of a subgroup take %.0f ms of the link", 1000*took)
	}
}

// A delegate sends a change of 200 copies to 12 agents. Guards against a map that
// fills its link for longer than the ranks are waited for.
func TestDelegateLineBearsAMap(t *testing.T) {
	const bandwidth, ranks, sets, experts = 6e6 / 8, 129, 16, 258
	initial, _ := roundRobinMap(&fleetpb.InTurn{Sets: sets, Ranks: ranks, Experts: experts})
	next := lockstep.Prepare{Version: 1}
	for _, set := range initial {
		next.Sets = append(next.Sets, slices.Clone(set))
	}
	for i := range 200 {
		s, r := i%sets, i*7%ranks
		next.Sets[s][r] = append(slices.Clone(next.Sets[s][r]), (r+1)%experts)
	}
	msg := prepareProto(next, &lockstep.Goal{Sets: initial})
	if took := float64((maxSubgroupAgents-1)*proto.Size(msg)) / bandwidth; took > delegateAgentTimeout.Seconds()/2 {
		t.Errorf("a map takes %.0f ms of the link, %d bytes each", 1000*took, proto.Size(msg))
	}
}

// leaderBytesPerSecond returns what a leader sends and receives per second for polls,
// sums and load reports, with ranks in five data centres and 16 sets of 258 experts.
func leaderBytesPerSecond(ranks int) float64 {
	const sets, experts, dataCentres, overhead = 16, 258, 5, 80
	subgroups := max(dataCentres, (ranks+maxSubgroupAgents-1)/maxSubgroupAgents)
	perSubgroup := (ranks + subgroups - 1) / subgroups
	var subgroup fanout.Subgroup
	resp := &fleetpb.GatherReply{}
	for i := range perSubgroup {
		subgroup = append(subgroup, fleet.Member{Name: "side-alm-a-12", Address: "10.1.10.140:7340", Endpoint: "10.1.64.140:8029"})
		resp.Gathered = append(resp.Gathered, &fleetpb.Gathered{Target: uint32(i), Look: lookReplyProto(engineReport{state: lockstep.State{
			Group: "g1", Epoch: 2, Rank: 99, Size: ranks, Accepting: true, Step: 99999, Sequence: 200, Map: 7 << versionBits,
			Prepared: 7 << versionBits, HasPrepared: true, Running: 4, Queued: 1, StartMillis: 1 << 40, Slowdown: 1,
		}})})
	}
	req := gatherRequestProto(subgroup)
	req.Targets = nil
	loads := &fleetpb.LoadsRequest{List: 1 << 63, Forward: true}
	for range ranks {
		loads.Running, loads.Queued = append(loads.Running, 4), append(loads.Queued, 1)
	}
	sums := &fleetpb.GatherReply{Sums: sumsProto(slices.Repeat([]float64{1}, sets*experts), experts, subgroupLevelBits)}
	n, pause := sumBudget(routing.Experts{Sets: sets, Count: experts}, subgroups)
	perSecond := float64(time.Second / pollInterval)
	pollBytes := perSecond * float64(subgroups*(proto.Size(req)+proto.Size(resp)+overhead))
	countBytes := min(perSecond, 1/pause.Seconds()) * float64(n*proto.Size(sums))
	loadBytes := float64(time.Second/loadReportInterval) * float64(dataCentres*(proto.Size(loads)+overhead))
	return pollBytes + countBytes + loadBytes
}

// versionBits is how many bits of a version number count the maps of one leader.
const versionBits = 20

// BenchmarkLeaderPoll measures the leader's work for one poll of all ranks without
// the network: decoding the delegates' reports and adding up their counts.
func BenchmarkLeaderPoll(b *testing.B) {
	const sets, experts = 16, 258
	for _, ranks := range []int{16, 72, 129, 258} {
		b.Run(fmt.Sprint(ranks), func(b *testing.B) {
			term := &term{
				ranker: &Ranker{}, group: "g", size: ranks, rankByAgent: map[string]int{},
				engine:     &routing.Engine{Experts: routing.Experts{Sets: sets, Count: experts}},
				popularity: newPopularity(sets, experts),
			}
			sums, err := proto.Marshal(&fleetpb.GatherReply{Sums: sumsProto(slices.Repeat([]float64{9}, sets*experts), experts, subgroupLevelBits)})
			if err != nil {
				b.Fatal(err)
			}
			subgroups := (ranks + maxSubgroupAgents - 1) / maxSubgroupAgents
			summed, _ := sumBudget(term.engine.Experts, subgroups)
			now := start
			for b.Loop() {
				var reports []rankReport
				for first := 0; first < ranks; first += maxSubgroupAgents {
					reports = append(reports, benchSubgroup(term, first, min(maxSubgroupAgents, ranks-first), now)...)
				}
				for range summed {
					resp := &fleetpb.GatherReply{}
					if err := proto.Unmarshal(sums, resp); err != nil {
						b.Fatal(err)
					}
					term.addSums(resp.GetSums())
				}
				now = now.Add(pollInterval)
				term.indexByRank(reports)
				term.popularity.observe(nil, term.drainSums(), now)
			}
		})
	}
}

// benchSubgroup decodes the reports of n ranks from a delegate.
func benchSubgroup(t *term, first, n int, now time.Time) []rankReport {
	members := make(fanout.Subgroup, 0, n)
	resp := &fleetpb.GatherReply{}
	for i := range n {
		members = append(members, fleet.Member{Name: "agent", Endpoint: "10.1.64.140:8029"})
		resp.Gathered = append(resp.Gathered, &fleetpb.Gathered{Target: uint32(i), Look: lookReplyProto(engineReport{state: lockstep.State{
			Group: "g", Rank: first + i, Size: t.size, Accepting: true,
		}})})
	}
	return t.reportsFromDelegate(&members[0], members, resp, now)
}
