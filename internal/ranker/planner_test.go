package ranker

import (
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// Guards against a map that takes four changes to follow a jump though copies are
// quick, and against one change that is late by many slow copies.
func TestCopiesFollowTheTimeOfACopy(t *testing.T) {
	const link = 22.5e9 // bytes a second
	for _, c := range []struct {
		bytes float64
		want  int
	}{{2.2e9, 1}, {880e6, 2}, {150e6, 15}, {9e9, 1}, {0, 1}} {
		p := planner{engine: &routing.Engine{Experts: routing.Experts{Bytes: c.bytes, LinkRate: link}}}
		if n := p.copies(); n != c.want {
			t.Errorf("%d experts of %.0f bytes are copied in a change, want %d", n, c.bytes, c.want)
		}
	}
}

// A jump moves all 16 sets of 129 ranks. Guards against a first map that leaves most
// of the skew, because a rank copies one expert of 7 ms in it.
func TestOneChangeFollowsAJumpOfAllSets(t *testing.T) {
	const ranks, sets, experts = 129, 16, 258
	p := planner{ranks: ranks, engine: &routing.Engine{Experts: routing.Experts{
		Sets: sets, Count: experts, Slots: 3, Spare: 2, Bytes: 150e6, LinkRate: 22.5e9,
	}}}
	current := make([][][]int, sets)
	loads := make([][]float64, sets)
	for s := range current {
		current[s] = make([][]int, ranks)
		for e := range experts {
			current[s][e%ranks] = append(current[s][e%ranks], e)
		}
		loads[s] = newGroup(uint64(s), experts).share
	}
	plan, err := p.plan(current, loads, nil, 6)
	if err != nil || plan == nil {
		t.Fatal("no map is planned", err)
	}
	if fallen := (plan.before - plan.after) / (plan.before - 1); fallen < 0.9 {
		t.Errorf("the skew falls from %.2f to %.2f", plan.before, plan.after)
	}
}
