package evenmap

import (
	"slices"
)

const (
	// norm is the power by which the loads of ranks are summed up. The largest
	// load decides how long a step lasts, but a search for it alone stops where
	// two ranks are equally loaded; a high power follows the largest and still
	// sees the second.
	norm = 12
	// freeGain is the least fall of the objective, as a part of the mean load,
	// for which a replica is dropped. Dropping costs nothing but the order.
	freeGain = 1e-3
	// topRanks is how many of the most loaded ranks are looked at for a change,
	// and lowRanks how many of the least loaded that may still copy.
	topRanks = 3
	lowRanks = 12
	// maxChanges bounds the work of one plan.
	maxChanges = 400
)

// Limits bounds what a plan may do.
type Limits struct {
	// PerRank is how many experts one rank may copy in all sets together: they
	// load one after the other, so it is how long the plan takes.
	PerRank int
	// PerSet is how many experts one rank may copy of one set.
	PerSet int
	// Slow is how many times slower than usual each rank is; nil means that
	// none is. All ranks wait for the one that takes longest, so a slow one is
	// given less.
	Slow []float64
	// MinGain is the fall of the skew of one set that a copy must bring.
	MinGain float64
}

// Plan is a planned change of all sets.
type Plan struct {
	next          []*Placement
	copies        int
	before, after float64
}

// Next returns the planned placements.
func (p *Plan) Next() []*Placement { return p.next }

// Copies returns how many experts are copied.
func (p *Plan) Copies() int { return p.copies }

// Before returns the mean skew of the sets without the plan.
func (p *Plan) Before() float64 { return p.before }

// After returns the mean skew with it.
func (p *Plan) After() float64 { return p.after }

// change is one step of the search: an expert copied to a rank, in place of
// another if evict is not negative, or dropped from it. With back, the evicted
// expert moves to the rank that loses the copied one.
type change struct {
	set, expert, to, evict int
	// from is the rank that drops the expert, or negative.
	from int
	back bool
	gain float64
	cost int
}

// planner is a search under way.
type planner struct {
	limits Limits
	start  []*Placement
	sets   []*set
	// spent is how many experts each rank copies.
	spent []int
}

// NewPlan plans the next placements for the given loads of experts by set. The
// search takes the change that gains most for each copy, one after the other:
// the load is a popularity that jumps every few seconds, so a good change now is
// worth more than the best one after a second of copying.
func NewPlan(current []*Placement, loads [][]float64, limits Limits) *Plan {
	s := &planner{limits: limits, start: current, spent: make([]int, current[0].shape.Ranks)}
	plan := &Plan{}
	for i, p := range current {
		st := newSet(p.clone(), loads[i], limits.Slow)
		s.sets = append(s.sets, st)
		plan.before += st.skew() / float64(len(current))
	}
	best := make([]change, len(s.sets))
	for i := range s.sets {
		best[i] = s.best(i)
	}
	for range maxChanges {
		i := bestOf(best)
		if best[i].gain <= 0 {
			break
		}
		touched := s.apply(best[i])
		best[i] = s.best(i)
		for k := range best {
			// A rank may have used up its copies: what others wanted may not fit.
			if touched && !s.fits(best[k]) {
				best[k] = s.best(k)
			}
		}
	}
	for i := range s.sets {
		plan.next = append(plan.next, s.sets[i].p)
		plan.after += s.sets[i].skew() / float64(len(s.sets))
		for _, n := range s.sets[i].p.Copies(current[i]) {
			plan.copies += n
		}
	}
	return plan
}

func bestOf(changes []change) int {
	best := 0
	for i := range changes {
		if changes[i].worth() > changes[best].worth() {
			best = i
		}
	}
	return best
}

// worth orders changes: gain for each copy, free ones first.
func (c change) worth() float64 {
	if c.cost == 0 {
		return c.gain * 10
	}
	return c.gain / float64(c.cost)
}

// apply makes a change and reports whether it made copies.
func (s *planner) apply(c change) bool {
	st := s.sets[c.set]
	if c.to >= 0 {
		if c.evict >= 0 {
			st.p.drop(c.evict, c.to)
		}
		st.p.add(c.expert, c.to)
		s.spend(c.set, c.expert, c.to)
	}
	if c.from >= 0 {
		st.p.drop(c.expert, c.from)
	}
	if c.back {
		st.p.add(c.evict, c.from)
		s.spend(c.set, c.evict, c.from)
	}
	st.measure()
	return c.cost > 0
}

