package expertmap

import "math"

const (
	// maxSweeps bounds the work of one balance. Load travels one rank a
	// sweep; groups of 128 ranks with two replicas an expert on average are
	// level to a thousandth well before.
	maxSweeps = 200
	// levelError is the change of load in a sweep, as part of the mean load
	// of a rank, below which the ranks count as level.
	levelError = 1e-5
	// trialError is levelError for the comparison of moves.
	trialError = 1e-3
)

// placement is a layer under construction: which slot holds which expert, and
// the load that each replica takes.
type placement struct {
	shape Shape
	// at is the expert in each slot, or none.
	at []int
	// part is the load that the replica in each slot takes.
	part []float64
	// replicas lists the slots of each expert.
	replicas [][]int
	// ranks is the load of each rank, variance its variance and risk what is
	// added to the load for it; see Risk.
	ranks, variance, risk []float64
	load                  []float64
	// relative is the variance of each expert's load over the load's square.
	relative   []float64
	deviations float64
	mean       float64
}

func newPlacement(shape Shape, load []float64, risk Risk) *placement {
	p := &placement{
		shape:    shape,
		at:       make([]int, shape.Ranks*shape.Slots),
		part:     make([]float64, shape.Ranks*shape.Slots),
		replicas: make([][]int, shape.Experts),
		ranks:    make([]float64, shape.Ranks),
		variance: make([]float64, shape.Ranks),
		risk:     make([]float64, shape.Ranks),
		load:     load,
		relative: make([]float64, shape.Experts),

		deviations: deviations(shape.Ranks),
	}
	for e, v := range load {
		p.relative[e] = risk.relative(v)
	}
	for i := range p.at {
		p.at[i] = none
	}
	for _, v := range load {
		p.mean += v / float64(shape.Ranks)
	}
	return p
}

func placementOf(l *Layer, load []float64, risk Risk) *placement {
	p := newPlacement(l.shape, load, risk)
	for i, s := range l.slots {
		if s.Expert != none {
			p.put(i, s.Expert)
			p.setPart(i, load[s.Expert]*float64(s.Share)/ShareUnits)
		}
	}
	return p
}

func (p *placement) copyFrom(q *placement) {
	copy(p.at, q.at)
	copy(p.part, q.part)
	copy(p.ranks, q.ranks)
	copy(p.variance, q.variance)
	copy(p.risk, q.risk)
	for e := range q.replicas {
		p.replicas[e] = append(p.replicas[e][:0], q.replicas[e]...)
	}
}

func (p *placement) clone() *placement {
	q := newPlacement(p.shape, p.load, Risk{})
	copy(q.relative, p.relative)
	q.copyFrom(p)
	return q
}

func (p *placement) rankOf(slot int) int { return slot / p.shape.Slots }

func (p *placement) put(slot, e int) {
	p.at[slot] = e
	p.replicas[e] = append(p.replicas[e], slot)
}

// drop empties a slot and gives its load to the expert's first other replica, if
// there is one.
func (p *placement) drop(slot int) {
	e, left := p.at[slot], p.part[slot]
	p.setPart(slot, 0)
	p.at[slot] = none
	kept := p.replicas[e][:0]
	for _, s := range p.replicas[e] {
		if s != slot {
			kept = append(kept, s)
		}
	}
	p.replicas[e] = kept
	if len(kept) > 0 {
		p.setPart(kept[0], p.part[kept[0]]+left)
	}
}

func (p *placement) setPart(slot int, v float64) {
	r, old := p.rankOf(slot), p.part[slot]
	if v == old {
		return
	}
	p.ranks[r] += v - old
	p.part[slot] = v
	p.variance[r] += (v*v - old*old) * p.relative[p.at[slot]]
	p.risk[r] = p.deviations * math.Sqrt(max(0, p.variance[r]))
}

// counted returns the load of a rank with its risk.
func (p *placement) counted(r int) float64 { return p.ranks[r] + p.risk[r] }

func (p *placement) holds(r, e int) bool {
	for _, s := range p.replicas[e] {
		if p.rankOf(s) == r {
			return true
		}
	}
	return false
}

// balance sets the parts so that the sum of squares of the ranks' loads is
// least for this placement, by exact minimisation over one expert after the
// other. Rank loads under a fixed placement form the base of a polymatroid, on
// which the vector with the least sum of squares also has the least maximum
// (Fujishige 1980), so the slowest rank is as fast as shares can make it. The
// sum of squares is convex and smooth, so the rounds converge to it.
func (p *placement) balance(sweeps int, levelError float64) {
	for range sweeps {
		change := 0.0
		for e := range p.replicas {
			if len(p.replicas[e]) > 1 {
				change = max(change, p.level(e))
			}
		}
		if change < levelError*p.mean {
			return
		}
	}
}

// level splits one expert's load over its replicas so that their ranks are as
// level as they get, and returns the largest change of a part.
func (p *placement) level(e int) float64 {
	slots := p.replicas[e]
	if len(slots) == 2 {
		return p.levelTwo(e, slots[0], slots[1])
	}
	p.sortByOthers(slots)
	height := p.height(e, slots)
	change := 0.0
	for _, s := range slots {
		v := max(0, height-p.others(s))
		change = max(change, math.Abs(v-p.part[s]))
		p.setPart(s, v)
	}
	return change
}

// sortByOthers sorts the few slots of an expert by insertion; it is called for
// each expert in each sweep, and they are nearly in order.
func (p *placement) sortByOthers(slots []int) {
	for i := 1; i < len(slots); i++ {
		for j := i; j > 0 && p.others(slots[j]) < p.others(slots[j-1]); j-- {
			slots[j], slots[j-1] = slots[j-1], slots[j]
		}
	}
}

func (p *placement) levelTwo(e, a, b int) float64 {
	v := (p.load[e] + p.others(b) - p.others(a)) / 2
	v = min(max(v, 0), p.load[e])
	change := math.Abs(v - p.part[a])
	p.setPart(a, v)
	p.setPart(b, p.load[e]-v)
	return change
}

// others returns the counted load of a slot's rank without the slot's own part.
// The part of the risk that is the slot's own stays in; it changes little from
// one sweep to the next, so the sweeps settle.
func (p *placement) others(slot int) float64 {
	return p.counted(p.rankOf(slot)) - p.part[slot]
}

// height returns the level to which the expert's load fills the ranks of its
// slots, which are in ascending order of their other load.
func (p *placement) height(e int, slots []int) float64 {
	sum := p.load[e]
	for i, s := range slots {
		sum += p.others(s)
		h := sum / float64(i+1)
		if i+1 == len(slots) || h <= p.others(slots[i+1]) {
			return h
		}
	}
	return 0
}

// layer rounds the parts to whole shares.
func (p *placement) layer() *Layer {
	slots := emptySlots(p.shape)
	for e, reps := range p.replicas {
		left, part := ShareUnits, p.load[e]
		for i, s := range reps {
			share := left
			if i+1 < len(reps) && part > 0 {
				share = int(math.Round(float64(left) * p.part[s] / part))
				share = min(max(share, 0), left)
			} else if i+1 < len(reps) {
				share = left / (len(reps) - i)
			}
			slots[s] = Slot{Expert: e, Share: share}
			left -= share
			part -= p.part[s]
		}
	}
	return &Layer{shape: p.shape, slots: slots}
}
