package expertmap

import (
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotObserved is returned by NewPlan if a layer has not been observed yet.
var ErrNotObserved = eris.New("expertmap: popularity of a layer has not been observed")

// Limits holds the cost model of a plan and its limits.
type Limits struct {
	// ExpertBytes is the size of the weights of one expert in one layer, in
	// bytes.
	ExpertBytes int64
	// StoreBandwidth is the bandwidth of the weight store that is available to
	// the group, in bytes per second.
	StoreBandwidth int64
	// MaxStagingTime is the maximum time for staging a plan, which is the time
	// for loading its weights.
	MaxStagingTime time.Duration
	// MapLifetime is the expected time that the planned map is in use.
	MapLifetime time.Duration
	// LoadingSlowdown is the relative increase of step time while weights are
	// loaded.
	LoadingSlowdown float64
	// MinGain is the minimum reduction of skew that justifies the messages and
	// the write that activating a new map takes.
	MinGain float64
	// SkewTolerance is the distance from the lower bound on the skew within
	// which a layer needs no moves.
	SkewTolerance float64
	// PoissonLoads says that loads are in tokens per step, so their sampling
	// variance is taken into account; see LoadVariance.
	PoissonLoads bool
}

// MaxMoves returns the number of replicas that the weight store can deliver
// within MaxStagingTime, or zero if ExpertBytes or StoreBandwidth is not
// positive.
func (l Limits) MaxMoves() int {
	if l.ExpertBytes <= 0 || l.StoreBandwidth <= 0 {
		return 0
	}
	return int(l.MaxStagingTime.Seconds() * float64(l.StoreBandwidth) / float64(l.ExpertBytes))
}

// moveCost returns the reduction of skew over MapLifetime that compensates for
// the slower steps while the weights of one move are loaded.
func (l Limits) moveCost() float64 {
	if l.MapLifetime <= 0 || l.StoreBandwidth <= 0 {
		return 0
	}
	load := float64(l.ExpertBytes) / float64(l.StoreBandwidth)
	return l.LoadingSlowdown * load / l.MapLifetime.Seconds()
}

// Plan is a proposed change of a map.
type Plan struct {
	next       *Map
	moves      []Move
	skewBefore float64
	skewAfter  float64
	plannedAt  time.Time
}

// Next returns the planned map. It is the current map if no change is worth its
// cost.
func (p *Plan) Next() *Map { return p.next }

// Moves returns the replicas that ranks have to load.
func (p *Plan) Moves() []Move { return p.moves }

// SkewBefore returns the expected skew of the current map, averaged over all
// layers by load.
func (p *Plan) SkewBefore() float64 { return p.skewBefore }

// SkewAfter returns the expected skew of the planned map, averaged over all
// layers by load.
func (p *Plan) SkewAfter() float64 { return p.skewAfter }

// PlannedAt returns the time for which the plan was made.
func (p *Plan) PlannedAt() time.Time { return p.plannedAt }

// NewPlan plans the successor of current for the estimated popularity. Both
// must have the same number of experts in each layer. It returns ErrNotObserved
// if a layer has not been observed yet and ErrInvalidShape if current and pop
// differ in their number of layers.
//
// It is made for steady traffic whose expert popularity drifts over the day.
// Each step takes as long as its slowest rank, and each replica move uses
// bandwidth of the weight store. So callers lose time if a rank stays
// overloaded, and also if replicas are moved for a short-lived change of
// popularity. Therefore a move has to pay off within MapLifetime, the moves of
// all layers together have to be loaded within MaxStagingTime, layers with a
// higher skew are planned first, and a plan that reduces the skew by less than
// MinGain is discarded.
func NewPlan(current *Map, pop *PopularityEstimator, limits Limits, now time.Time) (*Plan, error) {
	if pop.Layers() != current.Layers() {
		return nil, eris.Wrapf(ErrInvalidShape, "map has %d layers, estimator has %d", current.Layers(), pop.Layers())
	}
	if !pop.Observed() {
		return nil, ErrNotObserved
	}
	plan := &Plan{next: current, plannedAt: now}
	layers, err := plan.improveLayers(current, pop, limits)
	if err != nil {
		return nil, err
	}
	if plan.skewBefore-plan.skewAfter < limits.MinGain {
		plan.skewAfter, plan.moves = plan.skewBefore, nil
		return plan, nil
	}
	plan.next, err = NewMap(current.version+1, layers)
	return plan, err
}

// improveLayers returns the improved layers. It records the moves and the
// skews, averaged by load, in p.
func (p *Plan) improveLayers(current *Map, pop *PopularityEstimator, limits Limits) ([]*Layer, error) {
	layers := make([]*Layer, current.Layers())
	budget := limits.MaxMoves()
	totalWeight := 0.0
	for _, i := range layersBySkew(current, pop) {
		load := pop.Load(i)
		variance := LoadVariance{Drift: pop.Drift(i), Poisson: limits.PoissonLoads}
		imp, err := Improve(current.layers[i], load, variance, budget, limits.moveCost(), limits.SkewTolerance)
		if err != nil {
			return nil, err
		}
		layers[i] = imp.layer
		budget -= imp.moves
		p.moves = append(p.moves, movesBetween(i, current.layers[i], imp.layer)...)
		w := totalLoad(load)
		totalWeight += w
		p.skewBefore += w * imp.skewBefore
		p.skewAfter += w * imp.skewAfter
	}
	if totalWeight == 0 {
		p.skewBefore, p.skewAfter = 1, 1
		return layers, nil
	}
	p.skewBefore /= totalWeight
	p.skewAfter /= totalWeight
	return layers, nil
}

// layersBySkew returns the indexes of the layers in descending order of skew.
func layersBySkew(m *Map, pop *PopularityEstimator) []int {
	order := make([]int, m.Layers())
	skews := make([]float64, m.Layers())
	for i := range order {
		order[i] = i
		skews[i] = Skew(m.layers[i], pop.layers[i].load)
	}
	sort.SliceStable(order, func(i, j int) bool { return skews[order[i]] > skews[order[j]] })
	return order
}

// movesBetween returns the moves that change the given layer of a map from one
// Layer to another.
func movesBetween(layer int, from, to *Layer) []Move {
	var moves []Move
	for i, s := range to.slots {
		r := i / to.shape.Slots
		if s.Expert != none && !from.Holds(r, s.Expert) {
			moves = append(moves, Move{layer: layer, expert: s.Expert, rank: r})
		}
	}
	return moves
}

func totalLoad(load []float64) float64 {
	sum := 0.0
	for _, v := range load {
		sum += v
	}
	return sum
}
