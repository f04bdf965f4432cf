package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
)

// storeOf returns a store after a preset and a number of changes, of which
// outs targets stay out of service.
func storeOf(tb testing.TB, changes, outs int) *config.Store {
	tb.Helper()
	var h config.Head
	body := []byte("[preset]\n")
	for i := range changes {
		o := config.Order{ChangeID: fmt.Sprintf("change-%026d", i), By: "operator"}
		t := config.Endpoint(fmt.Sprintf("endpoint-%d", i%max(1, outs)))
		switch {
		case i == 0:
			o.Change = config.PutPreset{Name: "ordinary", Body: body}
		case i <= outs:
			o.Change = config.TakeOut{Target: t}
		default:
			o.Change = config.SwitchPreset{Name: "ordinary"}
		}
		n, err := config.Apply(h, o, time.UnixMicro(int64(i)))
		if err != nil {
			tb.Fatal(err)
		}
		h = n
	}
	s := &config.Store{}
	s.Offer(h, body)
	return s
}

func BenchmarkConfigDigest(b *testing.B) {
	for _, changes := range []int{1, 16, 256, 1024} {
		s := storeOf(b, changes, changes/2)
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(s.State())), "stateBytes")
			for b.Loop() {
				ConfigDigest(s)
			}
		})
	}
}

// An operator takes an endpoint out, and an entry goes on sending it work: the
// digest that its agent reports was worked out before the change, so the entry
// sees nothing to exchange.
func TestConfigDigestFollowsEachChange(t *testing.T) {
	s := storeOf(t, 3, 1)
	before := ConfigDigest(s)
	if ConfigDigest(s) != before {
		t.Error("the digest changed by itself")
	}
	h := s.Current().Head()
	o := config.Order{ChangeID: "out", By: "operator", Change: config.TakeOut{Target: config.Endpoint("e")}}
	n, err := config.Apply(h, o, time.UnixMicro(9))
	if err != nil {
		t.Fatal(err)
	}
	s.Offer(n)
	if ConfigDigest(s) == before {
		t.Error("the digest stayed after a change")
	}
	if again := storeOf(t, 3, 1); ConfigDigest(again) != before {
		t.Error("equal configurations have different digests")
	}
	missing := &config.Store{}
	missing.Offer(n)
	if ConfigDigest(missing) == ConfigDigest(s) {
		t.Error("a store that lacks a part has the digest of one that has it")
	}
}

func TestConfigDigestDoesNotAllocate(t *testing.T) {
	s := storeOf(t, 64, 32)
	if n := testing.AllocsPerRun(100, func() { ConfigDigest(s) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
