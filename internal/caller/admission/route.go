package admission

import (
	"math"
	"time"
)

const (
	// bandsPerOctave sets how near two worth densities are to count as equal.
	bandsPerOctave = 4
	// bandCount spans 16 octaves around a density of one worth a second.
	bandCount = 64
)

// band returns the class of a worth density; higher is worth more.
func band(worth, work float64) int {
	if worth <= 0 || work <= 0 {
		return 0
	}
	b := bandCount/2 + int(math.Floor(math.Log2(worth/work)*bandsPerOctave+0.5))
	return min(max(b, 0), bandCount-1)
}

// Positions of an item in the heaps that hold it.
const (
	slotFlow = iota
	slotStart
	slotDisplace
	itemSlots
)

// item is one open request.
type item struct {
	req     Request
	account *account
	flow    *flow
	// work is the expected running time in seconds.
	work    float64
	band    int
	seq     uint64
	arrived time.Time
	// latest is the last moment at which a start can meet the deadline.
	latest  time.Time
	started time.Time
	running bool
	// kept says that it may not be displaced, depth how many its account had
	// waiting for its weight when it came, itself included.
	kept  bool
	depth float64
	pos   [itemSlots]int
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

func startsEarlier(a, b *item) bool {
	if !a.latest.Equal(b.latest) {
		return a.latest.Before(b.latest)
	}
	return a.seq < b.seq
}

// Positions of a flow in the heaps of its route.
const (
	slotVirtual = iota
	slotWorth
	flowSlots
)

// flow is the waiting work of one account on one route.
type flow struct {
	account *account
	queue   itemHeap
	work    float64
	// virtual is the work given to the account, divided by its weight.
	virtual float64
	seq     uint64
	pos     [flowSlots]int
}

func leastServed(a, b *flow) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.seq < b.seq
}

func mostWorth(a, b *flow) bool {
	x, y := a.queue.head(), b.queue.head()
	if x.band != y.band {
		return x.band > y.band
	}
	return leastServed(a, b)
}

// route is the queue of one model or service.
type route struct {
	flows     map[string]*flow
	byVirtual flowHeap
	byWorth   flowHeap
	// virtual never falls; an account that comes back begins here, so that
	// time without demand earns no claim on the present.
	virtual    float64
	fairCredit float64
	// bandWork is the waiting work by band, weight the sum over waiting flows.
	bandWork [bandCount]float64
	inflow   inflow
	weight   float64
	waiting  int
	running  int
	drain    drainMeter
	runs     runStats
	refused  spread
}

func newRoute() *route {
	return &route{
		flows:     make(map[string]*flow),
		byVirtual: flowHeap{less: leastServed, slot: slotVirtual},
		byWorth:   flowHeap{less: mostWorth, slot: slotWorth},
	}
}

// flowOf returns the flow of a, made when needed.
func (r *route) flowOf(a *account, seq uint64) *flow {
	f := r.flows[a.limits.Account]
	if f == nil {
		f = &flow{account: a, seq: seq, queue: itemHeap{less: beforeInFlow, slot: slotFlow}}
		r.flows[a.limits.Account] = f
	}
	return f
}

func (r *route) add(it *item) {
	f := it.flow
	first := f.queue.Len() == 0
	f.queue.add(it)
	f.work += it.work
	r.bandWork[it.band] += it.work
	r.waiting++
	if !first {
		r.byWorth.fix(f)
		return
	}
	f.virtual = math.Max(f.virtual, r.virtual)
	r.weight += f.account.limits.Weight
	r.byVirtual.add(f)
	r.byWorth.add(f)
}

func (r *route) remove(it *item) {
	f := it.flow
	f.queue.remove(it)
	f.work -= it.work
	r.bandWork[it.band] = math.Max(0, r.bandWork[it.band]-it.work)
	r.waiting--
	if f.queue.Len() > 0 {
		r.byWorth.fix(f)
		return
	}
	f.work = 0
	r.byVirtual.remove(f)
	// The emptied flow has no head to compare by: it leaves by position.
	r.removeFromWorth(f)
	r.recountWeight()
}

