package relay

import (
	"cmp"
	"math"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// arrivalWindow is the time constant with which the arrival rate is averaged.
	arrivalWindow = 3 * time.Second
	// minMeasured is the least time over which a rate is taken to have been measured.
	minMeasured = 100 * time.Millisecond
	// reservedFraction is the fraction of the slots needed by requests which can meet their target
	// that is kept free of late ones. They do not all arrive at once: if all of it were reserved,
	// late callers would be refused although slots are free; with none, the other requests would
	// become late.
	reservedFraction = 0.5
	// minLateSlots is the number of late requests that an entry may run whatever its other requests
	// need, so that late requests can't be starved.
	minLateSlots = 1
)

// arrivalRate measures the rate of new requests of one service, with an exponential average.
type arrivalRate struct {
	// window is the time constant; zero means arrivalWindow.
	window               time.Duration
	count                float64
	updatedAt, startedAt time.Time
}

func (a *arrivalRate) add(now time.Time) {
	if a.startedAt.IsZero() {
		a.startedAt, a.updatedAt = now, now
	}
	a.decay(now)
	a.count++
}

func (a *arrivalRate) decay(now time.Time) {
	if dt := now.Sub(a.updatedAt); dt > 0 {
		a.count *= math.Exp(-dt.Seconds() / a.timeConstant().Seconds())
		a.updatedAt = now
	}
}

func (a *arrivalRate) timeConstant() time.Duration { return cmp.Or(a.window, arrivalWindow) }

// average returns the rate in requests per second. It counts the time before the first arrival as
// time without any.
func (a *arrivalRate) average(now time.Time) float64 {
	a.decay(now)
	return a.count / a.timeConstant().Seconds()
}

// rate returns the rate in requests per second. It corrects for the short time since the first
// arrival.
func (a *arrivalRate) rate(now time.Time) float64 {
	if a.startedAt.IsZero() {
		return 0
	}
	a.decay(now)
	window := a.timeConstant().Seconds()
	seen := 1 - math.Exp(-max(minMeasured.Seconds(), now.Sub(a.startedAt).Seconds())/window)
	return a.count / (window * seen)
}

// lateSlots returns how many late requests an entry may run at a service: its share of all slots,
// less those that it will need for arriving requests that can meet their target. mu must be held.
//
// When a group of engines opens after an outage of some seconds, all requests that arrived
// meanwhile wait for it and are late. Without a bound they would fill all slots at once, while
// passes are slow until the first expert maps are in force, and most requests of the next seconds
// would become late behind them. With it, an entry works off the late requests over about two
// seconds and serves the others as usual.
func (st *State) lateSlots(s *routing.Service, now time.Time) int {
	share := st.slotShare(s)
	a := st.arrivals[s.Name]
	if a == nil {
		return max(minLateSlots, int(share))
	}
	needed := a.rate(now) * st.usualSlotTime(s, now).Seconds()
	return max(minLateSlots, int(share-reservedFraction*needed))
}

// slotShare returns this entry's equal share of the slots of a service.
func (st *State) slotShare(s *routing.Service) float64 {
	slots := 0
	for _, ep := range st.endpoints {
		if ep.Service == s.Name {
			n, _ := st.endpointCapacity(ep)
			slots += n
		}
	}
	return float64(slots) / float64(st.listedEntries())
}

// usualSlotTime returns how long a request usually holds its slot. Until enough requests have been
// observed, it is the time that a fully loaded engine with a planned expert map takes for a request
// of mean size.
func (st *State) usualSlotTime(s *routing.Service, now time.Time) time.Duration {
	fallback := time.Duration(0)
	if e := s.Engine; e != nil && e.Stride > 0 {
		passes := float64(e.MeanOutput) / float64(e.Stride)
		fallback = time.Duration(passes * float64(batch.PassDuration(e, e.Slots, batch.PlannedSkew)))
	}
	return quantile(st.latencies.forService(s.Name, now).whole, usualWholePercentile, fallback)
}
