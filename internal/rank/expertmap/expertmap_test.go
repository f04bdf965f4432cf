package expertmap

import (
	"math/rand"
	"testing"
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
			l, err := Solve(s, randomLoad(rng, s.Experts), Risk{})
			if err != nil {
				b.Fatal(err)
			}
			load := randomLoad(rng, s.Experts)
			for b.Loop() {
				if _, err := Improve(l, load, Risk{Drift: 0.05}, 16, 1e-4, 0.01); err != nil {
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
				if _, err := Solve(s, load, Risk{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func (s Shape) name() string {
	l := Layer{shape: s}
	return l.String()
}
