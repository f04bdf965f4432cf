package skewtable

import (
	"math"
	"math/rand"
	"time"
)

// logStdDev is the standard deviation of the logarithm of an expert's
// popularity. With 0.7, the most popular of 128 experts has four to five times
// the mean load.
const logStdDev = 0.7

// drift simulates the popularity of the experts of one layer over time.
type drift struct {
	rng             *rand.Rand
	logPopularity   []float64
	correlationTime time.Duration
}

func newDrift(experts int, correlationTime time.Duration, seed int64) *drift {
	d := &drift{
		rng:             rand.New(rand.NewSource(seed)),
		logPopularity:   make([]float64, experts),
		correlationTime: correlationTime,
	}
	for e := range d.logPopularity {
		d.logPopularity[e] = logStdDev * d.rng.NormFloat64()
	}
	return d
}

// advance moves the simulation forward by dt.
func (d *drift) advance(dt time.Duration) {
	decay := math.Exp(-dt.Seconds() / d.correlationTime.Seconds())
	noise := logStdDev * math.Sqrt(1-decay*decay)
	for e := range d.logPopularity {
		d.logPopularity[e] = decay*d.logPopularity[e] + noise*d.rng.NormFloat64()
	}
}

// expected returns the mean number of tokens of each expert in a step with n
// token assignments.
func (d *drift) expected(n float64) []float64 {
	out := make([]float64, len(d.logPopularity))
	sum := 0.0
	for e, v := range d.logPopularity {
		out[e] = math.Exp(v)
		sum += out[e]
	}
	for e := range out {
		out[e] *= n / sum
	}
	return out
}

// sampleMeans returns the sampled counts of each expert, averaged over the
// given number of steps with the expected counts. It uses the normal
// approximation of the multinomial distribution.
func (d *drift) sampleMeans(expected []float64, steps float64) []float64 {
	out := make([]float64, len(expected))
	for e, m := range expected {
		out[e] = max(0, m+math.Sqrt(m/steps)*d.rng.NormFloat64())
	}
	return out
}
