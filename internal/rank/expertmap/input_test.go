package expertmap

import (
	"errors"
	"math"
	"testing"
	"time"
)

func assertError(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("error %v, want %v", got, want)
	}
}

func TestNewLayerRejectsInvalidInput(t *testing.T) {
	shape := Shape{Ranks: 2, Slots: 2, Experts: 2}
	full := Slot{Expert: 0, Share: ShareUnits}
	empty := Slot{Expert: none}
	for _, c := range []struct {
		name  string
		shape Shape
		slots []Slot
		want  error
	}{
		{"more experts than slots", Shape{1, 1, 2}, nil, ErrInvalidShape},
		{"no ranks", Shape{0, 1, 1}, nil, ErrInvalidShape},
		{"too few slots", shape, []Slot{full}, ErrInvalidLayer},
		{"expert without replica", shape, []Slot{full, empty, empty, empty}, ErrInvalidLayer},
		{"two replicas of an expert on a rank", shape, []Slot{{0, 1}, {0, ShareUnits - 1}, {1, ShareUnits}, empty}, ErrInvalidLayer},
		{"shares do not add up", shape, []Slot{{0, 1}, {1, ShareUnits}, empty, empty}, ErrInvalidLayer},
		{"expert out of range", shape, []Slot{full, {2, ShareUnits}, {1, ShareUnits}, empty}, ErrInvalidLayer},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := NewLayer(c.shape, c.slots)
			assertError(t, err, c.want)
		})
	}
}

func TestInvalidLoadsAreRejected(t *testing.T) {
	shape := Shape{Ranks: 2, Slots: 2, Experts: 2}
	for _, load := range [][]float64{{1}, {1, -1}, {1, math.NaN()}, {1, math.Inf(1)}} {
		_, err := Solve(shape, load, LoadVariance{})
		assertError(t, err, ErrInvalidLoad)
		err = NewPopularityEstimator(1, 2, 0).Observe(0, load, time.Unix(1, 0))
		assertError(t, err, ErrInvalidLoad)
	}
}

func TestImproveWithZeroLoad(t *testing.T) {
	shape := Shape{Ranks: 2, Slots: 2, Experts: 3}
	imp, err := Improve(mustSolve(t, shape, make([]float64, 3)), make([]float64, 3), LoadVariance{Poisson: true}, 4, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	assertNear(t, imp.SkewAfter(), 1, 0)
	if imp.Moves() != 0 {
		t.Errorf("%d moves for zero load", imp.Moves())
	}
}

func TestPopularityDecay(t *testing.T) {
	p := NewPopularityEstimator(1, 1, time.Minute)
	at := time.Unix(100, 0)
	for _, c := range []struct {
		after time.Duration
		count float64
		want  float64
	}{
		{0, 100, 100},
		{time.Minute, 200, 100 + 100*(1-1/math.E)},
		{0, 500, 100 + 100*(1-1/math.E)},
		{time.Hour, 50, 50},
	} {
		at = at.Add(c.after)
		if err := p.Observe(0, []float64{c.count}, at); err != nil {
			t.Fatal(err)
		}
		assertNear(t, p.Load(0)[0], c.want, 1e-9)
	}
}

// TestPlanRespectsLimits guards against moving replicas for short-lived changes
// of popularity, which would waste the bandwidth of the weight store. Moves
// that cost more than they gain, or that the store cannot deliver in time, are
// not planned, and a plan with too small a gain leaves the map unchanged.
func TestPlanRespectsLimits(t *testing.T) {
	shape := Shape{Ranks: 4, Slots: 3, Experts: 8}
	cheap := Limits{ExpertBytes: 1, StoreBandwidth: 100, MaxStagingTime: time.Second, MapLifetime: time.Hour, LoadingSlowdown: 0.1}
	costly := cheap
	costly.ExpertBytes, costly.MaxStagingTime, costly.MapLifetime = 100, 100*time.Second, 10*time.Millisecond
	noStagingTime := cheap
	noStagingTime.MaxStagingTime = 0
	highMinGain := cheap
	highMinGain.MinGain = 10
	for _, c := range []struct {
		name    string
		limits  Limits
		moves   bool
		changed bool
	}{
		{"moves are worth their cost", cheap, true, true},
		{"moves cost too much", costly, false, true},
		{"no time to load weights", noStagingTime, false, true},
		{"gain below minimum", highMinGain, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := mustPlan(t, shape, c.limits)
			if got := len(plan.Moves()) > 0; got != c.moves {
				t.Errorf("%d moves", len(plan.Moves()))
			}
			if got := plan.Next().Version() == 2; got != c.changed {
				t.Errorf("version %d", plan.Next().Version())
			}
			assertAtMost(t, plan.SkewAfter(), plan.SkewBefore())
		})
	}
}

// mustPlan plans from a map made for even loads after one expert has become 20
// times as popular as the others.
func mustPlan(t *testing.T, shape Shape, limits Limits) *Plan {
	t.Helper()
	load := make([]float64, shape.Experts)
	for e := range load {
		load[e] = 1
	}
	current, err := NewMap(1, []*Layer{mustSolve(t, shape, load)})
	if err != nil {
		t.Fatal(err)
	}
	load[shape.Experts-1] = 20
	pop := NewPopularityEstimator(1, shape.Experts, 0)
	if err := pop.Observe(0, load, time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	plan, err := NewPlan(current, pop, limits, time.Unix(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func TestPlanNeedsObservations(t *testing.T) {
	current, err := NewMap(1, []*Layer{mustSolve(t, Shape{2, 1, 2}, []float64{1, 1})})
	if err != nil {
		t.Fatal(err)
	}
	_, err = NewPlan(current, NewPopularityEstimator(1, 2, 0), Limits{}, time.Unix(1, 0))
	assertError(t, err, ErrNotObserved)
	_, err = NewPlan(current, NewPopularityEstimator(2, 2, 0), Limits{}, time.Unix(1, 0))
	assertError(t, err, ErrInvalidShape)
}
