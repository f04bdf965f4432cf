// Package batch computes the largest decode batch that an engine can run while
// the pause between the events of a stream stays within a bound.
package batch

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// DesignSkew is the load imbalance (load of the busiest rank over the mean)
	// that a batch is sized for. After a sudden change in expert popularity,
	// 2.4 to 3 were observed until the next expert map took effect half a second
	// later; a planned map has 1.2 to 1.4.
	DesignSkew = 1.7
	// PlannedSkew is the load imbalance of a planned expert map.
	PlannedSkew = 1.3
	// SlowdownThreshold is the slowdown factor from which an engine counts as slow.
	// Engines report their slowdown rounded; without the threshold, expert maps
	// and allowances would change with every reported tenth of slowdown, for no
	// benefit.
	SlowdownThreshold = 1.2
	// DeliveryMargin is the part of the longest tolerated pause that is
	// reserved for delivery to the caller and for prefill of other prompts.
	DeliveryMargin = 10 * time.Millisecond
)

// PassDuration returns the duration of one pass, which is e.Stride token steps, over
// a batch of the given size. The parameter skew is the load imbalance of the
// experts: the load of the busiest rank over the mean.
func PassDuration(e *routing.Engine, size int, skew float64) time.Duration {
	context := float64(e.MeanPrompt+e.MeanOutput) / 1000
	perRequest := float64(e.PerSequence) + context*float64(e.PerThousandTokens)
	step := float64(e.Step) + float64(size)*perRequest
	share := e.Experts.Share
	return time.Duration(float64(e.Stride) * step * (1 - share + share*skew))
}

// MaxBatch returns the largest batch for which a pass takes at most maxPause less
// DeliveryMargin at an imbalance of DesignSkew. The result is at most e.Slots, but
// at least 1. A maxPause of zero means no bound.
//
// Each request added to a batch lengthens every pass on all ranks of the group.
// With full batches, one change in expert popularity under high load makes passes
// longer than maxPause, the longest pause between events that callers tolerate, and
// all running streams are late. Smaller batches keep passes below it and cost a tenth
// of the throughput.
func MaxBatch(e *routing.Engine, maxPause time.Duration) int {
	if maxPause <= 0 || e.Slots <= 0 {
		return max(1, e.Slots)
	}
	n := 1
	for n < e.Slots && PassDuration(e, n+1, DesignSkew) <= maxPause-DeliveryMargin {
		n++
	}
	return n
}

// MaxBatchAtSlowdown returns the largest batch for which a pass takes at most
// maxPause less DeliveryMargin at an imbalance of PlannedSkew, on an engine that is
// slower than usual by the factor slowdown. It may be 0. A maxPause of zero means no
// bound.
func MaxBatchAtSlowdown(e *routing.Engine, maxPause time.Duration, slowdown float64) int {
	if maxPause <= 0 {
		return e.Slots
	}
	n := 0
	for n < e.Slots && float64(PassDuration(e, n+1, PlannedSkew))*slowdown <= float64(maxPause-DeliveryMargin) {
		n++
	}
	return n
}
