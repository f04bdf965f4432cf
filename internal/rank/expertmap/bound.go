package expertmap

import "math"

// boundIterations is the number of bisection steps in LowerBound. 40 steps
// leave a relative error of 1e-12.
const boundIterations = 40

// RankLoads returns the load of each rank for the given expert loads. The
// length of load must be the number of experts in the layer.
func RankLoads(l *Layer, load []float64) []float64 {
	out := make([]float64, l.shape.Ranks)
	for i, s := range l.slots {
		if s.Expert != none {
			out[i/l.shape.Slots] += load[s.Expert] * float64(s.Share) / ShareUnits
		}
	}
	return out
}

// Skew returns the maximum rank load divided by the mean rank load, or 1 if the
// total load is zero. The length of load must be the number of experts in the
// layer.
func Skew(l *Layer, load []float64) float64 {
	return skewOf(RankLoads(l, load))
}

func skewOf(rankLoads []float64) float64 {
	sum, maxLoad := 0.0, 0.0
	for _, v := range rankLoads {
		sum += v
		maxLoad = max(maxLoad, v)
	}
	if sum == 0 {
		return 1
	}
	return maxLoad * float64(len(rankLoads)) / sum
}

// LowerBound returns a lower bound on the skew of all layers of this shape for
// the given expert loads, whatever their shares. It returns 1 if the total load
// is zero.
//
// Two conditions bound the maximum rank load L from below. L is at least the
// mean rank load. And since a replica can take at most L, an expert with load x
// needs at least x/L replicas, rounded up, and the replicas of all experts must
// fit into the slots.
func LowerBound(load []float64, shape Shape) float64 {
	sum, maxLoad := 0.0, 0.0
	for _, v := range load {
		sum += v
		maxLoad = max(maxLoad, v)
	}
	if sum == 0 {
		return 1
	}
	mean := sum / float64(shape.Ranks)
	low, high := mean, max(mean, maxLoad)
	if replicasNeeded(load, low) <= shape.Ranks*shape.Slots {
		return 1
	}
	for range boundIterations {
		mid := (low + high) / 2
		if replicasNeeded(load, mid) <= shape.Ranks*shape.Slots {
			high = mid
		} else {
			low = mid
		}
	}
	return low / mean
}

// replicasNeeded returns the number of replicas that all experts need together
// if each replica takes at most limit.
func replicasNeeded(load []float64, limit float64) int {
	n := 0
	for _, v := range load {
		n += max(1, int(math.Ceil(v/limit-1e-9)))
	}
	return n
}
