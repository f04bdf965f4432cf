package admission

import (
	"math"
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
	heapDisplaceable
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
	// protected reports that the item may not be displaced. weightedDepth is
	// the number of requests that its account had waiting on arrival, this one
	// included, divided by the account's weight.
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

// Indices into flow.index, one for each heap that a flow can be in.
const (
	heapVirtualTime = iota
	heapDensity
	numFlowHeaps
)

// flow is the queue of one account on one route.
type flow struct {
	account *account
	queue   itemHeap
	// work is the sum of the work of the waiting requests.
	work float64
	// virtualTime is the work started for the account divided by its weight.
	virtualTime float64
	seq         uint64
	// index holds the position of the flow in each heap that contains it.
	index [numFlowHeaps]int
}

func virtualTimeBefore(a, b *flow) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.seq < b.seq
}

func densityBefore(a, b *flow) bool {
	x, y := a.queue.head(), b.queue.head()
	if x.band != y.band {
		return x.band > y.band
	}
	return virtualTimeBefore(a, b)
}

// route is the queue of one model or service, which consists of the flows of its
// accounts, with the measurements of that queue.
type route struct {
	flows         map[string]*flow
	byVirtualTime flowHeap
	byDensity     flowHeap
	// virtualTime never decreases. An account that becomes active again starts
	// no earlier than this, so that idle time earns no credit.
	virtualTime float64
	// fairCredit is the work that is due to picks by fair share.
	fairCredit float64
	// bandWork is the waiting work by band, and activeWeight the sum of the
	// weights of flows with waiting requests.
	bandWork     [bandCount]float64
	arrivals     arrivalMeter
	activeWeight float64
	waiting      int
	running      int
	drain        drainMeter
	runTimes     runStats
	refusals     refusalTracker
}

func newRoute() *route {
	return &route{
		flows:         make(map[string]*flow),
		byVirtualTime: flowHeap{less: virtualTimeBefore, heapIndex: heapVirtualTime},
		byDensity:     flowHeap{less: densityBefore, heapIndex: heapDensity},
	}
}

// flowFor returns the flow of a, creating it if needed.
func (r *route) flowFor(a *account, seq uint64) *flow {
	f := r.flows[a.limits.Account]
	if f == nil {
		f = &flow{account: a, seq: seq, queue: itemHeap{less: beforeInFlow, heapIndex: heapFlow}}
		r.flows[a.limits.Account] = f
	}
	return f
}

func (r *route) add(it *item) {
	f := it.flow
	wasEmpty := f.queue.Len() == 0
	f.queue.add(it)
	f.work += it.work
	r.bandWork[it.band] += it.work
	r.waiting++
	if !wasEmpty {
		r.byDensity.fix(f)
		return
	}
	f.virtualTime = math.Max(f.virtualTime, r.virtualTime)
	r.activeWeight += f.account.limits.Weight
	r.byVirtualTime.add(f)
	r.byDensity.add(f)
}

func (r *route) remove(it *item) {
	f := it.flow
	f.queue.remove(it)
	f.work -= it.work
	r.bandWork[it.band] = math.Max(0, r.bandWork[it.band]-it.work)
	r.waiting--
	if f.queue.Len() > 0 {
		r.byDensity.fix(f)
		return
	}
	f.work = 0
	r.byVirtualTime.remove(f)
	// The empty flow has no head request to compare, so it is removed by index.
	r.removeEmptyFlow(f)
	r.resetWeightIfEmpty()
}

// removeEmptyFlow removes a flow with an empty queue from byDensity.
func (r *route) removeEmptyFlow(f *flow) {
	h := &r.byDensity
	i, last := f.index[heapDensity], len(h.flows)-1
	h.Swap(i, last)
	h.flows[last] = nil
	h.flows = h.flows[:last]
	if i < last {
		h.fix(h.flows[i])
	}
}

// resetWeightIfEmpty discards accumulated rounding errors when no flow is
// waiting.
func (r *route) resetWeightIfEmpty() {
	if len(r.byVirtualTime.flows) == 0 {
		r.activeWeight = 0
	}
}

// pick returns the request to start next, or nil.
//
// Under sustained saturation, picking by value density alone would starve
// accounts of low worth, and picking by fair share alone would spend scarce
// capacity on work of low worth. A fixed fraction of the work is picked by fair
// share, which bounds both effects.
func (r *route) pick() (it *item, fair bool) {
	if r.waiting == 0 {
		return nil, false
	}
	if r.fairCredit >= 0 {
		return r.byVirtualTime.flows[0].queue.head(), true
	}
	return r.byDensity.flows[0].queue.head(), false
}

// charge accounts for the start of an item, which must have left the queue.
func (r *route) charge(it *item, fairFraction float64, fair, queued bool) {
	f := it.flow
	if f.queue.Len() == 0 {
		f.virtualTime = math.Max(f.virtualTime, r.virtualTime)
	}
	r.virtualTime = math.Max(r.virtualTime, r.minVirtualTime(f))
	f.virtualTime += it.work / f.account.limits.Weight
	if f.queue.Len() > 0 {
		r.byVirtualTime.fix(f)
		r.byDensity.fix(f)
	}
	if !queued {
		return
	}
	r.fairCredit += fairFraction * it.work
	if fair {
		r.fairCredit -= it.work
	}
}

// minVirtualTime returns the minimum virtual time of f and the waiting flows.
func (r *route) minVirtualTime(f *flow) float64 {
	if len(r.byVirtualTime.flows) == 0 {
		return f.virtualTime
	}
	return math.Min(f.virtualTime, r.byVirtualTime.flows[0].virtualTime)
}

// correctCharge replaces the expected running time by the actual one in the
// charge to the account, so that accounts gain nothing from estimates that are
// too low.
func (r *route) correctCharge(it *item, actual float64) {
	const maxRatio = 4 // bounds the charge if an endpoint stalls, which is not the account's fault
	f := it.flow
	f.virtualTime += (math.Min(actual, maxRatio*it.work) - it.work) / f.account.limits.Weight
	if f.queue.Len() > 0 {
		r.byVirtualTime.fix(f)
		r.byDensity.fix(f)
	}
}

// estimateWait estimates how long a new request of the flow f in a density band
// waits: the lesser of its wait by value density and its wait by fair share. It
// returns zero if the drain rate is unknown.
//
// By value density, the waiting work in the same and higher bands goes first,
// and so does work that arrives in higher bands meanwhile. minResidualFraction
// limits the effect of such arrivals, because bursts end. If all requests are
// of equal worth, the estimate counts a subset of the waiting work and never
// exceeds the wait in a FIFO queue.
//
// By fair share, the account's own waiting work goes first, except its next
// request: that one is served when the account has the least virtual time,
// however many other requests are waiting.
func (r *route) estimateWait(f *flow, band int, fairFraction float64) time.Duration {
	rate := r.drain.rate(r.running)
	if rate <= 0 {
		return 0
	}
	var workAhead float64
	for _, w := range r.bandWork[band:] {
		workAhead += w
	}
	workAhead /= math.Max(minResidualFraction, 1-r.arrivals.above(band)/rate)
	weight := r.activeWeight
	if f.queue.Len() == 0 {
		weight += f.account.limits.Weight
	}
	accountWork := f.work
	if h := f.queue.head(); h != nil {
		accountWork -= h.work
	}
	fairWork := accountWork * weight / (f.account.limits.Weight * fairFraction)
	return toDuration(math.Min(workAhead, fairWork) / rate)
}
