package expertmap

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

func randomLoad(rng *rand.Rand, n int) []float64 {
	load := make([]float64, n)
	for e := range load {
		load[e] = 1 + rng.ExpFloat64()*99
	}
	return load
}

func BenchmarkImprove(b *testing.B) {
	for _, s := range []Shape{{8, 5, 32}, {32, 3, 64}, {128, 2, 128}} {
		b.Run(s.name(), func(b *testing.B) {
			rng := rand.New(rand.NewSource(1))
			l, err := Solve(s, randomLoad(rng, s.Experts), LoadVariance{})
			if err != nil {
				b.Fatal(err)
			}
			load := randomLoad(rng, s.Experts)
			for b.Loop() {
				if _, err := Improve(l, load, LoadVariance{Drift: 0.05}, 16, 1e-4, 0.01); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSolve(b *testing.B) {
	for _, s := range []Shape{{8, 5, 32}, {32, 3, 64}, {128, 2, 128}} {
		b.Run(s.name(), func(b *testing.B) {
			load := randomLoad(rand.New(rand.NewSource(1)), s.Experts)
			for b.Loop() {
				if _, err := Solve(s, load, LoadVariance{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// name returns a name for subtests and sub-benchmarks.
func (s Shape) name() string {
	l := Layer{shape: s}
	return l.String()
}

func BenchmarkPlan(b *testing.B) {
	for _, layers := range []int{1, 58} {
		b.Run(fmt.Sprintf("%d_layers", layers), func(b *testing.B) {
			benchmarkPlan(b, layers)
		})
	}
}

// benchmarkPlan measures NewPlan for 128 ranks and 128 experts in each of n
// layers, after the popularity has drifted by about 10%, as it does within some
// minutes.
func benchmarkPlan(b *testing.B, n int) {
	rng := rand.New(rand.NewSource(1))
	shape := Shape{128, 2, 128}
	pop := NewPopularityEstimator(n, shape.Experts, 0)
	layers := make([]*Layer, n)
	for i := range layers {
		load := randomLoad(rng, shape.Experts)
		l, err := Solve(shape, load, LoadVariance{})
		if err != nil {
			b.Fatal(err)
		}
		layers[i] = l
		for e := range load {
			load[e] *= math.Exp(0.1 * rng.NormFloat64())
		}
		if err := pop.Observe(i, load, time.Unix(1, 0)); err != nil {
			b.Fatal(err)
		}
	}
	current, err := NewMap(1, layers)
	if err != nil {
		b.Fatal(err)
	}
	limits := Limits{
		ExpertBytes: 45_000_000, StoreBandwidth: 100_000_000, MaxStagingTime: 10 * time.Second,
		MapLifetime: time.Hour, LoadingSlowdown: 0.2, SkewTolerance: 0.01,
	}
	for b.Loop() {
		if _, err := NewPlan(current, pop, limits, time.Unix(2, 0)); err != nil {
			b.Fatal(err)
		}
	}
}
