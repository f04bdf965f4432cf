package expertmap

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// ErrInvalidLoad is returned for expert loads that do not match the layer, are
// negative or are not finite.
var ErrInvalidLoad = eris.New("expertmap: invalid expert loads")

// PopularityEstimator estimates the load of each expert as an exponentially
// weighted moving average of the observed counts. It is not safe for concurrent
// use.
type PopularityEstimator struct {
	// tau is the time constant of the moving average.
	tau    time.Duration
	layers []estimate
}

// estimate is the state of the estimator for one layer.
type estimate struct {
	// load is the estimated load of each expert.
	load []float64
	// observedAt is the time of the latest observation, zero before the first.
	observedAt time.Time
	// meanSqChange is the mean square of the relative change of an expert's
	// load between consecutive observations, weighted by load.
	meanSqChange float64
	// lastCounts holds the counts of the latest observation.
	lastCounts []float64
}

// NewPopularityEstimator returns an estimator for the given numbers of layers
// and experts per layer. The weight of an observation decays to 1/e after the
// time constant tau. If tau is zero or negative, the estimate is the latest
// observation.
func NewPopularityEstimator(layers, experts int, tau time.Duration) *PopularityEstimator {
	p := &PopularityEstimator{tau: tau, layers: make([]estimate, layers)}
	for i := range p.layers {
		p.layers[i].load = make([]float64, experts)
	}
	return p
}

// Observe updates the estimate of a layer with the mean counts per step
// measured up to now. The first observation replaces the initial estimate. An
// observation older than the latest one is treated as having the time of the
// latest one. Observe returns ErrInvalidLoad if the layer does not exist, the
// number of counts is wrong, or a count is negative or not finite.
func (p *PopularityEstimator) Observe(layer int, counts []float64, now time.Time) error {
	if layer < 0 || layer >= len(p.layers) || len(counts) != len(p.layers[layer].load) {
		return eris.Wrapf(ErrInvalidLoad, "layer %d has %d counts", layer, len(counts))
	}
	if err := checkValues(counts); err != nil {
		return err
	}
	e := &p.layers[layer]
	e.updateChange(counts)
	weight := p.observationWeight(e.observedAt, now)
	for i, c := range counts {
		e.load[i] += weight * (c - e.load[i])
	}
	if now.After(e.observedAt) {
		e.observedAt = now
	}
	return nil
}

// changeWeight is the weight of the latest observation in the moving average
// meanSqChange.
const changeWeight = 0.1

// updateChange updates meanSqChange with the change from the previous counts.
func (e *estimate) updateChange(counts []float64) {
	if e.lastCounts == nil {
		e.lastCounts = append([]float64(nil), counts...)
		return
	}
	sum, weight := 0.0, 0.0
	for i, c := range counts {
		if mean := (c + e.lastCounts[i]) / 2; mean > 0 {
			d := (c - e.lastCounts[i]) / mean
			sum += mean * d * d
			weight += mean
		}
	}
	if weight > 0 && e.meanSqChange == 0 {
		e.meanSqChange = sum / weight
	} else if weight > 0 {
		e.meanSqChange += changeWeight * (sum/weight - e.meanSqChange)
	}
	copy(e.lastCounts, counts)
}

// Drift returns the standard deviation, relative to an expert's load, of the
// difference between the latest observation and the load while a map planned
// from it is in use. It returns zero before the second observation.
//
// The load is modeled as Brownian motion with unit variance per unit time.
// Counts are averages over the last quarter of an interval of length T. The
// difference between the counts of two consecutive intervals therefore has the
// variance T - T/12. A map planned at the end of an interval takes effect about
// T/4 later and is used for T, so the difference between the load and the
// counts has an average variance of T/12 + T/4 + T/2.
func (p *PopularityEstimator) Drift(layer int) float64 {
	const varianceRatio = (1.0/12 + 1.0/4 + 1.0/2) / (1 - 1.0/12)
	return math.Sqrt(varianceRatio * p.layers[layer].meanSqChange)
}

// observationWeight returns the weight in the moving average of an observation
// made at now, when the previous one was made at last.
func (p *PopularityEstimator) observationWeight(last, now time.Time) float64 {
	if last.IsZero() || p.tau <= 0 {
		return 1
	}
	dt := max(now.Sub(last), 0)
	return 1 - math.Exp(-dt.Seconds()/p.tau.Seconds())
}

// Observed reports whether every layer has been observed at least once.
func (p *PopularityEstimator) Observed() bool {
	for _, e := range p.layers {
		if e.observedAt.IsZero() {
			return false
		}
	}
	return true
}

// Layers returns the number of layers.
func (p *PopularityEstimator) Layers() int { return len(p.layers) }

// Load returns a copy of the estimated load of each expert of a layer.
func (p *PopularityEstimator) Load(layer int) []float64 {
	return append([]float64(nil), p.layers[layer].load...)
}

// checkValues returns ErrInvalidLoad if a load is negative or not finite.
func checkValues(load []float64) error {
	for e, v := range load {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return eris.Wrapf(ErrInvalidLoad, "expert %d has load %v", e, v)
		}
	}
	return nil
}
