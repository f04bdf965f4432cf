package expertmap

import "math"

const (
	// maxSweeps is the maximum number of sweeps of one balance call. Load moves
	// by one rank per sweep. Groups of 128 ranks with an average of two
	// replicas per expert are balanced to a thousandth in far fewer sweeps.
	maxSweeps = 200
	// balanceTolerance is the largest change of a replica's load in one sweep,
	// relative to the mean rank load, at which the ranks count as balanced.
	balanceTolerance = 1e-5
	// trialTolerance replaces balanceTolerance while candidate moves are
	// compared.
	trialTolerance = 1e-3
)

// placement is a mutable layer that is being optimized: the expert in each slot
// and the load that each replica takes.
type placement struct {
	shape Shape
	// expertAt is the expert in each slot, or none.
	expertAt []int
	// slotLoad is the load of the replica in each slot.
	slotLoad []float64
	// replicas lists the slots of each expert.
	replicas [][]int
	// rankLoad is the load of each rank, rankVariance the variance of that
	// load, and varianceMargin the amount added to the load for the variance;
	// see LoadVariance.
	rankLoad, rankVariance, varianceMargin []float64
	// expertLoad is the load of each expert.
	expertLoad []float64
	// relVariance is the variance of each expert's load divided by the square
	// of the load.
	relVariance []float64
	// maxZScore is the number of standard deviations in varianceMargin.
	maxZScore    float64
	meanRankLoad float64
}

// newPlacement returns a placement with empty slots.
func newPlacement(shape Shape, load []float64, variance LoadVariance) *placement {
	p := &placement{
		shape:          shape,
		expertAt:       make([]int, shape.Ranks*shape.Slots),
		slotLoad:       make([]float64, shape.Ranks*shape.Slots),
		replicas:       make([][]int, shape.Experts),
		rankLoad:       make([]float64, shape.Ranks),
		rankVariance:   make([]float64, shape.Ranks),
		varianceMargin: make([]float64, shape.Ranks),
		expertLoad:     load,
		relVariance:    make([]float64, shape.Experts),

		maxZScore: maxZScore(shape.Ranks),
	}
	for e, v := range load {
		p.relVariance[e] = variance.relativeVariance(v)
	}
	for i := range p.expertAt {
		p.expertAt[i] = none
	}
	for _, v := range load {
		p.meanRankLoad += v / float64(shape.Ranks)
	}
	return p
}

// placementOf returns the placement of l with the given expert loads, split by
// the shares of l.
func placementOf(l *Layer, load []float64, variance LoadVariance) *placement {
	p := newPlacement(l.shape, load, variance)
	for i, s := range l.slots {
		if s.Expert != none {
			p.addReplica(i, s.Expert)
			p.setSlotLoad(i, load[s.Expert]*float64(s.Share)/ShareUnits)
		}
	}
	return p
}

// copyFrom copies the state of q, which must have the same shape, loads and
// variance as p.
func (p *placement) copyFrom(q *placement) {
	copy(p.expertAt, q.expertAt)
	copy(p.slotLoad, q.slotLoad)
	copy(p.rankLoad, q.rankLoad)
	copy(p.rankVariance, q.rankVariance)
	copy(p.varianceMargin, q.varianceMargin)
	for e := range q.replicas {
		p.replicas[e] = append(p.replicas[e][:0], q.replicas[e]...)
	}
}

func (p *placement) clone() *placement {
	q := newPlacement(p.shape, p.expertLoad, LoadVariance{})
	copy(q.relVariance, p.relVariance)
	q.copyFrom(p)
	return q
}

func (p *placement) rankOf(slot int) int { return slot / p.shape.Slots }

// addReplica puts a replica of e without load into an empty slot.
func (p *placement) addReplica(slot, e int) {
	p.expertAt[slot] = e
	p.replicas[e] = append(p.replicas[e], slot)
}

// removeReplica empties a slot and transfers its load to the first remaining
// replica of the expert, if any.
func (p *placement) removeReplica(slot int) {
	e, load := p.expertAt[slot], p.slotLoad[slot]
	p.setSlotLoad(slot, 0)
	p.expertAt[slot] = none
	kept := p.replicas[e][:0]
	for _, s := range p.replicas[e] {
		if s != slot {
			kept = append(kept, s)
		}
	}
	p.replicas[e] = kept
	if len(kept) > 0 {
		p.setSlotLoad(kept[0], p.slotLoad[kept[0]]+load)
	}
}

// setSlotLoad sets the load of the replica in a slot and updates the load,
// variance and variance margin of its rank.
func (p *placement) setSlotLoad(slot int, v float64) {
	r, old := p.rankOf(slot), p.slotLoad[slot]
	if v == old {
		return
	}
	p.rankLoad[r] += v - old
	p.slotLoad[slot] = v
	p.rankVariance[r] += (v*v - old*old) * p.relVariance[p.expertAt[slot]]
	p.varianceMargin[r] = p.maxZScore * math.Sqrt(max(0, p.rankVariance[r]))
}

