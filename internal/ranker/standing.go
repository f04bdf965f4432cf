package ranker

import (
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

// minUnheldStand is how long a group must have made no step to count as standing if no rank is seen to hold
// the next one, because the rank that holds it may be missing. The longest passes last most of a second.
const minUnheldStand = time.Second

// groupStand tracks for how long a group has stood, as its leader sees it.
type groupStand struct {
	// step is the last step that had begun when the group was last found standing, and since when that was
	// first the case. since is zero while the group goes on.
	step  uint64
	since time.Time
}

// observe records the states of the ranks that were seen at the time now, and returns for how long the group
// has stood at a held step. Entries are told, as requests for a group that stands can't be run, and can't be
// taken back from an engine whose VM freezes before the group goes on.
func (g *groupStand) observe(ranks []lockstep.State, seen []bool, now time.Time) time.Duration {
	latest, running := uint64(0), 0
	for i, ok := range seen {
		if ok {
			latest, running = max(latest, ranks[i].Step), running+ranks[i].Running
		}
	}
	held := holdsStep(ranks, seen, latest+1)
	if !held && (running == 0 || !slices.Contains(seen, false)) {
		g.since = time.Time{}
		return 0
	}
	if g.since.IsZero() || g.step != latest {
		g.step, g.since = latest, now
	}
	stood := now.Sub(g.since)
	if !held && stood < minUnheldStand {
		return 0
	}
	return max(stood, time.Millisecond) // a group that is first seen may have stood for long
}

// holdsStep reports whether a rank that was seen holds a step.
func holdsStep(ranks []lockstep.State, seen []bool, step uint64) bool {
	for i, ok := range seen {
		if ok && ranks[i].Held != nil && *ranks[i].Held == step {
			return true
		}
	}
	return false
}
