package directory

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// Guards against an address whose former endpoint is not found, or kept forever, as entries come, move
// and vanish.
func TestIndexOfAddressesFollowsTheEntries(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	d := Directory{RetentionAfterOutage: time.Second}
	now := time.Unix(1000, 0)
	for i := range 5000 {
		now = now.Add(10 * time.Millisecond)
		id := fmt.Sprint("i", rng.IntN(20))
		switch rng.IntN(6) {
		case 0:
			d.Remove(id, now)
		case 1:
			d.StoreRecovered(now)
		case 2:
			d.Endpoints(now)
		default:
			d.Put(Entry{ID: id, StartMillis: uint64(100 + i - rng.IntN(40)), Address: fmt.Sprint("a", rng.IntN(10))}, now)
		}
		want := map[string]map[string]bool{}
		for id, rec := range d.entries {
			if want[rec.endpoint.Address] == nil {
				want[rec.endpoint.Address] = map[string]bool{}
			}
			want[rec.endpoint.Address][id] = true
		}
		if len(want)+len(d.byAddress) > 0 && !reflect.DeepEqual(d.byAddress, want) {
			t.Fatalf("step %d: %v, want %v", i, d.byAddress, want)
		}
	}
}

// The first listing after all endpoints have started again, while their former entries are still
// listed, by the number of endpoints.
func BenchmarkPutAfterRestart(b *testing.B) {
	for _, n := range []int{540, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var d Directory
				for i := range 2 * n {
					d.Put(Entry{ID: fmt.Sprint("i", i), StartMillis: uint64(1 + i/n), Address: fmt.Sprint("a", i%n)}, time.Unix(1000, 0))
				}
			}
		})
	}
}
