package evenmap

import (
	"slices"
)

const (
	// normExponent is the exponent of the norm over the loads of ranks. The
	// largest load determines how long a step lasts, but a search that
	// minimizes it alone stops where two ranks are equally loaded. A high
	// exponent approximates the maximum and still responds to the second
	// largest load.
	normExponent = 12
	// minDropGain is the minimum decrease of the objective, relative to the
	// mean load, for which a replica is dropped. Dropping costs nothing but the
	// order to the rank.
	minDropGain = 1e-3
	// maxSourceRanks is how many of the most loaded ranks are considered for a
	// change, and maxTargetRanks how many of the least loaded ranks that may
	// still copy.
	maxSourceRanks = 3
	maxTargetRanks = 12
	// maxChanges limits the work of one plan.
	maxChanges = 400
)

// Limits restricts the changes of a plan.
type Limits struct {
	// CopiesPerRank is how many experts one rank may copy in all sets together.
	// A rank loads them one after the other, so it determines how long the plan
	// takes.
	CopiesPerRank int
	// CopiesPerSet is how many experts of one set a rank may copy.
	CopiesPerSet int
	// Slowdown is the factor by which each rank is slower than usual; nil means
	// 1 for all. All ranks wait for the slowest one, so a slow rank is given
	// less load.
	Slowdown []float64
	// MinGain is the minimum decrease of a set's skew, approximated by the norm
	// of its rank loads, for each copy.
	MinGain float64
}

// Plan is a planned change of the placements of all layer sets.
type Plan struct {
	placements            []*Placement
	copies                int
	skewBefore, skewAfter float64
}

// Placements returns the planned placements by set.
func (p *Plan) Placements() []*Placement { return p.placements }

// Copies returns the number of experts to copy.
func (p *Plan) Copies() int { return p.copies }

// SkewBefore returns the mean skew of the sets without the plan.
func (p *Plan) SkewBefore() float64 { return p.skewBefore }

// SkewAfter returns the mean skew of the sets with the plan.
func (p *Plan) SkewAfter() float64 { return p.skewAfter }

// change is one step of the search. If to is not negative, expert is copied to
// this rank, in place of the expert evict unless that is negative. If from is
// not negative, this rank drops expert. With swap, evict moves to the rank
// from.
type change struct {
	set, expert, to, evict int
	from                   int
	swap                   bool
	// gain is the decrease of the objective, cost the number of copies.
	gain float64
	cost int
}

// search is the state of a plan's greedy search.
type search struct {
	limits  Limits
	current []*Placement
	sets    []*setState
	// copied is how many experts each rank copies in all sets.
	copied []int
}

// NewPlan plans the next placements for the given loads of experts, by set.
// There must be at least one set. The search repeatedly takes the change with
// the largest gain per copy: popularity jumps every few seconds, so a good
// change now is worth more than the best one after a second of copying.
func NewPlan(current []*Placement, loads [][]float64, limits Limits) *Plan {
	s := &search{limits: limits, current: current, copied: make([]int, current[0].shape.Ranks)}
	plan := &Plan{}
	for i, p := range current {
		st := newSetState(p.clone(), loads[i], limits.Slowdown)
		s.sets = append(s.sets, st)
		plan.skewBefore += st.skew() / float64(len(current))
	}
	bestChanges := make([]change, len(s.sets))
	for i := range s.sets {
		bestChanges[i] = s.bestChange(i)
	}
	for range maxChanges {
		i := indexOfBest(bestChanges)
		if bestChanges[i].gain <= 0 {
			break
		}
		copied := s.apply(bestChanges[i])
		bestChanges[i] = s.bestChange(i)
		for k := range bestChanges {
			// The copy may have used up a rank's limit, so that other changes
			// no longer fit.
			if copied && !s.feasible(bestChanges[k]) {
				bestChanges[k] = s.bestChange(k)
			}
		}
	}
	for i := range s.sets {
		plan.placements = append(plan.placements, s.sets[i].p)
		plan.skewAfter += s.sets[i].skew() / float64(len(s.sets))
		for _, n := range s.sets[i].p.Copies(current[i]) {
			plan.copies += n
		}
	}
	return plan
}

func indexOfBest(changes []change) int {
	best := 0
	for i := range changes {
		if changes[i].score() > changes[best].score() {
			best = i
		}
	}
	return best
}

// score returns the gain per copy, by which changes are compared. The gain of a
// change without copies counts ten times, so that such changes are preferred.
func (c change) score() float64 {
	if c.cost == 0 {
		return c.gain * 10
	}
	return c.gain / float64(c.cost)
}

// apply makes a change and reports whether it copied an expert.
func (s *search) apply(c change) bool {
	st := s.sets[c.set]
	if c.to >= 0 {
		if c.evict >= 0 {
			st.p.drop(c.evict, c.to)
		}
		st.p.add(c.expert, c.to)
		s.countCopy(c.set, c.expert, c.to)
	}
	if c.from >= 0 {
		st.p.drop(c.expert, c.from)
	}
	if c.swap {
		st.p.add(c.evict, c.from)
		s.countCopy(c.set, c.evict, c.from)
	}
	st.recompute()
	return c.cost > 0
}

