package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestChooseDoesNotAllocate(t *testing.T) {
	balancer := newBalancer(630, epoch)
	q := Query{Route: "model", Tokens: 500, Excluded: []string{name(5)}}
	for _, q.Prefix = range []uint64{0, 7} {
		if n := testing.AllocsPerRun(100, func() { balancer.Choose(q, epoch) }); n != 0 {
			t.Errorf("Choose made %v allocations, want 0", n)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{15, 90, 630, 12000} {
		balancer := newBalancer(n, epoch)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range n {
			r := idleReport(i, epoch)
			r.Running = rng.IntN(8)
			balancer.Update(r, epoch)
		}
		for _, prefix := range []uint64{0, 7} {
			b.Run(fmt.Sprintf("endpoints=%d/prefix=%d", n, prefix), func(b *testing.B) {
				q := query
				b.ReportAllocs()
				for i := range b.N {
					q.Prefix = prefix * uint64(i)
					balancer.Choose(q, epoch)
				}
			})
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	balancer := newBalancer(630, epoch)
	r := idleReport(5, epoch)
	b.ReportAllocs()
	for b.Loop() {
		balancer.Update(r, epoch)
	}
}
