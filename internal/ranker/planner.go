package ranker

import (
	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// copiesPerRank is how many experts a rank copies in one change. One takes
	// 100 ms; several make the change come late for all ranks.
	copiesPerRank = 1
	// copyGain is the fall of the skew of one set that a copy has to bring.
	copyGain = 0.02
	// leastGain is the fall of the mean skew that a change has to bring: each
	// holds the group for some milliseconds.
	leastGain = 0.01
)

// planner decides whether a group gets another expert map.
type planner struct {
	engine *routing.Engine
	ranks  int
}

// planned is a map to propose.
type planned struct {
	sets          [][][]int
	copies        int
	before, after float64
}

// plan returns the next map, or nil when none is worth it.
func (p *planner) plan(current [][][]int, loads [][]float64, slow []float64) (*planned, error) {
	x := p.engine.Experts
	shape := evenmap.Shape{Ranks: p.ranks, Slots: x.Slots, Experts: x.Count}
	sets := make([]*evenmap.Placement, 0, len(current))
	for _, ranks := range current {
		s, err := evenmap.NewPlacement(shape, ranks)
		if err != nil {
			return nil, err
		}
		sets = append(sets, s)
	}
	plan := evenmap.NewPlan(sets, loads, evenmap.Limits{PerRank: copiesPerRank, PerSet: x.Spare, Slow: slow, MinGain: copyGain})
	if plan.Before()-plan.After() < leastGain {
		return nil, nil
	}
	out := &planned{copies: plan.Copies(), before: plan.Before(), after: plan.After()}
	for _, s := range plan.Next() {
		out.sets = append(out.sets, s.Ranks())
	}
	return out, nil
}
