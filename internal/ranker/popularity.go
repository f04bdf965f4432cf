package ranker

import (
	"math"
	"time"
)

const (
	// forget is the time in which an observation's weight falls to 1/e: long enough
	// that what the requests happen to be about evens out, and less than a
	// popularity lasts.
	forget = 1500 * time.Millisecond
	// jumpBeyond is how far a new observation must be from the estimate, as
	// the sum of the differences of all shares, to count as a jump; then the
	// estimate is given up. Observations of few counts differ by chance besides;
	// jumpMost bounds what is allowed for that.
	jumpBeyond = 0.3
	jumpMost   = 0.8
	// partOfJump is the distance from which an observation may have begun
	// before a jump and ended after it.
	partOfJump = 0.2
	// leastCounts is how many choices of one set an observation needs to be
	// told from noise: ten for each expert.
	leastCounts = 10
)

// popularity estimates how often each expert of each set is chosen, from counts
// that only grow.
//
// The load is demand that jumps every few seconds from some experts to others.
// A mean over time alone would follow it a second late, in which each step
// waits for ranks that nobody planned to be slow.
type popularity struct {
	experts int
	since   differences
	sets    []estimate
}

// estimate is the popularity in one set, as a share of all choices.
type estimate struct {
	share []float64
	// weight is how many choices are behind it.
	weight float64
	at     time.Time
	// pending holds the counts of observations that were too few.
	pending []float64
	// mixed says that the last observation began before a jump, so that nothing
	// is planned by the estimate.
	mixed bool
	// last is the distance of the last observation.
	last float64
}

func newPopularity(sets, experts int) *popularity {
	p := &popularity{experts: experts, sets: make([]estimate, sets)}
	for i := range p.sets {
		p.sets[i].share, p.sets[i].pending = make([]float64, experts), make([]float64, experts)
	}
	return p
}

// observe takes in one look at all ranks, and what delegates have counted since the
// last one, and reports whether a jump was seen.
func (p *popularity) observe(looks []look, sums [][]float64, now time.Time) bool {
	fresh := make([]float64, len(p.sets)*p.experts)
	for _, l := range looks {
		p.since.add(fresh, l)
	}
	for _, sum := range sums {
		if len(sum) != len(fresh) {
			continue
		}
		for i, n := range sum {
			fresh[i] += n
		}
	}
	jumped := false
	for i := range p.sets {
		jumped = p.sets[i].take(fresh[i*p.experts:(i+1)*p.experts], now) || jumped
	}
	return jumped
}

// take joins an observation and reports whether it was a jump. One of too few
// counts waits for the next.
//
// Load: a jump comes in the middle of an observation, so that what was counted is
// a mixture of the old popularity and the new one. Harm prevented: a map that is
// planned by it levels neither, and copying it takes half a second, in which the
// right one waits. So the observation in which a jump is seen serves nothing but
// that, and the next one is planned by; unless the one before it was of the mixture.
func (e *estimate) take(counts []float64, now time.Time) bool {
	n := 0.0
	for i, c := range e.pending {
		counts[i] += c
		n += counts[i]
	}
	if n < leastCounts*float64(len(counts)) {
		copy(e.pending, counts)
		return false
	}
	clear(e.pending)
	distance := e.distance(counts, n)
	jumped := e.weight > 0 && distance > threshold(len(counts), n)
	keep := e.weight * math.Exp(-now.Sub(e.at).Seconds()/forget.Seconds())
	if jumped || e.mixed {
		keep = 0
	}
	e.mixed = jumped && !e.mixed && e.last < partOfJump
	e.last = distance
	for i, c := range counts {
		e.share[i] = (e.share[i]*keep + c) / (keep + n)
	}
	e.weight, e.at = keep+n, now
	return jumped
}

// threshold returns the distance beyond which an observation of n choices among
// so many experts is a jump.
func threshold(experts int, n float64) float64 {
	return min(jumpBeyond+math.Sqrt(float64(experts)/n), jumpMost)
}

// distance returns the sum of the differences of all shares; 2 is the most.
func (e *estimate) distance(counts []float64, n float64) float64 {
	sum := 0.0
	for i, c := range counts {
		sum += math.Abs(c/n - e.share[i])
	}
	return sum
}

// known reports whether every set has been observed, since its last jump.
func (p *popularity) known() bool {
	for i := range p.sets {
		if p.sets[i].weight == 0 || p.sets[i].mixed {
			return false
		}
	}
	return true
}

// loads returns the shares of the experts by set.
func (p *popularity) loads() [][]float64 {
	out := make([][]float64, len(p.sets))
	for i := range p.sets {
		out[i] = p.sets[i].share
	}
	return out
}
