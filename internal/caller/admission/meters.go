package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// drainTimeConstant is the time constant of the measured drain rate: long
	// enough to cover several completions, short enough to detect the loss of a
	// data centre within seconds.
	drainTimeConstant = 3 * time.Second
	// drainPriorWeight is the weight, in seconds of measurement, of the
	// estimate from the number of running requests. It covers a few running
	// times, during which a queue may not move at all.
	drainPriorWeight = 1
	// refusalTimeConstant is the time constant for counting recent refusals.
	refusalTimeConstant = 2 * time.Second
)

// Bounds of the retry delay in a refusal. A shorter delay would add load while
// the cause of the refusal persists; a longer one would leave recovered
// capacity idle.
const (
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
)

// drainMeter measures the work per second that leaves a queue while requests
// are waiting. It counts starts rather than completions, so that a freed slot
// counts in the same way whether its request completed, failed or was
// cancelled.
//
// It measures each class together with the more urgent ones, while one of these
// waits: the index of a figure is the least urgent class that it includes.
type drainMeter struct {
	// work is the work started from the queue, and waitingTime the time with
	// waiting requests, both in seconds and with exponential decay.
	work, waitingTime [numClasses]float64
	updatedAt         time.Time
}

// advance moves the meter to now. mostUrgent is the most urgent class of which
// requests were waiting since the last call, or numClasses if none were.
func (m *drainMeter) advance(now time.Time, mostUrgent int) {
	if m.updatedAt.IsZero() {
		m.updatedAt = now
	}
	dt := now.Sub(m.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	m.updatedAt = now
	if mostUrgent >= numClasses {
		return
	}
	decay := math.Exp(-dt / drainTimeConstant.Seconds())
	for i := mostUrgent; i < numClasses; i++ {
		m.work[i] *= decay
		m.waitingTime[i] = m.waitingTime[i]*decay + dt
	}
}

// start counts work of a class that started while requests waited.
func (m *drainMeter) start(class int, work float64) {
	for i := class; i < numClasses; i++ {
		m.work[i] += work
	}
}

// takeBack takes back work that start has counted.
func (m *drainMeter) takeBack(class int, work float64) {
	for i := class; i < numClasses; i++ {
		m.work[i] = math.Max(0, m.work[i]-work)
	}
}

// rate returns the drain rate of a class and the more urgent ones in work per
// second. Without measurements it assumes that each running request completes
// one second of work per second.
func (m *drainMeter) rate(class, running int) float64 {
	return (m.work[class] + drainPriorWeight*float64(running)) / (m.waitingTime[class] + drainPriorWeight)
}

// decayWork decays rates of work from the time of their last update, which is zero
// before the first one, to now. It returns the time of the new update.
func decayWork(work []float64, updatedAt, now time.Time) time.Time {
	if updatedAt.IsZero() {
		return now
	}
	dt := now.Sub(updatedAt).Seconds()
	if dt <= 0 {
		return updatedAt
	}
	decay := math.Exp(-dt / drainTimeConstant.Seconds())
	for i := range work {
		work[i] *= decay
	}
	return now
}

// classMeter measures the rate of admitted work per class.
type classMeter struct {
	work      [numClasses]float64
	updatedAt time.Time
}

func (m *classMeter) add(class int, work float64, now time.Time) {
	m.updatedAt = decayWork(m.work[:], m.updatedAt, now)
	m.work[class] += work / drainTimeConstant.Seconds()
}

// above returns the admitted work per second in classes that are more urgent
// than class.
func (m *classMeter) above(class int) (sum float64) {
	for _, w := range m.work[:class] {
		sum += w
	}
	return sum
}

// arrivalMeter measures the rate of admitted work per density band.
type arrivalMeter struct {
	work      [bandCount]float64
	updatedAt time.Time
}

func (m *arrivalMeter) add(b int, work float64, now time.Time) {
	m.updatedAt = decayWork(m.work[:], m.updatedAt, now)
	m.work[b] += work / drainTimeConstant.Seconds()
}

// above returns the admitted work per second in bands above b.
func (m *arrivalMeter) above(b int) float64 {
	var sum float64
	for _, w := range m.work[b+1:] {
		sum += w
	}
	return sum
}

// minResidualFraction is the minimum fraction of the drain rate that arrivals of
// higher value density are assumed to leave to other requests. With a lower
// value, a burst of one second would cause refusals of requests that can be
// served after it.
const minResidualFraction = 0.3

// runStats tracks running times and how far they exceed their estimates.
type runStats struct {
	// meanRun is the exponential moving average of the running time in seconds.
	meanRun float64
	// overrun estimates a high quantile of the ratio of actual to expected
	// running time.
	overrun   float64
	updatedAt time.Time
}

const (
	// overrunQuantile is the quantile that runStats.overrun tracks.
	overrunQuantile = 0.8
	// overrunStep is the step size of the estimate of that quantile.
	overrunStep = 0.05
	// maxOverrun is the upper bound of runStats.overrun.
	maxOverrun = 4
	// overrunTimeConstant is the time constant with which the overrun factor
	// decays while nothing completes. Without the decay, a stall could cause
	// refusals that prevent the factor from being measured again.
	overrunTimeConstant = 10 * time.Second
	// meanRunStep is the weight of a new value in runStats.meanRun.
	meanRunStep = 0.1
)

// observe records a running time in seconds. estimated reports whether expected
// comes from the request; if it does not, the overrun stays as it is.
func (s *runStats) observe(actual, expected float64, estimated bool, now time.Time) {
	if s.meanRun == 0 {
		s.meanRun = actual
	}
	s.meanRun += meanRunStep * (actual - s.meanRun)
	if !estimated || expected <= 0 {
		return
	}
	overrun := s.currentOverrun(now)
	s.updatedAt = now
	if actual > expected*overrun {
		overrun += overrunStep * overrunQuantile
	} else {
		overrun -= overrunStep * (1 - overrunQuantile)
	}
	s.overrun = math.Min(math.Max(overrun, 1), maxOverrun)
}

// currentOverrun returns the factor by which expected running times must be
// multiplied to hold for most requests. It is at least 1.
func (s *runStats) currentOverrun(now time.Time) float64 {
	if s.overrun <= 1 {
		return 1
	}
	idle := now.Sub(s.updatedAt).Seconds()
	return 1 + (s.overrun-1)*math.Exp(-math.Max(0, idle)/overrunTimeConstant.Seconds())
}

// refusalTracker counts recent refusals in order to spread the retries of
// refused callers over time.
type refusalTracker struct {
	recent    float64
	updatedAt time.Time
}

// retryAfter counts a refusal and returns the delay after which the caller of
// request id should retry.
func (t *refusalTracker) retryAfter(id string, minDelay time.Duration, serviceRate float64, now time.Time) time.Duration {
	dt := now.Sub(t.updatedAt).Seconds()
	if dt > 0 {
		t.recent *= math.Exp(-dt / refusalTimeConstant.Seconds())
		t.updatedAt = now
	}
	t.recent++
	return spreadRetry(id, minDelay, t.recent, serviceRate)
}

// classRefusals counts the recent refusals of each class together with those of
// the more urgent ones, whose retries are served first.
type classRefusals struct {
	recent    [numClasses]float64
	updatedAt time.Time
}

// retryAfter is refusalTracker.retryAfter for a request of a class.
func (t *classRefusals) retryAfter(class int, id string, minDelay time.Duration, serviceRate float64, now time.Time) time.Duration {
	dt := now.Sub(t.updatedAt).Seconds()
	if dt > 0 {
		decay := math.Exp(-dt / refusalTimeConstant.Seconds())
		for i := range t.recent {
			t.recent[i] *= decay
		}
		t.updatedAt = now
	}
	for i := class; i < numClasses; i++ {
		t.recent[i]++
	}
	return spreadRetry(id, minDelay, t.recent[class], serviceRate)
}

// spreadRetry returns the delay after which the caller of request id should
// retry, after a number of recent refusals.
//
// Callers that are refused at the same moment and retry at the same moment
// would be refused again, repeatedly and in lockstep. Retries are therefore
// spread over the time that serving the recently refused requests takes, so
// that each second of this window receives as many retries as can be served in
// it. The offset in the window is a hash of id and is the same at each entry.
func spreadRetry(id string, minDelay time.Duration, recent, serviceRate float64) time.Duration {
	window := 2 * MinRetryAfter.Seconds()
	if serviceRate > 0 {
		window = math.Max(window, recent/serviceRate)
	}
	window = math.Min(window, MaxRetryAfter.Seconds())
	delay := minDelay + toDuration(window*hashFraction(id))
	return min(max(delay, MinRetryAfter), MaxRetryAfter)
}

// hashFraction maps id to [0, 1) by hashing.
func hashFraction(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// hashPair hashes two names together for rendezvous hashing.
func hashPair(a, b string) uint64 {
	x := xxhash.Sum64String(a) ^ (xxhash.Sum64String(b) * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