// adjustedLoad returns the load of a rank plus its variance margin.
func (p *placement) adjustedLoad(r int) float64 { return p.rankLoad[r] + p.varianceMargin[r] }

func (p *placement) holds(r, e int) bool {
	for _, s := range p.replicas[e] {
		if p.rankOf(s) == r {
			return true
		}
	}
	return false
}

// balance sets the replica loads so that the sum of squares of the rank loads
// is minimal for this placement, by exact coordinate descent over one expert
// after the other. The rank loads that a fixed placement allows form the base
// of a polymatroid, on which the vector with the least sum of squares also has
// the least maximum (Fujishige 1980), so no other shares give a lower maximum
// rank load. The sum of squares is convex and smooth, so the sweeps converge to
// the minimum. balance stops after the given number of sweeps or when the
// largest change in a sweep is below tolerance times the mean rank load.
func (p *placement) balance(sweeps int, tolerance float64) {
	for range sweeps {
		maxChange := 0.0
		for e := range p.replicas {
			if len(p.replicas[e]) > 1 {
				maxChange = max(maxChange, p.waterFill(e))
			}
		}
		if maxChange < tolerance*p.meanRankLoad {
			return
		}
	}
}

// waterFill splits the load of expert e over its replicas so that the adjusted
// loads of their ranks are as equal as possible (water-filling). It returns the
// largest change of a replica's load.
func (p *placement) waterFill(e int) float64 {
	slots := p.replicas[e]
	if len(slots) == 2 {
		return p.waterFillPair(e, slots[0], slots[1])
	}
	p.sortByOtherLoad(slots)
	level := p.waterLevel(e, slots)
	change := 0.0
	for _, s := range slots {
		v := max(0, level-p.otherLoad(s))
		change = max(change, math.Abs(v-p.slotLoad[s]))
		p.setSlotLoad(s, v)
	}
	return change
}

// sortByOtherLoad sorts the slots of an expert by otherLoad. It uses insertion
// sort because it is called for each expert in each sweep, and the slots are
// few and nearly in order.
func (p *placement) sortByOtherLoad(slots []int) {
	for i := 1; i < len(slots); i++ {
		for j := i; j > 0 && p.otherLoad(slots[j]) < p.otherLoad(slots[j-1]); j-- {
			slots[j], slots[j-1] = slots[j-1], slots[j]
		}
	}
}

// waterFillPair is waterFill for an expert with exactly two replicas, in slots
// a and b.
func (p *placement) waterFillPair(e, a, b int) float64 {
	v := (p.expertLoad[e] + p.otherLoad(b) - p.otherLoad(a)) / 2
	v = min(max(v, 0), p.expertLoad[e])
	change := math.Abs(v - p.slotLoad[a])
	p.setSlotLoad(a, v)
	p.setSlotLoad(b, p.expertLoad[e]-v)
	return change
}

// otherLoad returns the adjusted load of the slot's rank without the load of
// the slot itself. The slot's contribution to the variance margin is not
// subtracted; it changes little from one sweep to the next, so the sweeps still
// converge.
func (p *placement) otherLoad(slot int) float64 {
	return p.adjustedLoad(p.rankOf(slot)) - p.slotLoad[slot]
}

// waterLevel returns the adjusted load up to which the load of expert e fills
// the ranks of slots. The slots must be sorted by otherLoad in ascending order.
func (p *placement) waterLevel(e int, slots []int) float64 {
	sum := p.expertLoad[e]
	for i, s := range slots {
		sum += p.otherLoad(s)
		level := sum / float64(i+1)
		if i+1 == len(slots) || level <= p.otherLoad(slots[i+1]) {
			return level
		}
	}
	return 0
}

// buildLayer returns the placement as a layer, with replica loads rounded to
// integer shares that add up to ShareUnits for each expert.
func (p *placement) buildLayer() *Layer {
	slots := emptySlots(p.shape)
	for e, replicas := range p.replicas {
		unitsLeft, loadLeft := ShareUnits, p.expertLoad[e]
		for i, s := range replicas {
			share := unitsLeft
			if i+1 < len(replicas) && loadLeft > 0 {
				share = int(math.Round(float64(unitsLeft) * p.slotLoad[s] / loadLeft))
				share = min(max(share, 0), unitsLeft)
			} else if i+1 < len(replicas) {
				share = unitsLeft / (len(replicas) - i)
			}
			slots[s] = Slot{Expert: e, Share: share}
			unitsLeft -= share
			loadLeft -= p.slotLoad[s]
		}
	}
	return &Layer{shape: p.shape, slots: slots}
}
