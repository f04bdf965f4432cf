package admission

import "math/bits"

// RouteConfig describes a route whose service has an equal share of the queue.
type RouteConfig struct {
	// Route is the route, and Service the service whose share its waiting
	// requests use.
	Route, Service string
	// Late marks a route for requests that can no longer meet their latency
	// target. Next starts them after those of all other routes, and a full queue
	// displaces them first.
	Late bool
}

// ConfigureRoutes replaces the configuration of the routes. Routes that are not
// listed share one part of the queue. Waiting requests stay where they are and
// count towards the new shares.
func (c *Controller) ConfigureRoutes(routes []RouteConfig) {
	c.init()
	byRoute := make(map[string]RouteConfig, len(routes))
	for _, r := range routes {
		byRoute[r.Route] = r
		c.routeFor(r.Route)
	}
	for _, it := range c.items {
		if !it.running {
			it.flow.class.route.places.remove(it)
		}
	}
	c.shares = nil
	for name, r := range c.routes {
		r.late = byRoute[name].Late
		r.places = c.placesFor(byRoute[name].Service)
	}
	for _, it := range c.items {
		if !it.running {
			it.flow.class.route.places.add(it)
		}
	}
}

// placesFor returns the places of a service.
func (c *Controller) placesFor(service string) *places {
	for _, p := range c.shares {
		if p.service == service {
			return p
		}
	}
	p := newPlaces(service)
	c.shares = append(c.shares, p)
	return p
}

const (
	// numRanks is the number of ranks of the requests of a service: one for each
	// class of requests that are on time, then one for each class of late ones.
	numRanks = 2 * numClasses
	// onTimeRanks has the bit of each rank of requests that are on time set.
	onTimeRanks = 1<<numClasses - 1
)

// places holds the waiting requests of one service by rank; rank 0 is displaced
// last.
type places struct {
	service string
	waiting int
	// waitingRanks has the bit of each rank with waiting requests set.
	waitingRanks uint32
	ranks        [numRanks]rankPlaces
}

// rankPlaces holds the waiting requests of one rank. Requests of the same rank
// displace only those in displaceable.
type rankPlaces struct{ displaceable, protected itemHeap }

func newPlaces(service string) *places {
	p := &places{service: service}
	for i := range p.ranks {
		p.ranks[i].displaceable = itemHeap{less: displacedBefore, heapIndex: heapPlaces}
		p.ranks[i].protected = itemHeap{less: displacedBefore, heapIndex: heapPlaces}
	}
	return p
}

// rank returns the rank of an item among those of its service.
func (it *item) rank() int {
	if it.flow.class.route.late {
		return numClasses + it.flow.class.number
	}
	return it.flow.class.number
}

// heap returns the heap that an item belongs to.
func (r *rankPlaces) heap(it *item) *itemHeap {
	if it.protected {
		return &r.protected
	}
	return &r.displaceable
}

func (r *rankPlaces) waiting() int { return r.displaceable.Len() + r.protected.Len() }

// victim returns the request of the rank that is displaced first, or nil.
func (r *rankPlaces) victim() *item {
	if it := r.displaceable.head(); it != nil {
		return it
	}
	return r.protected.head()
}

func (p *places) add(it *item) {
	i := it.rank()
	p.ranks[i].heap(it).add(it)
	p.waitingRanks |= 1 << i
	p.waiting++
}

func (p *places) remove(it *item) {
	i := it.rank()
	p.ranks[i].heap(it).remove(it)
	p.waiting--
	if p.ranks[i].waiting() == 0 {
		p.waitingRanks &^= 1 << i
	}
}

// victimFor returns the waiting request that gives its place in a full queue to
// it, or nil if there is none.
//
// A service with less than its equal share takes a place from the service that
// holds most, since classes of different services can't be compared. Otherwise
// the requests of a service compete among themselves.
func (c *Controller) victimFor(it *item) *item {
	own := it.flow.class.route.places
	services := 0
	largest := own
	for _, p := range c.shares {
		if p.waiting > 0 || p == own {
			services++
		}
		if p.waiting > largest.waiting {
			largest = p
		}
	}
	share := c.MaxWaiting / services
	if own.waiting < share && largest != own {
		return largest.leastUrgent(numRanks, 0, largest.floor(0, share))
	}
	return own.victimFor(it, share)
}

// floor returns the number of places, out of the share of the service, that each
// class below the most urgent one keeps while others wait, counting the given
// rank as waiting: a part of floorFraction, but at least one.
func (p *places) floor(rank, share int) int {
	below := bits.OnesCount32((p.waitingRanks|1<<rank)&onTimeRanks) - 1
	if below <= 0 {
		return 1
	}
	return max(1, int(floorFraction*float64(share)/float64(below)))
}

// leastUrgent returns the request that is displaced first among the ranks from
// lowest up to, but not including, end, or nil. On-time ranks keep floor places.
func (p *places) leastUrgent(end, lowest, floor int) *item {
	for i := end - 1; i >= lowest; i-- {
		n := p.ranks[i].waiting()
		if n > floor || n > 0 && i >= numClasses {
			return p.ranks[i].victim()
		}
	}
	return nil
}

// victimFor returns the waiting request of the service that gives its place to
// it, or nil if there is none.
//
// Less urgent requests give their places first. A class with less than its floor
// takes a place even from a more urgent one: without a waiting request it would
// get no part of the work. Late requests have no floor.
func (p *places) victimFor(it *item, share int) *item {
	rank := it.rank()
	floor := p.floor(rank, share)
	if victim := p.leastUrgent(numRanks, rank+1, floor); victim != nil {
		return victim
	}
	own := &p.ranks[rank]
	if rank < numClasses && own.waiting() < floor {
		if victim := p.leastUrgent(rank, 0, floor); victim != nil {
			return victim
		}
	}
	if victim := own.displaceable.head(); victim != nil && (it.protected || displacedBefore(victim, it)) {
		return victim
	}
	return nil
}
