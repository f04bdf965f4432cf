package expertmap

import (
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotObserved is returned while a layer's popularity is unknown.
var ErrNotObserved = eris.New("expertmap: not every layer has been observed")

// Limits bounds what a plan may cost.
type Limits struct {
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64
	// StoreRate is what the weight store gives the group, in bytes a second.
	StoreRate int64
	// StageTime bounds how long the staging of one plan may take.
	StageTime time.Duration
	// Life is how long the planned map is expected to stay in force.
	Life time.Duration
	// Slowdown is the part by which steps last longer while weights load.
	Slowdown float64
	// MinGain is the fall of the skew below which no new map is worth the
	// messages and the write that bring it into force.
	MinGain float64
	// Goal is the distance from the lower bound, in skew, at which a layer
	// counts as good enough to move nothing.
	Goal float64
	// Tokens says that loads are counted in tokens a step, so that the chance
	// in their draw is allowed for.
	Tokens bool
}

// MaxMoves returns how many replicas the store gives within StageTime.
func (l Limits) MaxMoves() int {
	if l.ExpertBytes <= 0 || l.StoreRate <= 0 {
		return 0
	}
	return int(l.StageTime.Seconds() * float64(l.StoreRate) / float64(l.ExpertBytes))
}

// moveCost returns by how much one move lengthens steps, as the fall of skew
// over the map's life that would make up for it.
func (l Limits) moveCost() float64 {
	if l.Life <= 0 || l.StoreRate <= 0 {
		return 0
	}
	load := float64(l.ExpertBytes) / float64(l.StoreRate)
	return l.Slowdown * load / l.Life.Seconds()
}

// Plan says what to change in a map and why.
type Plan struct {
	next   *Map
	moves  []Move
	before float64
	after  float64
	at     time.Time
}

// Next returns the planned map. It is the current one when nothing is worth a
// change.
func (p *Plan) Next() *Map { return p.next }

// Moves returns the replicas that ranks must load.
func (p *Plan) Moves() []Move { return p.moves }

// Before and After return the skew without and with the plan, over all layers.
func (p *Plan) Before() float64 { return p.before }

// After returns the skew with the plan, over all layers.
func (p *Plan) After() float64 { return p.after }

// At returns the time that the plan was made for.
func (p *Plan) At() time.Time { return p.at }

// NewPlan plans the next map for the estimated popularity. It returns
// ErrNotObserved before each layer has been observed and ErrShape when map and
// estimator differ in layers.
//
// Load: steady traffic whose expert popularity drifts through the day. Harm
// prevented: each step lasts as long as its slowest rank, and each moved
// replica takes the weight store's rate from the group, so both idling beside
// a hot rank and moving for a passing wave cost the callers time. Limits: a
// move must pay for itself within Life; the moves of all layers together fit
// StageTime at the store's rate; the layers with the most skew choose first;
// and a plan that gains less than MinGain is not made.
func NewPlan(current *Map, pop *Popularity, limits Limits, now time.Time) (*Plan, error) {
	if pop.Layers() != current.Layers() {
		return nil, eris.Wrapf(ErrShape, "%d layers, %d observed", current.Layers(), pop.Layers())
	}
	if !pop.Known() {
		return nil, ErrNotObserved
	}
	plan := &Plan{next: current, at: now}
	layers, err := plan.improve(current, pop, limits)
	if err != nil {
		return nil, err
	}
	if plan.before-plan.after < limits.MinGain {
		plan.after, plan.moves = plan.before, nil
		return plan, nil
	}
	plan.next, err = NewMap(current.version+1, layers)
	return plan, err
}

// improve returns the improved layers and sums up skews and moves.
func (p *Plan) improve(current *Map, pop *Popularity, limits Limits) ([]*Layer, error) {
	layers := make([]*Layer, current.Layers())
	budget := limits.MaxMoves()
	weight := 0.0
	for _, i := range bySkew(current, pop) {
		load := pop.Load(i)
		risk := Risk{Drift: pop.Drift(i), Draw: limits.Tokens}
		imp, err := Improve(current.layers[i], load, risk, budget, limits.moveCost(), limits.Goal)
		if err != nil {
			return nil, err
		}
		layers[i] = imp.layer
		budget -= imp.moves
		p.moves = append(p.moves, movesOf(i, current.layers[i], imp.layer)...)
		w := total(load)
		weight += w
		p.before += w * imp.before
		p.after += w * imp.after
	}
	if weight == 0 {
		p.before, p.after = 1, 1
		return layers, nil
	}
	p.before /= weight
	p.after /= weight
	return layers, nil
}

// bySkew returns the layers in descending order of skew.
func bySkew(m *Map, pop *Popularity) []int {
	order := make([]int, m.Layers())
	skews := make([]float64, m.Layers())
	for i := range order {
		order[i] = i
		skews[i] = Skew(m.layers[i], pop.layers[i].load)
	}
	sort.SliceStable(order, func(i, j int) bool { return skews[order[i]] > skews[order[j]] })
	return order
}

func movesOf(layer int, from, to *Layer) []Move {
	var moves []Move
	for i, s := range to.slots {
		r := i / to.shape.Slots
		if s.Expert != none && !from.Holds(r, s.Expert) {
			moves = append(moves, Move{layer: layer, expert: s.Expert, rank: r})
		}
	}
	return moves
}

func total(load []float64) float64 {
	sum := 0.0
	for _, v := range load {
		sum += v
	}
	return sum
}
