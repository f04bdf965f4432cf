// Package batch says how many requests an engine that works in passes may write
// at once so that its streams keep their pace.
package batch

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// JumpSkew is the load of the most loaded rank over the mean that a batch
	// must bear. When the popularity of experts jumps, 2.4 to 3 were seen
	// until the next map is in force half a second later; a planned map has
	// 1.2 to 1.4.
	JumpSkew = 1.7
	// CalmSkew is the skew of a planned map.
	CalmSkew = 1.3
	// SlowFrom is the pace from which an engine counts as slow. Engines report
	// their pace rounded, and maps and allowances would change for nothing if
	// they followed each tenth.
	SlowFrom = 1.2
	// wayMargin is kept of the pause between events for their way to the
	// caller and for the reading of other prompts.
	wayMargin = 10 * time.Millisecond
)

// Pass returns how long a pass takes that writes the given number of requests,
// when the most loaded rank has skew times the mean load of experts.
func Pass(e *routing.Engine, writers int, skew float64) time.Duration {
	context := float64(e.MeanPrompt+e.MeanOutput) / 1000
	each := float64(e.PerSequence) + context*float64(e.PerThousandTokens)
	step := float64(e.Step) + float64(writers)*each
	share := e.Experts.Share
	return time.Duration(float64(e.Stride) * step * (1 - share + share*skew))
}

// MostWriters returns how many requests an engine may write at once.
//
// Load: arrivals near or beyond what the group bears, with popularity that jumps.
// Each further writer makes every pass longer, on all ranks of the group. Harm
// prevented: with full batches one jump pushes a pass over the longest pause that
// callers bear, and every stream that is under way is late; with fewer writers
// the passes stay below it, at a tenth less throughput. Limits: a gap of zero
// means no bound, and at least one request is always written.
func MostWriters(e *routing.Engine, gap time.Duration) int {
	if gap <= 0 || e.Slots <= 0 {
		return max(1, e.Slots)
	}
	n := 1
	for n < e.Slots && Pass(e, n+1, JumpSkew) <= gap-wayMargin {
		n++
	}
	return n
}

// MostAtPace returns how many requests an engine may write that is pace times
// slower than usual, so that its passes keep within gap with a planned map. It may
// be none. A gap of zero means no bound.
func MostAtPace(e *routing.Engine, gap time.Duration, pace float64) int {
	if gap <= 0 {
		return e.Slots
	}
	n := 0
	for n < e.Slots && float64(Pass(e, n+1, CalmSkew))*pace <= float64(gap-wayMargin) {
		n++
	}
	return n
}
