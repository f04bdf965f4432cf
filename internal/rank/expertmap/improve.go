package expertmap

import "github.com/rotisserie/eris"

const (
	// Experts and slots are each selected by two rules. candidateExperts and
	// candidateSlots limit how many each rule selects, so a move evaluates at
	// most four times their product.
	candidateExperts = 3
	candidateSlots   = 6
	// trialSweeps is enough to compare moves; the chosen one is balanced with
	// maxSweeps.
	trialSweeps = 12
	// patience is the number of consecutive moves without improvement after
	// which the search stops.
	patience = 3
)

// Move is a replica that a rank has to load.
type Move struct {
	layer, expert, rank int
}

// Layer returns the index of the layer.
func (m Move) Layer() int { return m.layer }

// Expert returns the index of the expert.
func (m Move) Expert() int { return m.expert }

// Rank returns the index of the rank that loads the replica.
func (m Move) Rank() int { return m.rank }

// Improvement is the result of Improve.
type Improvement struct {
	layer                        *Layer
	moves                        int
	skewBefore, skewWithoutMoves float64
	skewAfter                    float64
}

// Layer returns the improved layer.
func (i *Improvement) Layer() *Layer { return i.layer }

// Moves returns the number of replicas that ranks have to load.
func (i *Improvement) Moves() int { return i.moves }

// SkewBefore returns the expected skew of the original layer.
func (i *Improvement) SkewBefore() float64 { return i.skewBefore }

// SkewWithoutMoves returns the expected skew with the original placement and
// new shares.
func (i *Improvement) SkewWithoutMoves() float64 { return i.skewWithoutMoves }

// SkewAfter returns the expected skew of the improved layer.
func (i *Improvement) SkewAfter() float64 { return i.skewAfter }

// checkLoads returns ErrInvalidLoad if load does not have one finite,
// non-negative value for each expert.
func checkLoads(shape Shape, load []float64) error {
	if len(load) != shape.Experts {
		return eris.Wrapf(ErrInvalidLoad, "%d loads for %d experts", len(load), shape.Experts)
	}
	return checkValues(load)
}

// Improve optimizes the shares of l for the given loads and variance and then
// moves replicas, at most maxMoves, as long as it pays: cost is the reduction
// of the expected skew that each move has to bring. Moves are applied one after
// the other, and Improve returns the layer after the number of moves with the
// lowest sum of expected skew and cost, so a move that pays only together with
// later ones is not missed. The search ends early when the expected skew is at
// most skewTolerance above the lower bound. Improve returns ErrInvalidLoad if
// load does not match the layer or has a value that is negative or not finite.
func Improve(l *Layer, load []float64, variance LoadVariance, maxMoves int, cost, skewTolerance float64) (*Improvement, error) {
	if err := checkLoads(l.shape, load); err != nil {
		return nil, err
	}
	p := placementOf(l, load, variance)
	imp := &Improvement{skewBefore: p.expectedSkew()}
	p.balance(maxSweeps, balanceTolerance)
	imp.layer, imp.skewWithoutMoves, imp.skewAfter = p.buildLayer(), p.expectedSkew(), p.expectedSkew()
	target := LowerBound(load, l.shape) + skewTolerance
	best, nonImproving := p.expectedSkew(), 0
	for n := 1; n <= maxMoves && nonImproving < patience && p.expectedSkew() > target; n++ {
		if !p.applyBestMove() {
			break
		}
		nonImproving++
		if objective := p.expectedSkew() + cost*float64(n); objective < best {
			best, nonImproving = objective, 0
			imp.layer, imp.skewAfter = p.buildLayer(), p.expectedSkew()
		}
	}
	imp.moves = imp.layer.Moves(l)
	return imp, nil
}
