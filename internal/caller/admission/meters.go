package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// drainMemory is the time constant of the measured drain rate: long enough
	// to see several completions, short enough to notice within seconds that
	// a data centre has left.
	drainMemory = 3 * time.Second
	// drainPrior is how long the estimate from running requests counts against
	// the measurement: some running times, in which a queue need not move.
	drainPrior = 1
	// spreadMemory is the time constant for counting recent refusals.
	spreadMemory = 2 * time.Second
)

// Bounds of each come-back time. A sooner one would add load while the cause
// lasts; a later one would leave returned capacity idle.
const (
	MinComeBack = 100 * time.Millisecond
	MaxComeBack = 30 * time.Second
)

// drainMeter measures the work that leaves a queue a second while requests are
// waiting. Starts count and not ends, so that it does not matter how a request
// that made room has ended.
type drainMeter struct {
	work, busy float64
	at         time.Time
}

// advance brings the meter to now. waiting says whether the time since the
// last call was spent with requests waiting.
func (m *drainMeter) advance(now time.Time, waiting bool) {
	if m.at.IsZero() {
		m.at = now
	}
	dt := now.Sub(m.at).Seconds()
	if dt <= 0 {
		return
	}
	m.at = now
	if !waiting {
		return
	}
	keep := math.Exp(-dt / drainMemory.Seconds())
	m.work *= keep
	m.busy = m.busy*keep + dt
}

// rate returns work a second. Without a measurement it assumes that each
// running request does one second of work a second.
func (m *drainMeter) rate(running int) float64 {
	return (m.work + drainPrior*float64(running)) / (m.busy + drainPrior)
}

// inflow measures the accepted work a second by band.
type inflow struct {
	work [bandCount]float64
	at   time.Time
}

func (m *inflow) add(b int, work float64, now time.Time) {
	if m.at.IsZero() {
		m.at = now
	}
	if dt := now.Sub(m.at).Seconds(); dt > 0 {
		keep := math.Exp(-dt / drainMemory.Seconds())
		for i := range m.work {
			m.work[i] *= keep
		}
		m.at = now
	}
	m.work[b] += work / drainMemory.Seconds()
}

// above returns the accepted work a second in bands higher than b.
func (m *inflow) above(b int) float64 {
	var sum float64
	for _, w := range m.work[b+1:] {
		sum += w
	}
	return sum
}

// leastLeft is the least part of the drain rate that is taken to be left over
// by work that is worth more. With less, one second's burst would turn away
// work that can be served after it.
const leastLeft = 0.3

// runStats compares actual with expected running times.
type runStats struct {
	mean float64
	// over estimates a high quantile of actual over expected running time.
	over float64
	at   time.Time
}

const (
	overQuantile = 0.8
	overStep     = 0.05
	overMax      = 4
	// overMemory lets the margin fall back while nothing completes: a stall
	// must not lead to refusals that keep the margin from being measured again.
	overMemory = 10 * time.Second
	meanStep   = 0.1
)

func (s *runStats) observe(actual, expected float64, estimated bool, now time.Time) {
	if s.mean == 0 {
		s.mean = actual
	}
	s.mean += meanStep * (actual - s.mean)
	if !estimated || expected <= 0 {
		return
	}
	over := s.margin(now)
	s.at = now
	if actual > expected*over {
		over += overStep * overQuantile
	} else {
		over -= overStep * (1 - overQuantile)
	}
	s.over = math.Min(math.Max(over, 1), overMax)
}

// margin returns the factor by which running times must be stretched to hold
// for most requests. It is at least 1.
func (s *runStats) margin(now time.Time) float64 {
	if s.over <= 1 {
		return 1
	}
	idle := now.Sub(s.at).Seconds()
	return 1 + (s.over-1)*math.Exp(-math.Max(0, idle)/overMemory.Seconds())
}

// spread counts recent refusals, to spread the callers' return.
type spread struct {
	recent float64
	at     time.Time
}

// comeBack returns when the caller of id should come back.
//
// The load is a crowd that was refused at one moment. If all came back at the
// same time they would be refused again, for ever in step. So the return is
// spread over the time that serving the refused ones takes, each second of it
// having one returning caller for each that can be served; the place in that
// time follows from a hash of the id, the same at each entry.
func (s *spread) comeBack(id string, least time.Duration, perSecond float64, now time.Time) time.Duration {
	dt := now.Sub(s.at).Seconds()
	if dt > 0 {
		s.recent *= math.Exp(-dt / spreadMemory.Seconds())
		s.at = now
	}
	s.recent++
	window := 2 * MinComeBack.Seconds()
	if perSecond > 0 {
		window = math.Max(window, s.recent/perSecond)
	}
	window = math.Min(window, MaxComeBack.Seconds())
	d := least + seconds(window*fraction(id))
	return min(max(d, MinComeBack), MaxComeBack)
}

// fraction maps id to [0, 1).
func fraction(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// hashPair mixes two names for rendezvous hashing.
func hashPair(a, b string) uint64 {
	x := xxhash.Sum64String(a) ^ (xxhash.Sum64String(b) * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
