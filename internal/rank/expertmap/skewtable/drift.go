package skewtable

import (
	"math"
	"math/rand"
	"time"
)

// spread is the standard deviation of the logarithm of an expert's popularity.
// With 0.7 the most popular of 128 experts has four to five times the mean.
const spread = 0.7

// drift is the popularity of the experts of one layer as it changes.
type drift struct {
	rng         *rand.Rand
	log         []float64
	correlation time.Duration
}

func newDrift(experts int, correlation time.Duration, seed int64) *drift {
	d := &drift{
		rng:         rand.New(rand.NewSource(seed)),
		log:         make([]float64, experts),
		correlation: correlation,
	}
	for e := range d.log {
		d.log[e] = spread * d.rng.NormFloat64()
	}
	return d
}

// advance moves the popularity on by dt.
func (d *drift) advance(dt time.Duration) {
	keep := math.Exp(-dt.Seconds() / d.correlation.Seconds())
	noise := spread * math.Sqrt(1-keep*keep)
	for e := range d.log {
		d.log[e] = keep*d.log[e] + noise*d.rng.NormFloat64()
	}
}

// expected returns the mean tokens of each expert in a step of n tokens.
func (d *drift) expected(n float64) []float64 {
	out := make([]float64, len(d.log))
	sum := 0.0
	for e, v := range d.log {
		out[e] = math.Exp(v)
		sum += out[e]
	}
	for e := range out {
		out[e] *= n / sum
	}
	return out
}

// draw returns the mean counts over steps drawn with the expected counts, by
// the normal approximation of the multinomial distribution.
func (d *drift) draw(expected []float64, steps float64) []float64 {
	out := make([]float64, len(expected))
	for e, m := range expected {
		out[e] = max(0, m+math.Sqrt(m/steps)*d.rng.NormFloat64())
	}
	return out
}
