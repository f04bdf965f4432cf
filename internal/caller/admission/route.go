package admission

import (
	"math"
	"math/bits"
	"time"
)

const (
	// bandsPerOctave is the number of bands per doubling of the value density.
	// Densities in the same band count as equal.
	bandsPerOctave = 4
	// bandCount covers 16 octaves around a value density of 1 worth per second.
	bandCount = 64
)

// densityBand returns the band of the value density worth/work; higher bands
// have higher densities.
func densityBand(worth, work float64) int {
	if worth <= 0 || work <= 0 {
		return 0
	}
	b := bandCount/2 + int(math.Floor(math.Log2(worth/work)*bandsPerOctave+0.5))
	return min(max(b, 0), bandCount-1)
}

// Indices into item.index, one for each heap that an item can be in.
const (
	heapFlow = iota
	heapLatestStart
	heapPlaces
	numItemHeaps
)

// item is one open request, waiting or running.
type item struct {
	req     Request
	account *account
	flow    *flow
	// work is the expected running time in seconds.
	work      float64
	band      int
	seq       uint64
	arrivedAt time.Time
	// latestStart is the latest start time that meets the deadline.
	latestStart time.Time
	startedAt   time.Time
	running     bool
	// protected reports that requests of the same class may not displace the
	// item. weightedDepth is the number of requests that its account had waiting
	// on arrival, this one included, divided by the account's weight.
	protected     bool
	weightedDepth float64
	// index holds the position of the item in each heap that contains it.
	index [numItemHeaps]int
}

// beforeInFlow orders the requests of one account on one route.
func beforeInFlow(a, b *item) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority > b.req.Priority
	}
	if a.req.AskedBefore != b.req.AskedBefore {
		return a.req.AskedBefore
	}
	if a.band != b.band {
		return a.band > b.band
	}
	if !a.req.Deadline.Equal(b.req.Deadline) {
		return a.req.Deadline.Before(b.req.Deadline)
	}
	return a.seq < b.seq
}

func latestStartBefore(a, b *item) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.seq < b.seq
}

// route is the queue of one model or service, which consists of the queues of its
// classes, with the measurements of the whole.
type route struct {
	// classes holds the queues of the classes that have had requests.
	// waitingClasses has the bit of each class with waiting requests set.
	classes        [numClasses]*classQueue
	waitingClasses uint32
	// floorCredit is the work that is due to classes below the most urgent one
	// that waits, and floorTime the greatest classQueue.floorTime of a start
	// that used it.
	floorCredit, floorTime float64
	// arrivals measures the admitted work by class.
	arrivals classMeter
	places   *places
	// late reports that the requests of the route can no longer meet their
	// latency target.
	late     bool
	waiting  int
	running  int
	drain    drainMeter
	runTimes runStats
	refusals classRefusals
}

// class returns the queue of a class, creating it if needed.
func (r *route) class(class int) *classQueue {
	class = min(max(class, 0), MaxClass)
	if r.classes[class] == nil {
		r.classes[class] = newClassQueue(r, class)
	}
	return r.classes[class]
}

func (r *route) add(it *item) {
	q := it.flow.class
	q.add(it)
	r.waitingClasses |= 1 << q.number
	r.waiting++
}

func (r *route) remove(it *item) {
	q := it.flow.class
	q.remove(it)
	r.waiting--
	if q.waiting == 0 {
		r.waitingClasses &^= 1 << q.number
	}
}

// countArrival counts an admitted request.
func (r *route) countArrival(it *item, now time.Time) {
	q := it.flow.class
	q.arrivals.add(it.band, it.work, now)
	r.arrivals.add(q.number, it.work, now)
}

// mostUrgentWaiting returns the number of the most urgent class with waiting
// requests, or numClasses if there is none.
func (r *route) mostUrgentWaiting() int {
	return min(bits.TrailingZeros32(r.waitingClasses), numClasses)
}

// startsAtOnce reports whether an arriving request of the class may start before
// the waiting ones: all of them are less urgent.
func (r *route) startsAtOnce(class int) bool { return class < r.mostUrgentWaiting() }

// next assigns a slot to the request that goes next and returns it, or nil if
// place assigns none. fair reports that it was picked by fair share.
func (r *route) next(place Placer) (it *item, fair bool) {
	if r.waiting == 0 {
		return nil, false
	}
	if q := r.floorClass(); q != nil {
		if it, fair := q.pick(); place(&it.req) {
			return it, fair
		}
		// The endpoints' free slots may be reserved for more urgent requests.
	}
	if it, fair = r.classes[r.mostUrgentWaiting()].pick(); place(&it.req) {
		return it, fair
	}
	return nil, false
}

// charge accounts for the start of an item, which must have left the queue.
func (r *route) charge(it *item, fairFraction float64, fair, queued bool) {
	q := it.flow.class
	r.chargeFloor(q, it.work)
	q.charge(it, fairFraction, fair, queued)
	switch {
	case queued:
		r.drain.start(q.number, it.work)
	case r.waiting > 0:
		// It took a slot that less urgent requests wait for.
		r.drain.start(r.mostUrgentWaiting(), it.work)
	}
}

// estimateWait estimates how long a new request of the flow f in a density band
// waits: the lesser of its wait by value density and its wait by fair share. It
// returns zero if the drain rate is unknown.
//
// By value density, the waiting work in more urgent classes and in the same and
// higher bands of the class goes first, and so does work that arrives in them
// meanwhile. minResidualFraction limits the effect of such arrivals, because
// bursts end. If all requests are of equal worth and class, the estimate counts
// a subset of the waiting work and never exceeds the wait in a FIFO queue.
//
// By fair share, the account's own waiting work goes first, except its next
// request: that one is served when the account has the least virtual time,
// however many other requests of the class are waiting.
//
// The drain rate is that of the class and the more urgent ones. The total rate
// would count starts of less urgent requests that these do not wait for.
func (r *route) estimateWait(f *flow, band int, fairFraction float64) time.Duration {
	q := f.class
	rate := r.drain.rate(q.number, r.running)
	if rate <= 0 {
		return 0
	}
	above, arriving := r.workAbove(q.number), r.arrivals.above(q.number)
	bandWork := (above + q.workFrom(band)) / residual(arriving+q.arrivals.above(band), rate)
	fairWork := (above + q.fairWork(f, fairFraction)) / residual(arriving, rate)
	return toDuration(math.Min(bandWork, fairWork) / rate)
}

// residual returns the fraction of the drain rate that work which arrives at
// another rate, and goes first, leaves to a request.
func residual(arriving, rate float64) float64 {
	return math.Max(minResidualFraction, 1-arriving/rate)
}

// workAbove returns the waiting work in classes that are more urgent than class.
func (r *route) workAbove(class int) (sum float64) {
	for _, q := range r.classes[:class] {
		if q != nil {
			sum += q.work
		}
	}
	return sum
}
