package ranker

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// copyBudget is for how long a rank copies experts in one change: about as
	// long as the rest of a change takes.
	copyBudget = 100 * time.Millisecond
	// copyGain is the fall of the skew of one set that a copy has to bring.
	copyGain = 0.02
	// leastGain is the fall of the mean skew that a change has to bring: each
	// holds the group for some milliseconds.
	leastGain = 0.01
	// easyPass is the part of the longest pause between events below which
	// passes count as easy: nobody waits for the last hundredths of skew then,
	// and copies are made only for easyTimes the usual gain.
	easyPass  = 0.5
	easyTimes = 3
)

// planner decides whether a group gets another expert map.
type planner struct {
	engine *routing.Engine
	ranks  int
	// gap is the longest pause between events that callers bear.
	gap time.Duration
}

// planned is a map to propose.
type planned struct {
	sets          [][][]int
	copies        int
	before, after float64
}

// plan returns the next map, or nil when none is worth it.
//
// Load: a calm group, whose passes are short whatever the skew, and one near its
// limit, where each hundredth of skew makes streams late. Harm prevented: copies
// that buy nothing, which are priced and lengthen passes while they last. Writers
// is the largest number of requests that a rank runs.
func (p *planner) plan(current [][][]int, loads [][]float64, slow []float64, writers int) (*planned, error) {
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
	limits := evenmap.Limits{PerRank: p.copies(), PerSet: x.Spare, Slow: slow, MinGain: copyGain}
	least := leastGain
	if p.easy(sets, loads, writers) {
		limits.MinGain *= easyTimes
		least *= easyTimes
	}
	plan := evenmap.NewPlan(sets, loads, limits)
	if plan.Before()-plan.After() < least {
		return nil, nil
	}
	out := &planned{copies: plan.Copies(), before: plan.Before(), after: plan.After()}
	for _, s := range plan.Next() {
		out.sets = append(out.sets, s.Ranks())
	}
	inOrder(out.sets)
	return out, nil
}

// copies returns how many experts a rank copies in one change.
//
// Load: popularity jumps in all sets at once. Experts of 2 GB take 0.1 s each, and
// several make the change come late for all ranks. Those of 150 MB take 7 ms; with
// one a change, 129 ranks with 16 sets need four changes for what one can bring,
// and popularity has jumped again by then.
func (p *planner) copies() int {
	x := p.engine.Experts
	if x.Bytes <= 0 || x.LinkRate <= 0 {
		return 1
	}
	each := x.Bytes / x.LinkRate * float64(time.Second)
	return max(1, int(float64(copyBudget)/each))
}

// easy reports whether passes are short with the present map.
func (p *planner) easy(sets []*evenmap.Placement, loads [][]float64, writers int) bool {
	if p.gap <= 0 {
		return false
	}
	skew := 0.0
	for i, s := range sets {
		skew += s.Skew(loads[i]) / float64(len(sets))
	}
	return float64(batch.Pass(p.engine, writers, skew)) < easyPass*float64(p.gap)
}