// fits reports whether a change found before may still be made.
func (s *planner) fits(c change) bool {
	if c.cost == 0 {
		return true
	}
	_, ok := s.price(c.set, c.expert, c.to)
	if c.back {
		_, back := s.price(c.set, c.evict, c.from)
		ok = ok && back
	}
	return ok
}

// spend counts a copy unless the rank held the expert at the start.
func (s *planner) spend(set, e, r int) {
	if !s.start[set].Holds(r, e) {
		s.spent[r]++
		s.sets[set].spent[r]++
	}
}

// price returns how many copies it takes to have e on r, and whether r may.
func (s *planner) price(set, e, r int) (int, bool) {
	if s.start[set].Holds(r, e) {
		return 0, true
	}
	return 1, s.spent[r] < s.limits.PerRank && s.sets[set].spent[r] < s.limits.PerSet
}

// best returns the change of a set that gains most.
func (s *planner) best(i int) change {
	st := s.sets[i]
	top := change{set: i}
	if st.mean <= 0 {
		return top
	}
	order := st.byLoad()
	low := s.low(i, order)
	for _, r := range order[:min(topRanks, len(order))] {
		for _, e := range slices.Clone(st.p.ranks[r]) {
			s.consider(&top, s.dropFrom(i, e, r))
			for _, to := range low {
				if to != r && !st.p.Holds(to, e) && st.ranks[to] < st.ranks[r] {
					s.copies(&top, i, e, r, to)
				}
			}
		}
	}
	return top
}

// low returns the least loaded ranks that may still copy an expert of a set.
//
// Load: 129 ranks with 16 sets, on a quarter of a core. Harm prevented: a search
// of all ranks takes longer than the popularity lasts that it is for. What a copy
// gains is nearly the same on each rank that is far from the most loaded.
func (s *planner) low(i int, order []int) []int {
	st := s.sets[i]
	out := make([]int, 0, lowRanks)
	for k := len(order) - 1; k >= 0 && len(out) < lowRanks; k-- {
		if r := order[k]; s.spent[r] < s.limits.PerRank && st.spent[r] < s.limits.PerSet {
			out = append(out, r)
		}
	}
	return out
}

func (s *planner) consider(top *change, c change) {
	least := freeGain
	if c.cost > 0 {
		least = s.limits.MinGain * float64(c.cost)
	}
	if c.gain >= least && (top.gain <= 0 || c.worth() > top.worth()) {
		*top = c
	}
}

// dropFrom is the change that takes expert e off rank r.
func (s *planner) dropFrom(i, e, r int) change {
	st := s.sets[i]
	c := change{set: i, expert: e, to: -1, evict: -1, from: r}
	if len(st.p.holders[e]) < 2 {
		return c
	}
	d := st.begin()
	d.drop(e, r)
	c.gain = d.gain()
	d.back()
	return c
}

// copies considers all ways to have expert e of rank r on rank to as well, or
// there alone.
func (s *planner) copies(top *change, i, e, r, to int) {
	cost, ok := s.price(i, e, to)
	if !ok {
		return
	}
	st := s.sets[i]
	evicts := []int{-1}
	if len(st.p.ranks[to]) >= st.p.shape.Slots {
		evicts = st.p.ranks[to]
	}
	for _, f := range evicts {
		if f >= 0 && len(st.p.holders[f]) < 2 {
			s.swap(top, i, e, r, to, f, cost)
			continue
		}
		c := change{set: i, expert: e, to: to, evict: f, from: -1, cost: cost}
		d := st.begin()
		if f >= 0 {
			d.drop(f, to)
		}
		d.add(e, to)
		c.gain = d.gain()
		s.consider(top, c)
		d.drop(e, r)
		c.from, c.gain = r, d.gain()
		d.back()
		s.consider(top, c)
	}
}

// swap considers that e and f, which no other rank holds, change places.
func (s *planner) swap(top *change, i, e, r, to, f, cost int) {
	back, ok := s.price(i, f, r)
	st := s.sets[i]
	if !ok || st.p.Holds(r, f) {
		return
	}
	d := st.begin()
	d.drop(f, to)
	d.add(e, to)
	d.drop(e, r)
	d.add(f, r)
	gain := d.gain()
	d.back()
	s.consider(top, change{set: i, expert: e, to: to, evict: f, from: r, back: true, cost: cost + back, gain: gain})
}
