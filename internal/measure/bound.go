package measure

import (
	"math"
	"slices"
	"time"
)

// bound returns the worth that no way of serving can exceed: the most that
// fits into the capacity when requests may be split and interrupted at will
// and each is only worked on between its arrival and its deadline.
//
// Time is cut into seconds, and windows are widened to whole ones, which only
// raises the bound. The work that can be done for a set of requests is then a
// flow from requests to seconds. Taking requests by falling worth density and
// giving each as much as augmenting paths allow is optimal, because the
// feasible amounts form a polymatroid (Edmonds, 1970).
func (w *world) bound() float64 {
	f := newFlowBound(w.capacityBySecond())
	jobs := slices.Clone(w.jobs)
	slices.SortStableFunc(jobs, func(a, b *job) int {
		if a.worth*b.work > b.worth*a.work {
			return -1
		}
		return 1
	})
	var worth float64
	for _, j := range jobs {
		first := int(j.arrival / time.Second)
		last := min(int(j.deadline/time.Second), len(f.left)-1)
		worth += j.worth * f.add(first, last, j.work) / j.work
	}
	return worth
}

// capacityBySecond returns the seconds of work that the endpoints can do in
// each second, by the faults that the shape plans.
func (w *world) capacityBySecond() []float64 {
	caps := make([]float64, int(w.end()/time.Second)+1)
	for t := range caps {
		caps[t] = endpointCapacity * float64(len(w.servers))
		s := w.shape
		if s.slowEndpoint > 0 && t >= 30 && t < 90 {
			caps[t] -= endpointCapacity * (1 - 1/s.slowEndpoint)
		}
		if s.failing && t >= 31 && t < 90 {
			caps[t] -= endpointCapacity
		}
		if s.leave && t >= 30 && t < 70 {
			away := float64(endpointCapacity * endpointsPerDC)
			caps[t] -= away - math.Min(away, w.finishing(30*time.Second, t))
		}
		if s.leave && t >= 70 && t < 70+int(coldTime/time.Second) {
			caps[t] -= (endpointCapacity - 2*coldCapacity) * endpointsPerDC
		}
	}
	return caps
}

// finishing returns what a data centre can still do in second t after it was
// taken out: only requests that had arrived by then and are long enough to
// last until t can be running there, at most at the speed of a small batch.
func (w *world) finishing(out time.Duration, t int) float64 {
	var n float64
	for _, j := range w.jobs {
		if j.arrival <= out && j.work > float64(t)-out.Seconds() {
			n++
		}
	}
	return (1 + batchGain) * n
}

// flowBound is a flow from requests to seconds.
type flowBound struct {
	left []float64
	// given lists, by second, who uses it.
	given [][]*grant
	// full marks seconds from which no path leads to a free one; that stays.
	full []bool
}

// grant is what one request uses in one second.
type grant struct {
	first, last int
	amount      float64
}

func newFlowBound(caps []float64) *flowBound {
	return &flowBound{left: caps, given: make([][]*grant, len(caps)), full: make([]bool, len(caps))}
}

// add gives a request as much as fits and returns it.
func (f *flowBound) add(first, last int, work float64) float64 {
	const eps = 1e-9
	var got float64
	for got < work-eps {
		n := f.augment(first, last, work-got)
		if n <= eps {
			break
		}
		got += n
	}
	return got
}

// hop says how a second was reached: by moving g out of second from.
type hop struct {
	from int
	g    *grant
}

// augment finds a path from the window to a second with room and moves as
// much along it as it allows.
func (f *flowBound) augment(first, last int, want float64) float64 {
	seen := make(map[int]hop)
	var queue []int
	for t := first; t <= last; t++ {
		if !f.full[t] {
			seen[t] = hop{from: -1}
			queue = append(queue, t)
		}
	}
	const eps = 1e-9
	for i := 0; i < len(queue); i++ {
		t := queue[i]
		if f.left[t] > eps {
			return f.move(t, seen, first, last, want)
		}
		for _, g := range f.given[t] {
			if g.amount <= eps {
				continue
			}
			for u := g.first; u <= g.last; u++ {
				if _, ok := seen[u]; !ok && !f.full[u] {
					seen[u] = hop{t, g}
					queue = append(queue, u)
				}
			}
		}
	}
	for _, t := range queue {
		f.full[t] = true
	}
	return 0
}

// move shifts work along the path that ends in second t.
func (f *flowBound) move(t int, seen map[int]hop, first, last int, want float64) float64 {
	n := math.Min(want, f.left[t])
	for u := t; seen[u].from >= 0; u = seen[u].from {
		n = math.Min(n, seen[u].g.amount)
	}
	f.left[t] -= n
	u := t
	for ; seen[u].from >= 0; u = seen[u].from {
		h := seen[u]
		h.g.amount -= n
		f.give(u, h.g.first, h.g.last, n)
	}
	f.give(u, first, last, n)
	return n
}

// give records that a request with this window uses second t. Requests with
// the same window are one in the flow.
func (f *flowBound) give(t, first, last int, n float64) {
	for _, g := range f.given[t] {
		if g.first == first && g.last == last {
			g.amount += n
			return
		}
	}
	f.given[t] = append(f.given[t], &grant{first, last, n})
}
