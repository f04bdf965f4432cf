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

// countedLook is a look at a rank that has counted so much of each expert.
func countedLook(rank int, born uint64, counts ...uint64) look {
	return look{state: lockstep.State{Rank: rank, Born: born}, counts: counts}
}

func checkSum(t *testing.T, step string, got []float64, want ...float64) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: %v, want %v", step, got, want)
	}
}

// Guards against counts that are told twice, of an engine that started anew, or of
// a time when nobody asked.
func TestSumsAreOfWhatWasCountedSince(t *testing.T) {
	r := &recent{}
	now := start
	checkSum(t, "first", r.tell(countedLook(0, 1, 10, 20), now))
	now = now.Add(sumStale / 2)
	checkSum(t, "second", r.tell(countedLook(0, 1, 11, 22), now), 1, 2)
	now = now.Add(sumStale / 2)
	checkSum(t, "nothing new", r.tell(countedLook(0, 1, 11, 22), now))
	now = now.Add(sumStale / 2)
	checkSum(t, "started anew", r.tell(countedLook(0, 2, 3, 3), now))
	now = now.Add(sumStale / 2)
	checkSum(t, "after that", r.tell(countedLook(0, 2, 4, 3), now), 1, 0)
	now = now.Add(2 * sumStale)
	checkSum(t, "asked again after long", r.tell(countedLook(0, 2, 90, 90), now))
	sum := addUp(addUp(nil, []float64{1, 2}), []float64{3, 4})
	checkSum(t, "of two ranks", addUp(sum, []float64{1}), 4, 6)
}

// Ten delegates tell what twelve ranks each have counted, told to them in the same
// way. Guards against a jump that is seen where half a byte a count only rounds, and
// against counts that are read for another set.
func TestSumsAreReadAsTold(t *testing.T) {
	const sets, experts, bunches, ranks = 16, 258, 10, 12
	rng := rand.New(rand.NewPCG(1, 2))
	popular := make([]float64, sets*experts)
	for i := range popular {
		popular[i] = 20 * math.Exp(rng.NormFloat64())
	}
	truth, got := make([]float64, len(popular)), make([]float64, len(popular))
	for range bunches {
		sum := make([]float64, len(popular))
		for range ranks {
			counts := make([]float64, len(popular))
			for i, n := range popular {
				counts[i] = max(0, math.Floor(n+math.Sqrt(n)*rng.NormFloat64()))
			}
			sum = addUp(sum, readBack(t, counts, experts, rankBits))
			truth = addUp(truth, counts)
		}
		got = addUp(got, readBack(t, sum, experts, sumBits))
	}
	for set := range sets {
		from, to := set*experts, (set+1)*experts
		off, all := 0.0, 0.0
		for i := from; i < to; i++ {
			off += math.Abs(got[i] - truth[i])
			all += truth[i]
		}
		if off/all > 0.05 {
			t.Errorf("set %d is read %.3f off", set, off/all)
		}
	}
	counts := popular
	if _, ok := countsFrom(sumsProto(counts, experts, rankBits), experts+2, rankBits); ok {
		t.Error("sums of another shape were read")
	}
	odd, ok := countsFrom(sumsProto([]float64{4, 0, 1}, 3, rankBits), 3, rankBits)
	if !ok || len(odd) != 3 || odd[0] != 4 || odd[1] != 0 || math.Abs(odd[2]-1) > 0.15 {
		t.Errorf("an odd number of experts is read as %v", odd)
	}
	if sumsProto(counts, 0, sumBits) != nil || sumsProto(counts[1:], experts, sumBits) != nil {
		t.Error("sums of no shape were told")
	}
}

// readBack returns counts as they are read when they were told.
func readBack(t *testing.T, counts []float64, experts, bits int) []float64 {
	t.Helper()
	out, ok := countsFrom(sumsProto(counts, experts, bits), experts, bits)
	if !ok {
		t.Fatal("counts are not read")
	}
	return out
}

// A leader of 129 ranks has a line of 6 Mbit/s. Guards against looks, counts and
// loads that take more than a quarter of it while no change is under way: at 42
// Mbit/s for the loads alone no rank was seen in time.
func TestLeaderLineBearsAGroupOf129Ranks(t *testing.T) {
	const line = 6e6 / 8 // bytes a second
	for _, ranks := range []int{16, 72, 129, 258} {
		if used := leaderBytes(ranks); used > line/4*max(1, float64(ranks)/129) {
			t.Errorf("%d ranks take %.0f kB/s, the line has %.0f", ranks, used/1e3, line/1e3)
		}
	}
}

// A delegate answers for 12 others. Guards against counts that fill its line each time
// that they are asked for, so that all its ranks count as silent.
func TestDelegateLineBearsTheCountsOfItsBunch(t *testing.T) {
	const line = 6e6 / 8 // bytes a second
	sums := &fleetpb.LookReply{Sums: sumsProto(slices.Repeat([]float64{1}, 16*258), 258, rankBits)}
	if took := float64((bunchAgents-1)*proto.Size(sums)) / line; took > memberTimeout.Seconds()/2 {
		t.Errorf("the counts of a bunch take %.0f ms of the line", 1000*took)
	}
}

