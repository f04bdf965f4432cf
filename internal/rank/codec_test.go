package rank

import (
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// largeMap returns a map of 58 layers for 128 ranks. Each layer is solved for a
// load with a different most popular expert.
func largeMap(tb testing.TB, version uint64) *expertmap.Map {
	tb.Helper()
	layers := make([]*expertmap.Layer, 58)
	for i := range layers {
		load := make([]float64, 128)
		for e := range load {
			load[(e+i)%128] = float64(1 + e)
		}
		l, err := expertmap.Solve(expertmap.Shape{Ranks: 128, Slots: 2, Experts: 128}, load, expertmap.LoadVariance{})
		if err != nil {
			tb.Fatal(err)
		}
		layers[i] = l
	}
	m, err := expertmap.NewMap(version, layers)
	if err != nil {
		tb.Fatal(err)
	}
	return m
}

// withMovedReplicas returns a map with new shares in all layers and a new
// placement in the first.
func withMovedReplicas(t *testing.T, m *expertmap.Map) *expertmap.Map {
	t.Helper()
	load := make([]float64, 128)
	for e := range load {
		load[e] = float64(1 + e%7)
	}
	var layers []*expertmap.Layer
	for i := range m.Layers() {
		moves := 0
		if i == 0 {
			moves = 1
		}
		imp, err := expertmap.Improve(m.Layer(i), load, expertmap.LoadVariance{}, moves, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		layers = append(layers, imp.Layer())
	}
	next, err := expertmap.NewMap(m.Version()+1, layers)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestMapRoundTripWholeOrDelta(t *testing.T) {
	base := largeMap(t, 1<<40)
	next := withMovedReplicas(t, base)
	for _, c := range []struct {
		name string
		base *expertmap.Map
	}{{"whole", nil}, {"changes", base}} {
		t.Run(c.name, func(t *testing.T) {
			got, err := mapFromProto(mapToProto(next, c.base), c.base)
			if err != nil {
				t.Fatal(err)
			}
			if naming.RefOf(got) != naming.RefOf(next) {
				t.Errorf("got %v, want %v", naming.RefOf(got), naming.RefOf(next))
			}
		})
	}
	if _, err := mapFromProto(mapToProto(next, base), nil); err == nil {
		t.Error("decoded a map without its base")
	}
	if whole, changes := MapBytes(next, nil), MapBytes(next, base); changes*4 > whole*3 {
		t.Errorf("changes take %d bytes, the whole map %d", changes, whole)
	}
}

// BenchmarkMapBytes reports the size in bytes of a whole map and of the changes
// to the next one, which has the same placement.
func BenchmarkMapBytes(b *testing.B) {
	m := largeMap(b, 1<<40)
	for b.Loop() {
		b.ReportMetric(float64(MapBytes(m, nil)), "bytes/map")
		b.ReportMetric(float64(MapBytes(m.WithVersion(1<<40+1), m)), "bytes/changes")
	}
}
