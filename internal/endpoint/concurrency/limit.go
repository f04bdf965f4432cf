package concurrency

import "time"

const (
	// sliceLength is the length of the slices into which the window of observations is divided. Two
	// adjacent slices are evaluated together.
	sliceLength = 500 * time.Millisecond
	// sliceCount slices of observations are kept, ten seconds. Popularity jumps every 3 to 4 s, so
	// that the last two or three jumps are among them. With the last one alone, the limit follows the
	// size of each jump and is too high at every greater one.
	sliceCount = 20
	// quantile is the quantile of the stretch within two slices that counts. A jump lengthens 3 to 4
	// of the 10 to 25 passes in that time. Few pauses that are long for another reason stay above it.
	quantile = 0.95
	// minObservations is the number of observations from which two slices are evaluated: those
	// of one stream in long passes.
	minObservations = 5
	// minDecoding is the least number of decoding requests for each engine from which a pause says
	// something about the cost of one. Below it the reading of prompts outweighs them.
	minDecoding = 2
	// evaluationInterval is the least time between two evaluations.
	evaluationInterval = 100 * time.Millisecond
	// maxStep is the longest time between two evaluations for which the limit grows.
	maxStep = time.Second
	// staleAfter is the age of the last observation from which the limit returns to its maximum, at
	// staleGrowth requests per second.
	staleAfter  = 2500 * time.Millisecond
	staleGrowth = 2
	// The limit grows by the part growth of what it is below its target each second, but by minGrowth
	// requests at least.
	growth    = 0.1
	minGrowth = 0.05
	// stretchBins bins of stretchStep cover the stretches that are told apart.
	stretchBins = 64
	stretchStep = 0.1
)

// Limit is the batch limit of one group. Create it with New.
type Limit struct {
	bounds Bounds
	slices [sliceCount]slice
	// current is the index of the slice of the present observations, which ends at sliceEnd.
	current  int
	sliceEnd time.Time
	// observedAt is the time of the last observation, and evaluatedAt that of the last evaluation.
	observedAt, evaluatedAt time.Time
	// stretch is the result of the last evaluation, or zero if there were too few observations.
	stretch float64
	// value is the limit before it is rounded.
	value float64
}

// slice counts the observations of a part of the window by their stretch.
type slice struct {
	total  uint32
	counts [stretchBins]uint32
}

// New returns a limit without history, which is b.Max.
func New(b Bounds) *Limit {
	return &Limit{bounds: b, value: float64(b.Max)}
}

// Configure replaces the bounds. The history is discarded if they differ.
func (l *Limit) Configure(b Bounds) {
	if b != l.bounds {
		*l = *New(b)
	}
}

// Observe records two successive pauses between the events of a stream, while each engine of the
// group had the given mean number of decoding requests. A previous pause of zero means that there
// was none.
//
// The shorter pause counts. An event that is delivered late, by the network or by this process, makes
// one pause longer and the next one shorter, while a change in expert popularity lengthens several
// passes. Pauses are ignored if no batch can explain one of them, as those of a stalled connection, of
// a frozen process, or of a group that stands still and reads all new prompts in the next pass.
func (l *Limit) Observe(previous, pause time.Duration, decoding float64, now time.Time) {
	if !l.bounds.limited() || decoding < minDecoding || max(previous, pause) > l.bounds.Longest {
		return
	}
	pause = min(previous, pause)
	if pause <= 0 {
		return
	}
	l.rotate(now)
	l.observedAt = now
	stretch := float64(pause-l.bounds.Base) / (decoding * float64(l.bounds.PerRequest))
	bin := min(max(int(stretch/stretchStep), 0), stretchBins-1)
	s := &l.slices[l.current]
	s.counts[bin]++
	s.total++
}

// rotate begins a new slice if the current one has ended.
func (l *Limit) rotate(now time.Time) {
	if l.sliceEnd.IsZero() || now.Sub(l.sliceEnd) >= sliceCount*sliceLength {
		l.slices = [sliceCount]slice{}
		l.sliceEnd = now.Add(sliceLength)
		return
	}
	for !now.Before(l.sliceEnd) {
		l.current = (l.current + 1) % sliceCount
		l.slices[l.current] = slice{}
		l.sliceEnd = l.sliceEnd.Add(sliceLength)
	}
}

// Advance brings the limit up to date. It does nothing if it was called less than evaluationInterval
// ago.
func (l *Limit) Advance(now time.Time) {
	elapsed := now.Sub(l.evaluatedAt)
	if !l.bounds.limited() || elapsed < evaluationInterval {
		return
	}
	if l.evaluatedAt.IsZero() {
		elapsed = 0
	}
	// A process that was frozen must not raise the limit by more than one step when it goes on.
	elapsed = min(elapsed, maxStep)
	l.evaluatedAt = now
	if now.Sub(l.observedAt) >= staleAfter {
		l.slices, l.stretch = [sliceCount]slice{}, 0
		l.approach(float64(l.bounds.Max), staleGrowth*elapsed.Seconds())
		return
	}
	l.rotate(now)
	if l.stretch = l.longestStretch(); l.stretch > 0 {
		target := l.target()
		l.approach(target, max(minGrowth, growth*(target-l.value))*elapsed.Seconds())
	}
}

// approach sets the limit to target, but raises it by at most maxRise.
func (l *Limit) approach(target, maxRise float64) {
	l.value = min(target, l.value+maxRise)
}

// target returns the batch with which a pass of the present stretch takes as long as callers
// tolerate.
func (l *Limit) target() float64 {
	b := l.bounds
	n := float64(b.Pause-b.Base) / (l.stretch * float64(b.PerRequest))
	return min(max(n, float64(b.Min)), float64(b.Max))
}

// longestStretch returns the greatest quantile of the stretch within two adjacent slices, or zero if
// no two have enough observations.
func (l *Limit) longestStretch() float64 {
	longest := -1
	for i := 1; i < sliceCount; i++ {
		older, newer := &l.slices[(l.current+i)%sliceCount], &l.slices[(l.current+i+1)%sliceCount]
		longest = max(longest, quantileBin(older, newer))
	}
	return float64(longest+1) * stretchStep
}

// quantileBin returns the bin of the quantile of two slices together, or -1 if they have too few
// observations.
func quantileBin(a, b *slice) int {
	total := a.total + b.total
	if total < minObservations {
		return -1
	}
	above := uint32(float64(total) * (1 - quantile))
	for i := stretchBins - 1; i > 0; i-- {
		n := a.counts[i] + b.counts[i]
		if n > above {
			return i
		}
		above -= n
	}
	return 0
}

// Requests returns the number of requests that each engine may run at once.
//
// The number is rounded to the nearest and not down: the duration of a pass depends on the mean of
// the group, which is about half a request below the limit while engines are as full as they may be.
func (l *Limit) Requests() int {
	return min(max(int(l.value+0.5), l.bounds.Min), l.bounds.Max)
}

// Stretch returns the estimated stretch of the longest passes, or zero if it is unknown.
func (l *Limit) Stretch() float64 { return l.stretch }

// ObservationAge returns the age of the last observation, or zero if there is none.
func (l *Limit) ObservationAge(now time.Time) time.Duration {
	if l.observedAt.IsZero() {
		return 0
	}
	return now.Sub(l.observedAt)
}