// A change of 200 copies is told to 12 agents by their delegate. Guards against a map
// that fills the delegate's line for longer than its ranks are waited for.
func TestDelegateLineBearsAMap(t *testing.T) {
	const line, ranks, sets, experts = 6e6 / 8, 129, 16, 258
	begin, _ := inTurn(&fleetpb.InTurn{Sets: sets, Ranks: ranks, Experts: experts})
	next := lockstep.Prepare{Version: 1}
	for _, set := range begin {
		next.Sets = append(next.Sets, slices.Clone(set))
	}
	for i := range 200 {
		s, r := i%sets, i*7%ranks
		next.Sets[s][r] = append(slices.Clone(next.Sets[s][r]), (r+1)%experts)
	}
	p := prepareProto(next, &lockstep.Goal{Sets: begin})
	if took := float64((bunchAgents-1)*proto.Size(p)) / line; took > memberTimeout.Seconds()/2 {
		t.Errorf("a map takes %.0f ms of the line, %d bytes each", 1000*took, proto.Size(p))
	}
}

// leaderBytes returns what a leader sends and receives in a second of looks, sums
// and loads, for ranks in five data centres with 16 sets of 258 experts.
func leaderBytes(ranks int) float64 {
	const sets, experts, dataCentres, overhead = 16, 258, 5, 80
	bunches := max(dataCentres, (ranks+bunchAgents-1)/bunchAgents)
	each := (ranks + bunches - 1) / bunches
	var bunch fanout.Bunch
	p := &fleetpb.GatherReply{}
	for i := range each {
		bunch = append(bunch, fleet.Member{Name: "side-alm-a-12", Address: "10.1.10.140:7340", Endpoint: "10.1.64.140:8029"})
		p.Gathered = append(p.Gathered, &fleetpb.Gathered{Target: uint32(i), Look: replyFrom(look{state: lockstep.State{
			Group: "g1", Epoch: 2, Rank: 99, Size: ranks, Open: true, Step: 99999, Sequence: 200, Map: 7 << versionRoom,
			Prepared: 7 << versionRoom, HasPrepared: true, Running: 4, Queued: 1, Born: 1 << 40, Pace: 1,
		}})})
	}
	q := gatherRequest(bunch)
	q.Targets = nil
	loads := &fleetpb.LoadsRequest{List: 1 << 63, Forward: true}
	for range ranks {
		loads.Running, loads.Queued = append(loads.Running, 4), append(loads.Queued, 1)
	}
	sums := &fleetpb.GatherReply{Sums: sumsProto(slices.Repeat([]float64{1}, sets*experts), experts, sumBits)}
	n, pause := mostSummed(routing.Experts{Sets: sets, Count: experts}, bunches)
	perSecond := float64(time.Second / lookEvery)
	looks := perSecond * float64(bunches*(proto.Size(q)+proto.Size(p)+overhead))
	counts := min(perSecond, 1/pause.Seconds()) * float64(n*proto.Size(sums))
	told := float64(time.Second/loadsEvery) * float64(dataCentres*(proto.Size(loads)+overhead))
	return looks + counts + told
}

// versionRoom is how many bits of a version count a leader's maps.
const versionRoom = 20

// BenchmarkLeaderLook is the leader's work for one look at all ranks, without the
// network: to read what the delegates tell, and to sum up their counts.
func BenchmarkLeaderLook(b *testing.B) {
	const sets, experts = 16, 258
	for _, ranks := range []int{16, 72, 129, 258} {
		b.Run(fmt.Sprint(ranks), func(b *testing.B) {
			x := &term{
				ranker: &Ranker{}, group: "g", size: ranks, rankOf: map[string]int{},
				engine: &routing.Engine{Experts: routing.Experts{Sets: sets, Count: experts}},
				pop:    newPopularity(sets, experts),
			}
			sums, err := proto.Marshal(&fleetpb.GatherReply{Sums: sumsProto(slices.Repeat([]float64{9}, sets*experts), experts, sumBits)})
			if err != nil {
				b.Fatal(err)
			}
			bunches := (ranks + bunchAgents - 1) / bunchAgents
			summed, _ := mostSummed(x.engine.Experts, bunches)
			now := start
			for b.Loop() {
				var looks []found
				for first := 0; first < ranks; first += bunchAgents {
					looks = append(looks, benchBunch(x, first, min(bunchAgents, ranks-first), now)...)
				}
				for range summed {
					p := &fleetpb.GatherReply{}
					if err := proto.Unmarshal(sums, p); err != nil {
						b.Fatal(err)
					}
					x.takeSums(p.GetSums())
				}
				now = now.Add(lookEvery)
				x.arrange(looks)
				x.pop.observe(nil, x.takenSums(), now)
			}
		})
	}
}

// benchBunch reads the looks at n ranks from a delegate.
func benchBunch(x *term, first, n int, now time.Time) []found {
	members := make(fanout.Bunch, 0, n)
	p := &fleetpb.GatherReply{}
	for i := range n {
		members = append(members, fleet.Member{Name: "agent", Endpoint: "10.1.64.140:8029"})
		p.Gathered = append(p.Gathered, &fleetpb.Gathered{Target: uint32(i), Look: replyFrom(look{state: lockstep.State{
			Group: "g", Rank: first + i, Size: x.size, Open: true,
		}})})
	}
	return x.foundBy(&members[0], members, p, now)
}