// feasible reports whether a change found earlier is still within the limits.
func (s *search) feasible(c change) bool {
	if c.cost == 0 {
		return true
	}
	_, ok := s.copyCost(c.set, c.expert, c.to)
	if c.swap {
		_, swapOK := s.copyCost(c.set, c.evict, c.from)
		ok = ok && swapOK
	}
	return ok
}

// countCopy counts a copy of expert e to rank r, unless r held it at the start.
func (s *search) countCopy(set, e, r int) {
	if !s.current[set].Holds(r, e) {
		s.copied[r]++
		s.sets[set].copied[r]++
	}
}

// copyCost returns how many copies it takes to have expert e on rank r, and
// whether the limits of r allow them.
func (s *search) copyCost(set, e, r int) (int, bool) {
	if s.current[set].Holds(r, e) {
		return 0, true
	}
	return 1, s.copied[r] < s.limits.CopiesPerRank && s.sets[set].copied[r] < s.limits.CopiesPerSet
}

// bestChange returns the change of a set with the highest score. Its gain is 0
// if no change is good enough.
func (s *search) bestChange(i int) change {
	st := s.sets[i]
	best := change{set: i}
	if st.mean <= 0 {
		return best
	}
	order := st.ranksByLoad()
	targets := s.targetRanks(i, order)
	for _, r := range order[:min(maxSourceRanks, len(order))] {
		for _, e := range slices.Clone(st.p.ranks[r]) {
			s.keepBetter(&best, s.dropChange(i, e, r))
			for _, to := range targets {
				if to != r && !st.p.Holds(to, e) && st.rankLoads[to] < st.rankLoads[r] {
					s.considerCopies(&best, i, e, r, to)
				}
			}
		}
	}
	return best
}

// targetRanks returns the least loaded ranks that may still copy an expert of
// the set.
//
// With 129 ranks and 16 sets on a quarter of a core, a search of all ranks
// would take longer than the popularity on which it is based lasts. A copy
// gains nearly the same on all ranks whose load is far below the largest.
func (s *search) targetRanks(i int, order []int) []int {
	st := s.sets[i]
	out := make([]int, 0, maxTargetRanks)
	for k := len(order) - 1; k >= 0 && len(out) < maxTargetRanks; k-- {
		if r := order[k]; s.copied[r] < s.limits.CopiesPerRank && st.copied[r] < s.limits.CopiesPerSet {
			out = append(out, r)
		}
	}
	return out
}

// keepBetter replaces best with c if c gains enough and scores higher.
func (s *search) keepBetter(best *change, c change) {
	least := minDropGain
	if c.cost > 0 {
		least = s.limits.MinGain * float64(c.cost)
	}
	if c.gain >= least && (best.gain <= 0 || c.score() > best.score()) {
		*best = c
	}
}

// dropChange returns the change that drops expert e from rank r. Its gain is 0
// if no other rank holds e.
func (s *search) dropChange(i, e, r int) change {
	st := s.sets[i]
	c := change{set: i, expert: e, to: -1, evict: -1, from: r}
	if len(st.p.holders[e]) < 2 {
		return c
	}
	t := st.beginTrial()
	t.drop(e, r)
	c.gain = t.gain()
	t.rollback()
	return c
}

// considerCopies considers all changes that put expert e of rank r on rank to,
// with and without dropping it from r.
func (s *search) considerCopies(best *change, i, e, r, to int) {
	cost, ok := s.copyCost(i, e, to)
	if !ok {
		return
	}
	st := s.sets[i]
	evicts := []int{-1}
	if len(st.p.ranks[to]) >= st.p.shape.Slots {
		evicts = st.p.ranks[to]
	}
	for _, evict := range evicts {
		if evict >= 0 && len(st.p.holders[evict]) < 2 {
			s.considerSwap(best, i, e, r, to, evict, cost)
			continue
		}
		c := change{set: i, expert: e, to: to, evict: evict, from: -1, cost: cost}
		t := st.beginTrial()
		if evict >= 0 {
			t.drop(evict, to)
		}
		t.add(e, to)
		c.gain = t.gain()
		s.keepBetter(best, c)
		t.drop(e, r)
		c.from, c.gain = r, t.gain()
		t.rollback()
		s.keepBetter(best, c)
	}
}

// considerSwap considers exchanging e on rank r for evict on rank to. No rank
// other than to holds evict.
func (s *search) considerSwap(best *change, i, e, r, to, evict, cost int) {
	backCost, ok := s.copyCost(i, evict, r)
	st := s.sets[i]
	if !ok || st.p.Holds(r, evict) {
		return
	}
	t := st.beginTrial()
	t.drop(evict, to)
	t.add(e, to)
	t.drop(e, r)
	t.add(evict, r)
	gain := t.gain()
	t.rollback()
	s.keepBetter(best, change{set: i, expert: e, to: to, evict: evict, from: r, swap: true, cost: cost + backCost, gain: gain})
}
