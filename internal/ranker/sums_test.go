package ranker

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
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
// a time when another delegate was asked.
func TestSumsAreOfWhatWasCountedSince(t *testing.T) {
	s := &summer{}
	now := start
	checkSum(t, "first", s.sum([]look{countedLook(0, 1, 10, 20), countedLook(1, 1, 5, 5)}, now))
	now = now.Add(sumStale / 2)
	checkSum(t, "second", s.sum([]look{countedLook(0, 1, 11, 22), countedLook(1, 1, 9, 5)}, now), 5, 2)
	now = now.Add(sumStale / 2)
	checkSum(t, "one rank missing, one anew", s.sum([]look{countedLook(1, 2, 3, 3)}, now))
	now = now.Add(sumStale / 2)
	checkSum(t, "both", s.sum([]look{countedLook(0, 1, 12, 22), countedLook(1, 2, 4, 3)}, now), 2, 0)
	now = now.Add(2 * sumStale)
	checkSum(t, "asked again after long", s.sum([]look{countedLook(0, 1, 90, 90), countedLook(1, 2, 90, 90)}, now))
}

// Guards against counts that are read for another set, and against a jump that is
// seen where a byte a count only rounds.
func TestSumsAreReadAsTold(t *testing.T) {
	const sets, experts = 16, 258
	rng := rand.New(rand.NewPCG(1, 2))
	counts := make([]float64, sets*experts)
	for i := range counts {
		counts[i] = math.Floor(1000 * math.Exp(rng.NormFloat64()))
	}
	sums := sumsProto(counts, experts)
	got, ok := countsFrom(sums, experts)
	if !ok || len(got) != len(counts) {
		t.Fatalf("%d counts read, %v", len(got), ok)
	}
	for set := range sets {
		from, to := set*experts, (set+1)*experts
		off, all := 0.0, 0.0
		for i := from; i < to; i++ {
			off += math.Abs(got[i] - counts[i])
			all += counts[i]
		}
		if off/all > 0.05 {
			t.Errorf("set %d is read %.2f off", set, off/all)
		}
	}
	if _, ok := countsFrom(sums, experts+1); ok {
		t.Error("sums of another shape were read")
	}
	if sumsProto(counts, 0) != nil || sumsProto(counts[1:], experts) != nil {
		t.Error("sums of no shape were told")
	}
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

// leaderBytes returns what a leader sends and receives in a second of looks, sums
// and loads, for ranks in five data centres with 16 sets of 258 experts.
func leaderBytes(ranks int) float64 {
	const sets, experts, dataCentres, overhead = 16, 258, 5, 80
	bunches := max(dataCentres, (ranks+bunchAgents-1)/bunchAgents)
	each := (ranks + bunches - 1) / bunches
	var bunch []*fleet.Member
	p := &fleetpb.GatherReply{}
	for i := range each {
		bunch = append(bunch, &fleet.Member{Name: "side-alm-a-12", Address: "10.1.10.140:7340", Endpoint: "10.1.64.140:8029"})
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
	sums := &fleetpb.GatherReply{Sums: sumsProto(slices.Repeat([]float64{1}, sets*experts), experts)}
	n, pause := mostSummed(routing.Experts{Sets: sets, Count: experts}, bunches)
	perSecond := float64(time.Second / lookEvery)
	looks := perSecond * float64(bunches*(proto.Size(q)+proto.Size(p)+overhead))
	counts := min(perSecond, 1/pause.Seconds()) * float64(n*proto.Size(sums))
	told := float64(time.Second/loadsEvery) * float64(dataCentres*(proto.Size(loads)+overhead))
	return looks + counts + told
}

// versionRoom is how many bits of a version count a leader's maps.
const versionRoom = 20