// removeFromWorth takes out a flow whose queue has become empty.
func (r *route) removeFromWorth(f *flow) {
	h := &r.byWorth
	i, last := f.pos[slotWorth], len(h.flows)-1
	h.Swap(i, last)
	h.flows[last] = nil
	h.flows = h.flows[:last]
	if i < last {
		h.fix(h.flows[i])
	}
}

// recountWeight drops rounding errors whenever the queue empties.
func (r *route) recountWeight() {
	if len(r.byVirtual.flows) == 0 {
		r.weight = 0
	}
}

// pick returns the request that is to start next, or nil.
//
// The load it is made for is lasting saturation. Picks by worth alone would
// starve accounts of little worth, and picks by fair share alone would spend
// scarce capacity on work of little worth; fairPart of the work goes by fair
// share, which bounds both harms.
func (r *route) pick() (it *item, fair bool) {
	if r.waiting == 0 {
		return nil, false
	}
	if r.fairCredit >= 0 {
		return r.byVirtual.flows[0].queue.head(), true
	}
	return r.byWorth.flows[0].queue.head(), false
}

// charge accounts for the start of it. The item must have left the queue.
func (r *route) charge(it *item, fairPart float64, fair, queued bool) {
	f := it.flow
	if f.queue.Len() == 0 {
		f.virtual = math.Max(f.virtual, r.virtual)
	}
	r.virtual = math.Max(r.virtual, r.leastVirtual(f))
	f.virtual += it.work / f.account.limits.Weight
	if f.queue.Len() > 0 {
		r.byVirtual.fix(f)
		r.byWorth.fix(f)
	}
	if !queued {
		return
	}
	r.fairCredit += fairPart * it.work
	if fair {
		r.fairCredit -= it.work
	}
}

// leastVirtual returns the least virtual time among f and the waiting flows.
func (r *route) leastVirtual(f *flow) float64 {
	if len(r.byVirtual.flows) == 0 {
		return f.virtual
	}
	return math.Min(f.virtual, r.byVirtual.flows[0].virtual)
}

// correct replaces the expected by the actual running time, so that accounts
// gain nothing from estimates that are too low.
func (r *route) correct(it *item, actual float64) {
	const most = 4 // a stalled endpoint is not the account's doing
	f := it.flow
	f.virtual += (math.Min(actual, most*it.work) - it.work) / f.account.limits.Weight
	if f.queue.Len() > 0 {
		r.byVirtual.fix(f)
		r.byWorth.fix(f)
	}
}

// wait estimates how long a new request waits: the lesser of the way by worth
// and the way by fair share. Zero means that the drain rate is not known.
//
// By worth, the work of the same and of higher bands goes first, and what
// arrives in higher bands meanwhile too; leastLeft bounds how much is made of
// such arrivals, because bursts end. With equal worth the estimate counts a
// subset of the waiting work, so it never exceeds the wait that a first-in
// first-out queue would give.
//
// By fair share, the account's own waiting work goes first, without its next
// request: that one is served when the account has had least, however many
// others wait.
func (r *route) wait(f *flow, b int, fairPart float64) time.Duration {
	rate := r.drain.rate(r.running)
	if rate <= 0 {
		return 0
	}
	var ahead float64
	for _, w := range r.bandWork[b:] {
		ahead += w
	}
	ahead /= math.Max(leastLeft, 1-r.inflow.above(b)/rate)
	weight := r.weight
	if f.queue.Len() == 0 {
		weight += f.account.limits.Weight
	}
	own := f.work
	if h := f.queue.head(); h != nil {
		own -= h.work
	}
	byFair := own * weight / (f.account.limits.Weight * fairPart)
	return seconds(math.Min(ahead, byFair) / rate)
}
