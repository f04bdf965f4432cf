package ranker

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

// Guards against entries that are not told of a group that stands, and against telling them of one that makes
// steps or has none to make.
func TestLeaderMeasuresForHowLongItsGroupStands(t *testing.T) {
	held := uint64(8)
	const lasting = 2 * time.Second
	for name, c := range map[string]struct {
		step    func(i uint64) uint64
		holds   bool
		running int
		seen    []bool
		want    time.Duration
	}{
		"held, standing":                     {func(uint64) uint64 { return 7 }, true, 3, []bool{true, true}, lasting},
		"held, a rank missing":               {func(uint64) uint64 { return 7 }, true, 0, []bool{true, false}, lasting},
		"held, the first poll":               {func(i uint64) uint64 { return i * 7 / 20 }, true, 3, []bool{true, true}, time.Millisecond},
		"held, steps before":                 {func(i uint64) uint64 { return min(6, i) }, true, 3, []bool{true, true}, 0},
		"the rank that holds may be missing": {func(uint64) uint64 { return 7 }, false, 3, []bool{true, false}, lasting},
		"idle, a rank missing":               {func(uint64) uint64 { return 7 }, false, 0, []bool{true, false}, 0},
		"going on, a rank missing":           {func(i uint64) uint64 { return i }, false, 3, []bool{true, false}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var g groupStand
			now, stood := time.Unix(1000, 0), time.Duration(0)
			for i := range uint64(lasting/pollInterval) + 1 {
				s := lockstep.State{Step: c.step(i), Running: c.running}
				if c.holds {
					s.Held = &held
				}
				stood = g.observe([]lockstep.State{s, {}}, c.seen, now)
				now = now.Add(pollInterval)
			}
			if stood != c.want {
				t.Errorf("stood for %v, want %v", stood, c.want)
			}
		})
	}
}
