package concurrency

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// minSlotsDivisor sets the least limit to the slots of an engine divided by it.
	minSlotsDivisor = 3
	// maxSkew is the largest load imbalance that a batch can explain. After changes in popularity,
	// 2.3 to 3.5 were observed.
	maxSkew = 4
)

// Bounds are what the configuration says of the engines of a group. The zero value allows no
// limit.
type Bounds struct {
	// Min and Max bound the limit, in requests for each engine.
	Min, Max int
	// Base is the duration of a pass without decoding requests, and PerRequest is what one decoding
	// request on each engine adds when the ranks are evenly loaded.
	Base, PerRequest time.Duration
	// Pause is the longest pass that callers tolerate, and Longest the longest pass that a batch can
	// explain.
	Pause, Longest time.Duration
}

// NewBounds returns the bounds for the engine e and the longest pause between two events that
// callers tolerate. They allow no limit if the engine's speed or the pause is unknown.
func NewBounds(e *routing.Engine, maxPause time.Duration) Bounds {
	perRequest := batch.PassDuration(e, 1, 1) - batch.PassDuration(e, 0, 1)
	if maxPause <= 0 || e.Slots <= 0 || perRequest <= 0 {
		return Bounds{}
	}
	b := Bounds{
		Max:        batch.MaxBatch(e, maxPause),
		Base:       batch.PassDuration(e, 0, 1),
		PerRequest: perRequest,
		Pause:      maxPause - batch.DeliveryMargin,
	}
	b.Min = min(b.Max, (e.Slots+minSlotsDivisor-1)/minSlotsDivisor)
	b.Longest = batch.PassDuration(e, 0, 1) + readingTime(e, e.Stride*e.PrefillChunk) +
		time.Duration(float64(e.Slots)*(1+e.Experts.Share*(maxSkew-1))*float64(perRequest))
	return b
}

// readingTime returns how long an engine takes to read prompt tokens.
func readingTime(e *routing.Engine, tokens int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PrefillRate * float64(time.Second))
}

// limited reports whether the bounds permit a limit below Max.
func (b Bounds) limited() bool { return b.Pause > 0 && b.Min < b.Max }
