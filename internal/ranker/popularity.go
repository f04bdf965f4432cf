package ranker

import (
	"math"
	"time"
)

const (
	// decayTime is the time in which an observation's weight falls to 1/e. It is long
	// enough to average over the subjects of individual requests, and shorter than
	// the time between two jumps of popularity.
	decayTime = 1500 * time.Millisecond
	// jumpDistance is the distance between an observation and the estimate, as the
	// sum of the absolute differences of all shares, beyond which the observation
	// counts as a jump and replaces the estimate. The threshold is higher for
	// observations of few counts, which differ by chance, but at most
	// maxJumpDistance.
	jumpDistance    = 0.3
	maxJumpDistance = 0.8
	// partialJumpDistance is the distance from which an observation that does not
	// count as a jump may nevertheless have begun before one and ended after it.
	partialJumpDistance = 0.2
	// minCountsPerExpert is how many choices per expert of a set an observation needs
	// to be distinguished from noise.
	minCountsPerExpert = 10
)

// popularity estimates how often each expert of each set is chosen, from counts that
// only grow.
//
// Demand jumps every few seconds from some experts to others. A moving average alone
// would follow a second late, and during that time each step waits for ranks that are
// unexpectedly slow.
type popularity struct {
	experts    int
	increments incrementTracker
	sets       []estimate
}

// estimate is the popularity of the experts in one set, as shares of all choices.
type estimate struct {
	shares []float64
	// weight is the effective number of choices behind the estimate.
	weight    float64
	updatedAt time.Time
	// pending holds the counts of observations that were too small to use.
	pending []float64
	// mixed reports that the last observation probably began before a jump and ended
	// after it, so that no plan may use the estimate.
	mixed bool
	// lastDistance is the last observation's distance from the estimate before it.
	lastDistance float64
}

func newPopularity(sets, experts int) *popularity {
	p := &popularity{experts: experts, sets: make([]estimate, sets)}
	for i := range p.sets {
		p.sets[i].shares, p.sets[i].pending = make([]float64, experts), make([]float64, experts)
	}
	return p
}

// observe updates the estimates with one poll of all ranks and with the sums that
// delegates have reported since the previous poll. It reports whether popularity has
// jumped.
func (p *popularity) observe(reports []engineReport, sums [][]float64, now time.Time) bool {
	counts := make([]float64, len(p.sets)*p.experts)
	for _, report := range reports {
		p.increments.add(counts, report)
	}
	for _, sum := range sums {
		if len(sum) != len(counts) {
			continue
		}
		for i, n := range sum {
			counts[i] += n
		}
	}
	jumped := false
	for i := range p.sets {
		jumped = p.sets[i].update(counts[i*p.experts:(i+1)*p.experts], now) || jumped
	}
	return jumped
}

// update merges an observation into the estimate and reports whether popularity has
// jumped. An observation with too few counts is added to the next one.
//
// When popularity jumps in the middle of an observation, the counts are a mixture of
// the old and the new popularity. A map planned from them balances neither, and
// copying its experts for half a second delays the right one. An observation that
// shows a jump is therefore not used for planning, but the next one is. If the
// observation before it was already such a mixture (see partialJumpDistance), the one
// that shows the jump is used.
func (e *estimate) update(counts []float64, now time.Time) bool {
	n := 0.0
	for i, c := range e.pending {
		counts[i] += c
		n += counts[i]
	}
	if n < minCountsPerExpert*float64(len(counts)) {
		copy(e.pending, counts)
		return false
	}
	clear(e.pending)
	distance := e.distance(counts, n)
	jumped := e.weight > 0 && distance > jumpThreshold(len(counts), n)
	oldWeight := e.weight * math.Exp(-now.Sub(e.updatedAt).Seconds()/decayTime.Seconds())
	if jumped || e.mixed {
		oldWeight = 0
	}
	e.mixed = jumped && !e.mixed && e.lastDistance < partialJumpDistance
	e.lastDistance = distance
	for i, c := range counts {
		e.shares[i] = (e.shares[i]*oldWeight + c) / (oldWeight + n)
	}
	e.weight, e.updatedAt = oldWeight+n, now
	return jumped
}

// jumpThreshold returns the distance beyond which an observation of n choices among
// the given number of experts counts as a jump.
func jumpThreshold(experts int, n float64) float64 {
	return min(jumpDistance+math.Sqrt(float64(experts)/n), maxJumpDistance)
}

// distance returns the sum of the absolute differences of all shares, which is at
// most 2.
func (e *estimate) distance(counts []float64, n float64) float64 {
	sum := 0.0
	for i, c := range counts {
		sum += math.Abs(c/n - e.shares[i])
	}
	return sum
}

// known reports whether every set has an estimate that plans may use.
func (p *popularity) known() bool {
	for i := range p.sets {
		if p.sets[i].weight == 0 || p.sets[i].mixed {
			return false
		}
	}
	return true
}

// shares returns the experts' shares by set.
func (p *popularity) shares() [][]float64 {
	out := make([][]float64, len(p.sets))
	for i := range p.sets {
		out[i] = p.sets[i].shares
	}
	return out
}
