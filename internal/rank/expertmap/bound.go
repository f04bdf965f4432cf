package expertmap

import "math"

// boundRounds is the number of halvings in LowerBound: 40 leave an error of
// one in 10^12.
const boundRounds = 40

// RankLoads returns the load of each rank when the experts have the given
// loads. The length of load must be the layer's number of experts.
func RankLoads(l *Layer, load []float64) []float64 {
	out := make([]float64, l.shape.Ranks)
	for i, s := range l.slots {
		if s.Expert != none {
			out[i/l.shape.Slots] += load[s.Expert] * float64(s.Share) / ShareUnits
		}
	}
	return out
}

// Skew returns the load of the slowest rank over the mean load of all ranks,
// or 1 when there is no load.
func Skew(l *Layer, load []float64) float64 {
	return skewOf(RankLoads(l, load))
}

func skewOf(ranks []float64) float64 {
	sum, most := 0.0, 0.0
	for _, v := range ranks {
		sum += v
		most = max(most, v)
	}
	if sum == 0 {
		return 1
	}
	return most * float64(len(ranks)) / sum
}

// LowerBound returns a skew that no layer of this shape can go below for the
// given loads, however its shares are set.
//
// Two things bound the slowest rank's load L from below. It is at least the
// mean. And a replica can't take more than L, so an expert of load p needs at
// least p/L replicas, rounded up; all of them together must fit the slots.
func LowerBound(load []float64, shape Shape) float64 {
	sum, most := 0.0, 0.0
	for _, p := range load {
		sum += p
		most = max(most, p)
	}
	if sum == 0 {
		return 1
	}
	mean := sum / float64(shape.Ranks)
	low, high := mean, max(mean, most)
	if replicasNeeded(load, low) <= shape.Ranks*shape.Slots {
		return 1
	}
	for range boundRounds {
		mid := (low + high) / 2
		if replicasNeeded(load, mid) <= shape.Ranks*shape.Slots {
			high = mid
		} else {
			low = mid
		}
	}
	return low / mean
}

func replicasNeeded(load []float64, most float64) int {
	n := 0
	for _, p := range load {
		n += max(1, int(math.Ceil(p/most-1e-9)))
	}
	return n
}
