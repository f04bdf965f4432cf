package config

import (
	"fmt"
	"testing"
)

// headOfSize returns a head with n endpoints out of service and a full list of
// recent changes.
func headOfSize(b *testing.B, n int) Head {
	h := mustApply(b, Head{}, "day", PutPreset{Name: "day", Body: []byte("d")})
	for i := range n {
		h = mustApply(b, h, fmt.Sprint("out", i), TakeOutOfService{Target: Endpoint(fmt.Sprint("endpoint-", i))})
	}
	for i := range maxRecent {
		h = mustApply(b, h, fmt.Sprint("c", i), SwitchPreset{Name: "day"})
	}
	return h
}

func BenchmarkJoinHeads(b *testing.B) {
	for _, n := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			old := headOfSize(b, n)
			h := mustApply(b, old, "next", TakeOutOfService{Target: DataCentre("north")})
			for b.Loop() {
				JoinHeads(old, h)
			}
			b.ReportMetric(float64(len(h.Encode())), "bytes/head")
		})
	}
}

func BenchmarkDecodeHead(b *testing.B) {
	for _, n := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			enc := headOfSize(b, n).Encode()
			b.SetBytes(int64(len(enc)))
			for b.Loop() {
				if _, err := DecodeHead(enc); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
