package admission

import "math"

// MaxClass is the least urgent class of requests. Classes beyond it are merged
// into it.
const MaxClass = 9

const numClasses = MaxClass + 1

// Indices into flow.index, one for each heap that a flow can be in.
const (
	heapVirtualTime = iota
	heapDensity
	numFlowHeaps
)

// flow is the queue of one account in one class on one route.
type flow struct {
	account *account
	class   *classQueue
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
	if x.req.AskedBefore != y.req.AskedBefore {
		return x.req.AskedBefore
	}
	if x.band != y.band {
		return x.band > y.band
	}
	return virtualTimeBefore(a, b)
}

// classQueue is the queue of one class on one route, which consists of the flows
// of its accounts.
type classQueue struct {
	route         *route
	number        int
	flows         map[string]*flow
	byVirtualTime flowHeap
	byDensity     flowHeap
	// virtualTime never decreases. An account that becomes active again starts
	// no earlier than this, so that idle time earns no credit.
	virtualTime float64
	// fairCredit is the work that is due to picks by fair share.
	fairCredit float64
	// floorTime is the work started as the floor of less urgent classes. Of the
	// classes that wait, the one with the least goes next.
	floorTime float64
	// bandWork is the waiting work by band, work its sum, and activeWeight the
	// sum of the weights of flows with waiting requests.
	bandWork     [bandCount]float64
	work         float64
	arrivals     arrivalMeter
	activeWeight float64
	waiting      int
}

func newClassQueue(r *route, number int) *classQueue {
	return &classQueue{
		route:         r,
		number:        number,
		flows:         make(map[string]*flow),
		byVirtualTime: flowHeap{less: virtualTimeBefore, heapIndex: heapVirtualTime},
		byDensity:     flowHeap{less: densityBefore, heapIndex: heapDensity},
	}
}

// flowFor returns the flow of a, creating it if needed.
func (q *classQueue) flowFor(a *account, seq uint64) *flow {
	f := q.flows[a.limits.Account]
	if f == nil {
		f = &flow{account: a, class: q, seq: seq, queue: itemHeap{less: beforeInFlow, heapIndex: heapFlow}}
		q.flows[a.limits.Account] = f
	}
	return f
}

func (q *classQueue) add(it *item) {
	f := it.flow
	wasEmpty := f.queue.Len() == 0
	f.queue.add(it)
	f.work += it.work
	q.bandWork[it.band] += it.work
	q.work += it.work
	if q.waiting == 0 {
		q.floorTime = math.Max(q.floorTime, q.route.floorTime)
	}
	q.waiting++
	if !wasEmpty {
		q.byDensity.fix(f)
		return
	}
	f.virtualTime = math.Max(f.virtualTime, q.virtualTime)
	q.activeWeight += f.account.limits.Weight
	q.byVirtualTime.add(f)
	q.byDensity.add(f)
}

func (q *classQueue) remove(it *item) {
	f := it.flow
	f.queue.remove(it)
	f.work -= it.work
	q.bandWork[it.band] = math.Max(0, q.bandWork[it.band]-it.work)
	q.work = math.Max(0, q.work-it.work)
	q.waiting--
	if f.queue.Len() > 0 {
		q.byDensity.fix(f)
		return
	}
	f.work = 0
	q.byVirtualTime.remove(f)
	// The empty flow has no head request to compare, so it is removed by index.
	q.removeEmptyFlow(f)
	q.resetSumsIfEmpty()
}

// removeEmptyFlow removes a flow with an empty queue from byDensity.
func (q *classQueue) removeEmptyFlow(f *flow) {
	h := &q.byDensity
	i, last := f.index[heapDensity], len(h.flows)-1
	h.Swap(i, last)
	h.flows[last] = nil
	h.flows = h.flows[:last]
	if i < last {
		h.fix(h.flows[i])
	}
}

// resetSumsIfEmpty discards accumulated rounding errors when no flow is
// waiting.
func (q *classQueue) resetSumsIfEmpty() {
	if len(q.byVirtualTime.flows) == 0 {
		q.activeWeight, q.work = 0, 0
	}
}

// pick returns the request of the class to start next. At least one must be
// waiting.
//
// Under sustained saturation, picking by value density alone would starve
// accounts of low worth, and picking by fair share alone would spend scarce
// capacity on work of low worth. A fixed fraction of the work is picked by fair
// share, which bounds both effects.
func (q *classQueue) pick() (it *item, fair bool) {
	if q.fairCredit >= 0 {
		return q.byVirtualTime.flows[0].queue.head(), true
	}
	return q.byDensity.flows[0].queue.head(), false
}

// charge accounts for the start of an item, which must have left the queue.
func (q *classQueue) charge(it *item, fairFraction float64, fair, queued bool) {
	f := it.flow
	if f.queue.Len() == 0 {
		f.virtualTime = math.Max(f.virtualTime, q.virtualTime)
	}
	q.virtualTime = math.Max(q.virtualTime, q.minVirtualTime(f))
	f.virtualTime += it.work / f.account.limits.Weight
	if f.queue.Len() > 0 {
		q.byVirtualTime.fix(f)
		q.byDensity.fix(f)
	}
	if !queued {
		return
	}
	q.fairCredit += fairFraction * it.work
	if fair {
		q.fairCredit -= it.work
	}
}

// minVirtualTime returns the minimum virtual time of f and the waiting flows.
func (q *classQueue) minVirtualTime(f *flow) float64 {
	if len(q.byVirtualTime.flows) == 0 {
		return f.virtualTime
	}
	return math.Min(f.virtualTime, q.byVirtualTime.flows[0].virtualTime)
}

// correctCharge replaces the expected running time by the actual one in the
// charge to the account, so that accounts gain nothing from estimates that are
// too low.
func (q *classQueue) correctCharge(it *item, actual float64) {
	const maxRatio = 4 // bounds the charge if an endpoint stalls, which is not the account's fault
	f := it.flow
	f.virtualTime += (math.Min(actual, maxRatio*it.work) - it.work) / f.account.limits.Weight
	if f.queue.Len() > 0 {
		q.byVirtualTime.fix(f)
		q.byDensity.fix(f)
	}
}

// workFrom returns the waiting work in a density band and the higher ones.
func (q *classQueue) workFrom(band int) (sum float64) {
	for _, w := range q.bandWork[band:] {
		sum += w
	}
	return sum
}

// fairWork returns the work of the class that starts before a new request of the
// flow f if all picks are by fair share.
func (q *classQueue) fairWork(f *flow, fairFraction float64) float64 {
	weight := q.activeWeight
	if f.queue.Len() == 0 {
		weight += f.account.limits.Weight
	}
	accountWork := f.work
	if h := f.queue.head(); h != nil {
		accountWork -= h.work
	}
	return accountWork * weight / (f.account.limits.Weight * fairFraction)
}

// recomputeWeight recomputes the sum of the weights of waiting flows after the
// limits have changed.
func (q *classQueue) recomputeWeight() {
	q.activeWeight = 0
	for _, f := range q.byVirtualTime.flows {
		q.activeWeight += f.account.limits.Weight
	}
}
