package ranker

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

const (
	// rankBits and sumBits are how many bits a count takes that is told as a part
	// of the largest, of one rank and of a bunch. Parts go by the square root, as
	// the chance in a count does: what is rounded of a rank's is less than that.
	rankBits = 4
	sumBits  = 8
	// sumStale is from when on counts since the last look are no more told: they
	// are of a popularity that may have passed.
	sumStale = time.Second
)

// differences turns counts since an engine's start into counts since it was looked
// at last.
type differences struct {
	// ranks holds the last counts of each rank.
	ranks map[int]counted
}

// counted is what a rank had counted when it was looked at.
type counted struct {
	counts []uint64
	born   uint64
}

// add adds what a rank has counted since its last look. The counts of an engine
// that has started anew begin at zero, so there is nothing to compare with.
func (d *differences) add(fresh []float64, l look) {
	if len(l.counts) != len(fresh) {
		return
	}
	if d.ranks == nil {
		d.ranks = map[int]counted{}
	}
	old, ok := d.ranks[l.state.Rank]
	d.ranks[l.state.Rank] = counted{counts: l.counts, born: l.state.Born}
	if !ok || old.born != l.state.Born || len(old.counts) != len(l.counts) {
		return
	}
	for i, n := range l.counts {
		if n >= old.counts[i] {
			fresh[i] += float64(n - old.counts[i])
		}
	}
}

// recent tells what an engine has counted since it was asked last.
//
// Load: 129 ranks with 16 sets of 258 experts, behind lines of 6 Mbit/s. The counts
// of each rank, ten times a second, take seven times the leader's line. Harm
// prevented: with those of a few ranks, which run six requests each, what these
// happen to be about is taken for popularity. Told as sums, those of thirteen ranks
// are 27 kB on their delegate's line, and 4 kB on the leader's.
type recent struct {
	mu    sync.Mutex // guards all below
	since differences
	last  time.Time
}

// tell returns what was counted since the last call, or nil if that was too long
// ago.
func (r *recent) tell(l look, now time.Time) []float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.last) > sumStale {
		r.since = differences{}
	}
	r.last = now
	fresh := make([]float64, len(l.counts))
	r.since.add(fresh, l)
	if len(fresh) == 0 || slices.Max(fresh) == 0 {
		return nil
	}
	return fresh
}

// addUp adds counts to a sum, which takes the size of the first.
func addUp(sum, counts []float64) []float64 {
	if sum == nil {
		return slices.Clone(counts)
	}
	if len(counts) != len(sum) {
		return sum
	}
	for i, n := range counts {
		sum[i] += n
	}
	return sum
}

// sumsProto tells counts, set after set, of so many experts each, in parts of so many
// bits.
func sumsProto(counts []float64, experts, bits int) []*fleetpb.CountSum {
	if experts <= 0 || len(counts)%experts != 0 {
		return nil
	}
	var out []*fleetpb.CountSum
	for set := range slices.Chunk(counts, experts) {
		most := slices.Max(set)
		parts := make([]byte, partsSize(experts, bits))
		for i, n := range set {
			if most > 0 {
				part := byte(math.Round(math.Sqrt(n/most) * largestPart(bits)))
				parts[i*bits/sumBits] |= part << (i * bits % sumBits)
			}
		}
		out = append(out, &fleetpb.CountSum{Most: uint64(most), Parts: parts})
	}
	return out
}

// partsSize returns how many bytes parts of so many bits take.
func partsSize(experts, bits int) int { return (experts*bits + sumBits - 1) / sumBits }

// largestPart returns the part that stands for the largest count.
func largestPart(bits int) float64 { return float64(int(1)<<bits - 1) }

// countsFrom reads counts of so many experts in each set, in parts of so many bits. It
// reports false when they are of another number.
func countsFrom(sums []*fleetpb.CountSum, experts, bits int) ([]float64, bool) {
	out := make([]float64, 0, len(sums)*experts)
	for _, s := range sums {
		if len(s.GetParts()) != partsSize(experts, bits) {
			return nil, false
		}
		for i := range experts {
			bare := int(s.GetParts()[i*bits/sumBits]) >> (i * bits % sumBits) & (1<<bits - 1)
			part := float64(bare) / largestPart(bits)
			out = append(out, part*part*float64(s.GetMost()))
		}
	}
	return out, true
}
