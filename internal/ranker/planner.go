package ranker

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// copyBudget is how long a rank may spend on copying experts in one change. It is
	// about as long as the rest of a change takes.
	copyBudget = 100 * time.Millisecond
	// minCopyGain is the smallest reduction of one set's skew that justifies a copy.
	minCopyGain = 0.02
	// minMapGain is the smallest reduction of the mean skew that justifies a change,
	// because each change holds the group for some milliseconds.
	minMapGain = 0.01
	// shortPassShare is the part of the longest acceptable pause between events below
	// which a forward pass counts as short. The last hundredths of skew delay no
	// stream then, and copies and changes must bring shortPassGainFactor times the
	// usual gain.
	shortPassShare      = 0.5
	shortPassGainFactor = 3
)

// planner decides whether a group gets another expert map.
type planner struct {
	engine *routing.Engine
	ranks  int
	// maxGap is the longest acceptable pause between events of a stream: the smallest
	// value of the service's routes, or 0 if none of them sets one.
	maxGap time.Duration
}

// proposal is a map to propose, with the number of expert copies that it needs and
// the mean skew before and after the change.
type proposal struct {
	sets                  [][][]int
	copies                int
	skewBefore, skewAfter float64
}

// plan returns the next map, or nil when no map is worth a change. shares holds the
// experts' shares of all choices by set, slowdowns each rank's slowdown factor, and
// maxRunning is the largest number of requests that a rank runs.
//
// A lightly loaded group has short passes whatever the skew, whereas near the group's
// limit each hundredth of skew delays streams. The required gain therefore depends on
// the length of a pass: copies are charged for and lengthen passes while they last.
func (p *planner) plan(inForce [][][]int, shares [][]float64, slowdowns []float64, maxRunning int) (*proposal, error) {
	experts := p.engine.Experts
	shape := evenmap.Shape{Ranks: p.ranks, Slots: experts.Slots, Experts: experts.Count}
	sets := make([]*evenmap.Placement, 0, len(inForce))
	for _, ranks := range inForce {
		s, err := evenmap.NewPlacement(shape, ranks)
		if err != nil {
			return nil, err
		}
		sets = append(sets, s)
	}
	limits := evenmap.Limits{CopiesPerRank: p.copiesPerRank(), CopiesPerSet: experts.SpareSlots, Slowdown: slowdowns, MinGain: minCopyGain}
	minGain := minMapGain
	if p.hasShortPasses(sets, shares, maxRunning) {
		limits.MinGain *= shortPassGainFactor
		minGain *= shortPassGainFactor
	}
	plan := evenmap.NewPlan(sets, shares, limits)
	if plan.SkewBefore()-plan.SkewAfter() < minGain {
		return nil, nil
	}
	next := &proposal{copies: plan.Copies(), skewBefore: plan.SkewBefore(), skewAfter: plan.SkewAfter()}
	for _, s := range plan.Placements() {
		next.sets = append(next.sets, s.Ranks())
	}
	sortExperts(next.sets)
	return next, nil
}

// copiesPerRank returns how many experts a rank may copy in one change.
//
// Popularity jumps in all sets at once. An expert of 2 GB takes 0.1 s to copy, and
// several of them would delay the change for all ranks. One of 150 MB takes 7 ms;
// with one copy per change, 129 ranks with 16 sets would need four changes to achieve
// what one change can, and popularity would have jumped again by then.
func (p *planner) copiesPerRank() int {
	experts := p.engine.Experts
	if experts.Bytes <= 0 || experts.LinkRate <= 0 {
		return 1
	}
	copyTime := experts.Bytes / experts.LinkRate * float64(time.Second)
	return max(1, int(float64(copyBudget)/copyTime))
}

// hasShortPasses reports whether passes with the map in force are short, see
// shortPassShare.
func (p *planner) hasShortPasses(sets []*evenmap.Placement, shares [][]float64, maxRunning int) bool {
	if p.maxGap <= 0 {
		return false
	}
	skew := 0.0
	for i, s := range sets {
		skew += s.Skew(shares[i]) / float64(len(sets))
	}
	return float64(batch.PassDuration(p.engine, maxRunning, skew)) < shortPassShare*float64(p.maxGap)
}
