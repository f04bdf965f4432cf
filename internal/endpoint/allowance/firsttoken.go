package allowance

import (
	"slices"
	"time"
)

const (
	// ttftWindow is the number of samples in the running median: odd, so that
	// the median is one of them, and large enough that a few long prompts don't
	// move it.
	ttftWindow = 31
	// ttftMinSamples is the number of samples from which the median is used.
	ttftMinSamples = 15
	// slowFactor is the multiple of the median above which a sample is slow.
	// Prompt lengths differ by a small factor, whereas the first tokens of cold
	// engines take tens of times as long.
	slowFactor = 4
	// slowFloor is the time up to which no sample is slow. Without it, scheduling
	// delays would make engines with medians of a few milliseconds look cold.
	slowFloor = 50 * time.Millisecond
	// slowRunLength is the number of consecutive slow samples that indicate a
	// cold engine. Single long prompts are common, three in a row are not.
	slowRunLength = 3
)

// ttftDetector detects a sudden rise of the time to first token (TTFT) of a
// warm endpoint over its running median.
//
// It protects an endpoint that turned cold without reporting it, and that still
// accepts connections, from full load. Samples of a cold start don't enter the
// median, and a detection discards it, so that a lasting change to longer
// prompts causes one cold start and not a series of them.
type ttftDetector struct {
	// samples is a ring buffer, and next the index of its oldest sample once it
	// is full. slowRun is the length of the current run of slow samples.
	samples []time.Duration
	next    int
	slowRun int
}

// slow reports whether the sample d completes a run of slowRunLength slow samples.
// Slow samples don't enter the median.
func (t *ttftDetector) slow(d time.Duration) bool {
	if len(t.samples) >= ttftMinSamples && d > max(slowFloor, slowFactor*t.median()) {
		t.slowRun++
		return t.slowRun >= slowRunLength
	}
	t.slowRun = 0
	t.add(d)
	return false
}

func (t *ttftDetector) add(d time.Duration) {
	if len(t.samples) < ttftWindow {
		t.samples = append(t.samples, d)
		return
	}
	t.samples[t.next] = d
	t.next = (t.next + 1) % ttftWindow
}

// median returns the median of the samples, or zero if there are none.
func (t *ttftDetector) median() time.Duration {
	if len(t.samples) == 0 {
		return 0
	}
	sorted := slices.Clone(t.samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func (t *ttftDetector) reset() {
	t.samples = t.samples[:0]
	t.next = 0
	t.slowRun = 0
}
