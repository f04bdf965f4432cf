package relay

import (
	"math"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// arrivalsMemory is the time over which the rate of arrivals is measured.
	arrivalsMemory = 3 * time.Second
	// leastMeasured is the least time that is taken to have been measured.
	leastMeasured = 100 * time.Millisecond
	// keptForOthers is the part of what requests that can be on time need which is
	// kept from late ones: they do not come all at once. With all of it kept, late
	// callers are refused beside free places; with none, the others become late.
	keptForOthers = 0.5
	// leastLateRoom is how many late requests an entry has under way whatever its
	// other requests need, so that none wait in vain for ever.
	leastLateRoom = 1
)

// arrivals measures how many requests a second come anew for one service.
type arrivals struct {
	count     float64
	at, began time.Time
}

func (a *arrivals) add(now time.Time) {
	if a.began.IsZero() {
		a.began, a.at = now, now
	}
	a.decay(now)
	a.count++
}

func (a *arrivals) decay(now time.Time) {
	if dt := now.Sub(a.at); dt > 0 {
		a.count *= math.Exp(-dt.Seconds() / arrivalsMemory.Seconds())
		a.at = now
	}
}

// rate returns requests a second. What was counted in a short time says as much of a
// longer one.
func (a *arrivals) rate(now time.Time) float64 {
	if a.began.IsZero() {
		return 0
	}
	a.decay(now)
	memory := arrivalsMemory.Seconds()
	seen := 1 - math.Exp(-max(leastMeasured.Seconds(), now.Sub(a.began).Seconds())/memory)
	return a.count / (memory * seen)
}

// lateRoom returns how many requests that can't be on time any more an entry may
// have under way at a service: its part of all places, less what those take that
// come meanwhile and can be on time. Called with mu held.
//
// Load: a group of engines opens after an outage of seconds, and all who came
// meanwhile wait for it, late already. Harm prevented: they fill all places at once;
// passes are slow until the first maps are in force; and most who come in the next
// seconds wait behind them and become late in turn. In its room an entry serves late
// ones over the next two seconds, and the others as if nothing had been.
func (b *Belief) lateRoom(s *routing.Service, now time.Time) int {
	places := 0
	for _, ep := range b.endpoints {
		if ep.Service == s.Name {
			n, _ := b.bears(ep)
			places += n
		}
	}
	part := float64(places) / float64(b.listedEntries())
	a := b.arrivals[s.Name]
	if a == nil {
		return max(leastLateRoom, int(part))
	}
	needed := a.rate(now) * b.placeTime(s, now).Seconds()
	return max(leastLateRoom, int(part-keptForOthers*needed))
}

// placeTime returns how long a request usually has its place; before any was seen,
// as long as full engines with a planned map take for one of the usual size.
func (b *Belief) placeTime(s *routing.Service, now time.Time) time.Duration {
	guess := time.Duration(0)
	if e := s.Engine; e != nil && e.Stride > 0 {
		passes := float64(e.MeanOutput) / float64(e.Stride)
		guess = time.Duration(passes * float64(batch.Pass(e, e.Slots, batch.CalmSkew)))
	}
	return quantile(b.times.of(s.Name, now).whole, usualWhole, guess)
}
