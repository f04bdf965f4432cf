package expertmap

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// ErrObservation is returned for counts that don't fit the estimator.
var ErrObservation = eris.New("expertmap: the counts don't fit the layer")

// Popularity estimates the load of each expert by an exponentially weighted
// mean of the observed counts. It is not safe for concurrent use.
type Popularity struct {
	tau    time.Duration
	layers []estimate
}

type estimate struct {
	load []float64
	last time.Time
	// change is the mean square of the relative change of an expert's load
	// from one observation to the next, weighted by load.
	change float64
	// seen is the newest observation.
	seen []float64
}

// NewPopularity returns an estimator for the given numbers of layers and
// experts. An observation's weight falls to 1/e after tau; a tau of zero keeps
// the newest observation alone.
func NewPopularity(layers, experts int, tau time.Duration) *Popularity {
	p := &Popularity{tau: tau, layers: make([]estimate, layers)}
	for i := range p.layers {
		p.layers[i].load = make([]float64, experts)
	}
	return p
}

// Observe adds the mean counts a step that were seen in a layer up to now. The
// first observation is taken as it is. It returns ErrObservation for a layer
// that is not there, a wrong number of counts or a count that is negative or
// not finite. An observation older than the newest one is taken as being of
// the newest one's time.
func (p *Popularity) Observe(layer int, counts []float64, now time.Time) error {
	if layer < 0 || layer >= len(p.layers) || len(counts) != len(p.layers[layer].load) {
		return eris.Wrapf(ErrObservation, "layer %d, %d counts", layer, len(counts))
	}
	if err := checkLoad(counts); err != nil {
		return err
	}
	e := &p.layers[layer]
	e.note(counts)
	a := p.gain(e.last, now)
	for i, c := range counts {
		e.load[i] += a * (c - e.load[i])
	}
	if now.After(e.last) {
		e.last = now
	}
	return nil
}

// changeGain is the weight of the newest observation in the estimate of drift.
const changeGain = 0.1

func (e *estimate) note(counts []float64) {
	if e.seen == nil {
		e.seen = append([]float64(nil), counts...)
		return
	}
	sum, weight := 0.0, 0.0
	for i, c := range counts {
		if mid := (c + e.seen[i]) / 2; mid > 0 {
			d := (c - e.seen[i]) / mid
			sum += mid * d * d
			weight += mid
		}
	}
	if weight > 0 && e.change == 0 {
		e.change = sum / weight
	} else if weight > 0 {
		e.change += changeGain * (sum/weight - e.change)
	}
	copy(e.seen, counts)
}

// Drift returns the standard deviation, as a part of an expert's load, by which
// the load differs from the newest observation while a map planned from it is in
// force, or zero before the second observation.
//
// If loads wander like Brownian motion, two counts over the last quarter of an
// interval of length T, an interval apart, differ by T - T/12 in variance. A map
// planned at the end takes force about T/4 later and stays for T, so the load
// differs by T/12 + T/4 + T/2 on average.
func (p *Popularity) Drift(layer int) float64 {
	const lag = (1.0/12 + 1.0/4 + 1.0/2) / (1 - 1.0/12)
	return math.Sqrt(lag * p.layers[layer].change)
}

func (p *Popularity) gain(last, now time.Time) float64 {
	if last.IsZero() || p.tau <= 0 {
		return 1
	}
	dt := max(now.Sub(last), 0)
	return 1 - math.Exp(-dt.Seconds()/p.tau.Seconds())
}

// Known reports whether every layer has been observed.
func (p *Popularity) Known() bool {
	for _, e := range p.layers {
		if e.last.IsZero() {
			return false
		}
	}
	return true
}

// Layers returns the number of layers.
func (p *Popularity) Layers() int { return len(p.layers) }

// Load returns the estimated load of each expert of a layer.
func (p *Popularity) Load(layer int) []float64 {
	return append([]float64(nil), p.layers[layer].load...)
}

func checkLoad(load []float64) error {
	for e, v := range load {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return eris.Wrapf(ErrObservation, "expert %d has load %v", e, v)
		}
	}
	return nil
}
