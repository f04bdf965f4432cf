package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
)

// newStore returns a store with a preset and the given number of changes. The first
// changes after the preset take outOfService targets out of service.
func newStore(tb testing.TB, changes, outOfService int) *config.Store {
	tb.Helper()
	var h config.Head
	body := []byte("[preset]\n")
	for i := range changes {
		o := config.Order{ChangeID: fmt.Sprintf("change-%026d", i), By: "operator"}
		t := config.Endpoint(fmt.Sprintf("endpoint-%d", i%max(1, outOfService)))
		switch {
		case i == 0:
			o.Change = config.PutPreset{Name: "ordinary", Body: body}
		case i <= outOfService:
			o.Change = config.TakeOutOfService{Target: t}
		default:
			o.Change = config.SwitchPreset{Name: "ordinary"}
		}
		next, err := config.Apply(h, o, time.UnixMicro(int64(i)))
		if err != nil {
			tb.Fatal(err)
		}
		h = next
	}
	s := &config.Store{}
	s.Merge(h, body)
	return s
}

func BenchmarkConfigDigest(b *testing.B) {
	for _, changes := range []int{1, 16, 256, 1024} {
		s := newStore(b, changes, changes/2)
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(s.FullMessage())), "stateBytes")
			for b.Loop() {
				ConfigDigest(s)
			}
		})
	}
}

// Guards against an entry that keeps sending work to an endpoint that an operator has
// taken out of service: its agent reports a digest computed before the change, so the
// entry finds nothing to exchange.
func TestConfigDigestFollowsEachChange(t *testing.T) {
	s := newStore(t, 3, 1)
	before := ConfigDigest(s)
	if ConfigDigest(s) != before {
		t.Error("digest changed without a change of the configuration")
	}
	h := s.Current().Head()
	o := config.Order{ChangeID: "out", By: "operator", Change: config.TakeOutOfService{Target: config.Endpoint("e")}}
	next, err := config.Apply(h, o, time.UnixMicro(9))
	if err != nil {
		t.Fatal(err)
	}
	s.Merge(next)
	if ConfigDigest(s) == before {
		t.Error("digest did not change with the configuration")
	}
	if again := newStore(t, 3, 1); ConfigDigest(again) != before {
		t.Error("equal configurations have different digests")
	}
	incomplete := &config.Store{}
	incomplete.Merge(next)
	if ConfigDigest(incomplete) == ConfigDigest(s) {
		t.Error("a store without a part has the same digest as one with it")
	}
}

func TestConfigDigestDoesNotAllocate(t *testing.T) {
	s := newStore(t, 64, 32)
	if n := testing.AllocsPerRun(100, func() { ConfigDigest(s) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
