package expertmap

import "math"

// LoadVariance describes how the expert loads of future steps vary around the
// loads that a layer is optimized for.
//
// A step takes as long as its slowest rank, so the expected maximum of the rank
// loads matters, not the maximum of the expected loads: of two ranks with the
// same mean load, the one with the higher variance causes more slow steps. Each
// rank's load is therefore increased by a variance margin of as many standard
// deviations as the expected maximum over all ranks lies above the mean. The
// standard deviation of a replica's load is proportional to its share. A rank
// with a few large replicas therefore has a higher standard deviation than one
// with many small ones, and splitting a popular expert over two ranks halves
// its standard deviation on each.
type LoadVariance struct {
	// Drift is the standard deviation of an expert's load, relative to the
	// planned load, caused by changes in popularity after planning.
	Drift float64
	// Poisson says that loads are in tokens per step, so that the count of a
	// step has Poisson variance in addition.
	Poisson bool
}

// maxZScore approximates the expected maximum of n independent standard normal
// variables by their n/(n+1) quantile.
func maxZScore(n int) float64 {
	return math.Sqrt2 * math.Erfinv(1-2/float64(n+1))
}

// relativeVariance returns the variance of an expert's load divided by the
// square of the load.
func (lv LoadVariance) relativeVariance(load float64) float64 {
	v := lv.Drift * lv.Drift
	if lv.Poisson && load > 0 {
		v += 1 / load
	}
	return v
}

const (
	// exceedancesAtMeanMax is the expected number of ranks whose load is above
	// the expected maximum of all ranks. It is exp(-γ) = exp(-0.5772), which
	// holds asymptotically for the maximum of many identically distributed
	// loads.
	exceedancesAtMeanMax = 0.5615
	// skewIterations is the number of bisection steps in expectedSkew. 20 steps
	// leave a relative error below 1e-5.
	skewIterations = 20
)

// expectedSkew returns the expected maximum rank load of a step divided by the
// mean rank load, or 1 if there is no load, assuming independent, normally
// distributed rank loads. Unlike the maximum adjusted load, it decreases with
// each overloaded rank that is relieved, so it shows the value of a move even
// if several ranks are equally slow.
func (p *placement) expectedSkew() float64 {
	if p.meanRankLoad == 0 {
		return 1
	}
	low, high := 0.0, 0.0
	for r := range p.rankLoad {
		low = max(low, p.rankLoad[r])
		high = max(high, p.adjustedLoad(r)+p.varianceMargin[r])
	}
	if p.expectedExceedances(low) < exceedancesAtMeanMax {
		return low / p.meanRankLoad
	}
	for range skewIterations {
		mid := (low + high) / 2
		if p.expectedExceedances(mid) > exceedancesAtMeanMax {
			low = mid
		} else {
			high = mid
		}
	}
	return high / p.meanRankLoad
}

// expectedExceedances returns the expected number of ranks with a load above
// the given one.
func (p *placement) expectedExceedances(load float64) float64 {
	sum := 0.0
	for r, v := range p.rankLoad {
		switch sd := p.varianceMargin[r] / p.maxZScore; {
		case sd > 0:
			sum += math.Erfc((load-v)/(sd*math.Sqrt2)) / 2
		case v > load:
			sum++
		}
	}
	return sum
}
