package expertmap

import (
	"math"
	"sort"
)

// potentialSquarings gives the potential the power 32: a rank that is a tenth
// above the mean weighs 20 times one at the mean.
const potentialSquarings = 5

// change is a move: a slot takes another expert, whose replicas there are one
// more then, and the one it held, if any, has one less.
type change struct {
	slot, expert int
}

// move makes the best of the changes tried, also when it makes matters worse for
// now, and reports whether there was one to try.
func (p *placement) move() bool {
	trial := p.clone()
	best, chosen := math.Inf(1), change{slot: none}
	for _, c := range p.changes() {
		trial.copyFrom(p)
		trial.apply(c)
		trial.balance(trialSweeps, trialError)
		if v := trial.potential(); v < best {
			best, chosen = v, c
		}
	}
	if chosen.slot == none {
		return false
	}
	p.apply(chosen)
	p.balance(maxSweeps, levelError)
	return true
}

func (p *placement) apply(c change) {
	if p.at[c.slot] != none {
		p.drop(c.slot)
	}
	p.put(c.slot, c.expert)
	p.level(c.expert)
}

// potential is a smooth stand-in for the slowest rank's load: when several
// ranks are equally slow, a move that relieves one of them already lowers it.
func (p *placement) potential() float64 {
	sum := 0.0
	for r := range p.ranks {
		x := p.counted(r) / p.mean
		for range potentialSquarings {
			x *= x
		}
		sum += x
	}
	return sum
}

// changes returns the changes to try: another replica for the experts with the
// largest parts on the slowest rank, and for those with the most load for each
// replica, in the slots whose ranks would have the least load without them and
// in those whose experts need them least.
func (p *placement) changes() []change {
	var out []change
	seen := map[change]bool{}
	for _, e := range append(p.slowExperts(), p.shortExperts()...) {
		for _, s := range append(p.coolSlots(e), p.idleSlots(e)...) {
			if c := (change{slot: s, expert: e}); !seen[c] {
				seen[c] = true
				out = append(out, c)
			}
		}
	}
	return out
}

// slowExperts returns the experts with the largest parts on the slowest rank.
func (p *placement) slowExperts() []int {
	slow := 0
	for r := range p.ranks {
		if p.counted(r) > p.counted(slow) {
			slow = r
		}
	}
	var slots []int
	for s := slow * p.shape.Slots; s < (slow+1)*p.shape.Slots; s++ {
		if p.at[s] != none && p.part[s] > 0 {
			slots = append(slots, s)
		}
	}
	sort.Slice(slots, func(i, j int) bool { return p.part[slots[i]] > p.part[slots[j]] })
	experts := make([]int, 0, triedExperts)
	for _, s := range slots[:min(len(slots), triedExperts)] {
		experts = append(experts, p.at[s])
	}
	return experts
}

// shortExperts returns the experts with the most load for each replica.
func (p *placement) shortExperts() []int {
	experts := make([]int, p.shape.Experts)
	for e := range experts {
		experts[e] = e
	}
	each := func(e int) float64 { return p.load[e] / float64(len(p.replicas[e])) }
	sort.Slice(experts, func(i, j int) bool { return each(experts[i]) > each(experts[j]) })
	return experts[:min(len(experts), triedExperts)]
}

// spareSlots returns the slots that could take e: empty ones, and those whose
// expert has another replica, on ranks without e.
func (p *placement) spareSlots(e int) []int {
	slots := make([]int, 0, len(p.at))
	for s, f := range p.at {
		if (f == none || len(p.replicas[f]) > 1) && !p.holds(p.rankOf(s), e) {
			slots = append(slots, s)
		}
	}
	return slots
}

// coolSlots returns the spare slots whose ranks have the least load without
// what the slot takes.
func (p *placement) coolSlots(e int) []int {
	slots := p.spareSlots(e)
	sort.Slice(slots, func(i, j int) bool { return p.others(slots[i]) < p.others(slots[j]) })
	return slots[:min(len(slots), triedSlots)]
}

// idleSlots returns the spare slots whose experts would have the least load for
// each replica without them.
func (p *placement) idleSlots(e int) []int {
	slots := p.spareSlots(e)
	without := func(s int) float64 {
		if f := p.at[s]; f != none {
			return p.load[f] / float64(len(p.replicas[f])-1)
		}
		return 0
	}
	sort.Slice(slots, func(i, j int) bool { return without(slots[i]) < without(slots[j]) })
	return slots[:min(len(slots), triedSlots)]
}
