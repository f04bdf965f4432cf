package allowance

import (
	"slices"
	"time"
)

const (
	// tokenWindow is how many first-token times the median is taken over: odd,
	// so that it is one of them, and large enough that a handful of long
	// prompts doesn't move it.
	tokenWindow = 31
	// tokenLeast is how many times must be known before any counts as slow.
	tokenLeast = 15
	// slowFactor is how many medians count as slow. Prompts differ by a few
	// times in length; cold engines answer tens of times later.
	slowFactor = 4
	// slowFloor keeps engines with first tokens of a few milliseconds from
	// being called cold for a pause of the scheduler.
	slowFloor = 50 * time.Millisecond
	// slowRow is how many slow ones in a row mean cold: one long prompt is
	// ordinary, three in a row without a quick one between them are not.
	slowRow = 3
)

// firstTokens detects that first tokens became slow all at once, against the
// running median of a warm endpoint.
//
// Decision, for an endpoint that turned cold without announcing it and still
// accepts connections. Harm prevented: full load on it. Times of a cold start
// don't enter the median, and a detection forgets it, so that a lasting change
// of prompts costs one cold start and not one after another.
type firstTokens struct {
	times []time.Duration
	next  int
	row   int
}

// slow adds d and says whether it makes the endpoint cold.
func (f *firstTokens) slow(d time.Duration) bool {
	if len(f.times) >= tokenLeast && d > max(slowFloor, slowFactor*f.median()) {
		f.row++
		return f.row >= slowRow
	}
	f.row = 0
	f.add(d)
	return false
}

func (f *firstTokens) add(d time.Duration) {
	if len(f.times) < tokenWindow {
		f.times = append(f.times, d)
		return
	}
	f.times[f.next] = d
	f.next = (f.next + 1) % tokenWindow
}

// median returns the middle of the known times, zero when there are none.
func (f *firstTokens) median() time.Duration {
	if len(f.times) == 0 {
		return 0
	}
	sorted := slices.Clone(f.times)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func (f *firstTokens) reset() {
	f.times = f.times[:0]
	f.next = 0
	f.row = 0
}
