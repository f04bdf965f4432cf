package expertmap

import "math"

// Risk says how far the loads of the steps to come may differ from the loads
// that a layer is made for.
//
// A step lasts as long as its slowest rank, so what counts is the mean of the
// largest load, and not the largest mean: of two ranks with one mean, the one
// whose load varies more makes more steps slow. A rank's load is therefore
// counted with as many standard deviations as the largest of all ranks' loads
// is above the mean on average. A replica's load varies with its share, so the
// standard deviation of a rank with a few large replicas is larger than that of
// one with many small ones, and a popular expert that is split over two ranks
// varies half as much on each.
type Risk struct {
	// Drift is the standard deviation of an expert's load around the load
	// planned for, as a part of it, because popularity moves on.
	Drift float64
	// Draw says that loads are tokens, whose number in a step varies like a
	// Poisson variable.
	Draw bool
}

// deviations returns how many standard deviations the largest of n normal
// variables is above the mean: the n/(n+1) quantile.
func deviations(n int) float64 {
	return math.Sqrt2 * math.Erfinv(1-2/float64(n+1))
}

// relative returns the variance of an expert's load over the load's square.
func (r Risk) relative(load float64) float64 {
	v := r.Drift * r.Drift
	if r.Draw && load > 0 {
		v += 1 / load
	}
	return v
}

const (
	// tailSum is the sum over all ranks of the chance to be above the mean of
	// the largest: exp(-0.5772), which holds for the largest of many alike.
	tailSum = 0.5615
	// skewRounds is the number of halvings in the search for that mean; 20
	// leave an error below one in 10^5.
	skewRounds = 20
)

// skew returns the expected skew: the mean of the largest load of a step over
// the mean load, when the ranks' loads are normal and independent. Unlike the
// largest counted load it falls with each slow rank that is relieved, so it
// tells what a move is worth also when several ranks are equally slow.
func (p *placement) skew() float64 {
	if p.mean == 0 {
		return 1
	}
	low, high := 0.0, 0.0
	for r := range p.ranks {
		low = max(low, p.ranks[r])
		high = max(high, p.counted(r)+p.risk[r])
	}
	if p.tails(low) < tailSum {
		return low / p.mean
	}
	for range skewRounds {
		mid := (low + high) / 2
		if p.tails(mid) > tailSum {
			low = mid
		} else {
			high = mid
		}
	}
	return high / p.mean
}

// tails returns the sum over the ranks of the chance to be above a load.
func (p *placement) tails(load float64) float64 {
	sum := 0.0
	for r, v := range p.ranks {
		switch sd := p.risk[r] / p.deviations; {
		case sd > 0:
			sum += math.Erfc((load-v)/(sd*math.Sqrt2)) / 2
		case v > load:
			sum++
		}
	}
	return sum
}
