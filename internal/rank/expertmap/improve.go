package expertmap

import (
	"sort"

	"github.com/rotisserie/eris"
)

const (
	// The number of experts on slow ranks, of fast ranks and of slots on each
	// that are tried for a move: their product bounds the time of a move.
	triedExperts = 4
	triedRanks   = 6
	triedSlots   = 2
	// trialSweeps is enough to compare moves; the one taken is balanced fully.
	trialSweeps = 12
	// patience is how many moves in a row may fail to pay before no more are
	// tried.
	patience = 3
)

// Move is one replica that a rank has to load.
type Move struct {
	layer, expert, rank int
}

// Layer returns the number of the layer.
func (m Move) Layer() int { return m.layer }

// Expert returns the number of the expert.
func (m Move) Expert() int { return m.expert }

// Rank returns the number of the rank that loads the expert.
func (m Move) Rank() int { return m.rank }

// Improvement is a layer that was reached from another by a few moves.
type Improvement struct {
	layer        *Layer
	moves        int
	before, kept float64
	after        float64
}

// Layer returns the improved layer.
func (i *Improvement) Layer() *Layer { return i.layer }

// Moves returns the number of replicas that ranks must load.
func (i *Improvement) Moves() int { return i.moves }

// Before returns the expected skew of the layer as it was.
func (i *Improvement) Before() float64 { return i.before }

// Kept returns the expected skew with new shares and no move.
func (i *Improvement) Kept() float64 { return i.kept }

// After returns the expected skew of the improved layer.
func (i *Improvement) After() float64 { return i.after }

func checkLoads(shape Shape, load []float64) error {
	if len(load) != shape.Experts {
		return eris.Wrapf(ErrObservation, "%d loads for %d experts", len(load), shape.Experts)
	}
	return checkLoad(load)
}

// Improve sets the shares of l for the given loads and risk and then moves
// replicas, at most maxMoves, for as long as a move pays: cost is what the
// expected skew must fall by for each move. Moves are tried one after the other,
// and the number of moves with the best gain less cost is taken, so that a move
// that pays only together with the next ones is not missed. Once the skew is
// within goal of the lower bound no further move is tried. It returns
// ErrObservation for loads that don't fit the layer.
func Improve(l *Layer, load []float64, risk Risk, maxMoves int, cost, goal float64) (*Improvement, error) {
	if err := checkLoads(l.shape, load); err != nil {
		return nil, err
	}
	p := placementOf(l, load, risk)
	out := &Improvement{before: p.skew()}
	p.balance(maxSweeps)
	out.layer, out.kept, out.after = p.layer(), p.skew(), p.skew()
	target := LowerBound(load, l.shape) + goal
	best, idle := p.skew(), 0
	for n := 1; n <= maxMoves && idle < patience && p.skew() > target; n++ {
		if !p.move() {
			break
		}
		idle++
		if worth := p.skew() + cost*float64(n); worth < best {
			best, idle = worth, 0
			out.layer, out.after = p.layer(), p.skew()
		}
	}
	out.moves = out.layer.Moves(l)
	return out, nil
}

// move makes the best of the moves tried and reports whether there was one.
func (p *placement) move() bool {
	trial := p.clone()
	best, bestExpert, bestSlot := p.potential(), none, none
	for _, e := range p.hotExperts() {
		for _, r := range p.coolRanks(e) {
			for _, s := range p.victims(r) {
				trial.copyFrom(p)
				trial.replace(s, e)
				trial.balance(trialSweeps)
				if v := trial.potential(); v < best {
					best, bestExpert, bestSlot = v, e, s
				}
			}
		}
	}
	if bestExpert == none {
		return false
	}
	p.replace(bestSlot, bestExpert)
	p.balance(maxSweeps)
	return true
}

func (p *placement) replace(slot, e int) {
	if p.at[slot] != none {
		p.drop(slot)
	}
	p.put(slot, e)
	p.level(e)
}

// potential is a smooth stand-in for the slowest rank's load: when several
// ranks are equally slow, a move that relieves one of them already lowers it.
func (p *placement) potential() float64 {
	sum := 0.0
	for r := range p.ranks {
		x := p.counted(r) / p.mean
		x *= x
		x *= x
		x *= x
		x *= x
		sum += x * x
	}
	return sum
}

// hotExperts returns the experts with the largest parts on the slowest rank.
func (p *placement) hotExperts() []int {
	slow := 0
	for r := range p.ranks {
		if p.counted(r) > p.counted(slow) {
			slow = r
		}
	}
	slots := make([]int, 0, p.shape.Slots)
	for s := slow * p.shape.Slots; s < (slow+1)*p.shape.Slots; s++ {
		if p.at[s] != none && p.part[s] > 0 {
			slots = append(slots, s)
		}
	}
	sort.Slice(slots, func(i, j int) bool { return p.part[slots[i]] > p.part[slots[j]] })
	experts := make([]int, 0, triedExperts)
	for _, s := range slots[:min(len(slots), triedExperts)] {
		experts = append(experts, p.at[s])
	}
	return experts
}

// coolRanks returns the ranks with the least load that don't hold e.
func (p *placement) coolRanks(e int) []int {
	ranks := make([]int, 0, p.shape.Ranks)
	for r := range p.ranks {
		if !p.holds(r, e) {
			ranks = append(ranks, r)
		}
	}
	sort.Slice(ranks, func(i, j int) bool { return p.counted(ranks[i]) < p.counted(ranks[j]) })
	return ranks[:min(len(ranks), triedRanks)]
}

// victims returns the slots of a rank that can be given up: an empty one, or
// those whose expert has another replica, smallest part first.
func (p *placement) victims(r int) []int {
	slots := make([]int, 0, p.shape.Slots)
	for s := r * p.shape.Slots; s < (r+1)*p.shape.Slots; s++ {
		if p.at[s] == none {
			return []int{s}
		}
		if len(p.replicas[p.at[s]]) > 1 {
			slots = append(slots, s)
		}
	}
	sort.Slice(slots, func(i, j int) bool { return p.part[slots[i]] < p.part[slots[j]] })
	return slots[:min(len(slots), triedSlots)]
}
