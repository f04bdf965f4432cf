package expertmap

import "github.com/rotisserie/eris"

const (
	// The number of experts of each kind that are tried for a move, and of slots
	// of each kind: four times their product bounds the time of a move.
	triedExperts = 3
	triedSlots   = 6
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
	p.balance(maxSweeps, levelError)
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
