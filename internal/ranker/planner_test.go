package ranker

import (
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// Guards against following a jump in four changes although copies are fast, and
// against a change that many slow copies delay.
func TestCopiesPerRankFollowCopyTime(t *testing.T) {
	const link = 22.5e9 // bytes a second
	for _, c := range []struct {
		bytes float64
		want  int
	}{{2.2e9, 1}, {880e6, 2}, {150e6, 15}, {9e9, 1}, {0, 1}} {
		p := planner{engine: &routing.Engine{Experts: routing.Experts{Bytes: c.bytes, LinkRate: link}}}
		if n := p.copiesPerRank(); n != c.want {
			t.Errorf("got %d copies of %.0f bytes per change, want %d", n, c.bytes, c.want)
		}
	}
}

// A jump affects all 16 sets of 129 ranks. Guards against a first map that leaves
// most of the skew because each rank copies only one expert, which takes 7 ms.
func TestOneChangeCoversJumpInAllSets(t *testing.T) {
	const ranks, sets, experts = 129, 16, 258
	p := planner{ranks: ranks, engine: &routing.Engine{Experts: routing.Experts{
		Sets: sets, Count: experts, Slots: 3, SpareSlots: 2, Bytes: 150e6, LinkRate: 22.5e9,
	}}}
	inForce := make([][][]int, sets)
	shares := make([][]float64, sets)
	for s := range inForce {
		inForce[s] = make([][]int, ranks)
		for e := range experts {
			inForce[s][e%ranks] = append(inForce[s][e%ranks], e)
		}
		shares[s] = newChoiceSource(uint64(s), experts).shares
	}
	plan, err := p.plan(inForce, shares, nil, 6)
	if err != nil || plan == nil {
		t.Fatal("no map was planned", err)
	}
	if reduction := (plan.skewBefore - plan.skewAfter) / (plan.skewBefore - 1); reduction < 0.9 {
		t.Errorf("the skew falls from %.2f to %.2f", plan.skewBefore, plan.skewAfter)
	}
}
