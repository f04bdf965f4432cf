package expertmap

import (
	"math"
	"sort"
)

// potentialSquarings is the number of times that potential squares the relative
// rank load, which gives an exponent of 32. With it, a rank 10% above the mean
// has 20 times the weight of one at the mean.
const potentialSquarings = 5

// candidate is a possible move: a new replica of an expert in a slot, which
// replaces the replica in that slot, if any.
type candidate struct {
	slot, expert int
}

// applyBestMove applies the candidate with the lowest potential, even if it
// makes the placement worse, and reports whether there was a candidate.
func (p *placement) applyBestMove() bool {
	trial := p.clone()
	best, chosen := math.Inf(1), candidate{slot: none}
	for _, c := range p.candidates() {
		trial.copyFrom(p)
		trial.apply(c)
		trial.balance(trialSweeps, trialTolerance)
		if v := trial.potential(); v < best {
			best, chosen = v, c
		}
	}
	if chosen.slot == none {
		return false
	}
	p.apply(chosen)
	p.balance(maxSweeps, balanceTolerance)
	return true
}

// apply replaces the replica in the candidate's slot and splits the load of the
// new expert over its replicas.
func (p *placement) apply(c candidate) {
	if p.expertAt[c.slot] != none {
		p.removeReplica(c.slot)
	}
	p.addReplica(c.slot, c.expert)
	p.waterFill(c.expert)
}

// potential returns the sum over the ranks of the relative adjusted load to the
// power of 32. It is a smooth approximation of the maximum rank load that a
// move reduces even if it relieves only one of several equally slow ranks.
func (p *placement) potential() float64 {
	sum := 0.0
	for r := range p.rankLoad {
		x := p.adjustedLoad(r) / p.meanRankLoad
		for range potentialSquarings {
			x *= x
		}
		sum += x
	}
	return sum
}

// candidates returns the moves to evaluate. They add a replica of the experts
// with the largest replica loads on the slowest rank and of the experts with
// the highest load per replica. They use the eligible slots on the ranks with
// the lowest load apart from the slot and those whose experts need their
// replica least.
func (p *placement) candidates() []candidate {
	var out []candidate
	seen := map[candidate]bool{}
	for _, e := range append(p.slowestRankExperts(), p.mostLoadedExperts()...) {
		for _, s := range append(p.leastLoadedSlots(e), p.leastNeededSlots(e)...) {
			if c := (candidate{slot: s, expert: e}); !seen[c] {
				seen[c] = true
				out = append(out, c)
			}
		}
	}
	return out
}

// slowestRankExperts returns the experts with the largest replica loads on the
// rank with the highest adjusted load.
func (p *placement) slowestRankExperts() []int {
	slowest := 0
	for r := range p.rankLoad {
		if p.adjustedLoad(r) > p.adjustedLoad(slowest) {
			slowest = r
		}
	}
	var slots []int
	for s := slowest * p.shape.Slots; s < (slowest+1)*p.shape.Slots; s++ {
		if p.expertAt[s] != none && p.slotLoad[s] > 0 {
			slots = append(slots, s)
		}
	}
	sort.Slice(slots, func(i, j int) bool { return p.slotLoad[slots[i]] > p.slotLoad[slots[j]] })
	experts := make([]int, 0, candidateExperts)
	for _, s := range slots[:min(len(slots), candidateExperts)] {
		experts = append(experts, p.expertAt[s])
	}
	return experts
}

// mostLoadedExperts returns the experts with the highest load per replica.
func (p *placement) mostLoadedExperts() []int {
	experts := make([]int, p.shape.Experts)
	for e := range experts {
		experts[e] = e
	}
	loadPerReplica := func(e int) float64 { return p.expertLoad[e] / float64(len(p.replicas[e])) }
	sort.Slice(experts, func(i, j int) bool { return loadPerReplica(experts[i]) > loadPerReplica(experts[j]) })
	return experts[:min(len(experts), candidateExperts)]
}

// eligibleSlots returns the slots that can take a replica of e: slots on ranks
// without e that are empty or whose expert has another replica.
func (p *placement) eligibleSlots(e int) []int {
	slots := make([]int, 0, len(p.expertAt))
	for s, held := range p.expertAt {
		if (held == none || len(p.replicas[held]) > 1) && !p.holds(p.rankOf(s), e) {
			slots = append(slots, s)
		}
	}
	return slots
}

// leastLoadedSlots returns the eligible slots whose ranks have the lowest load
// apart from the slot's own.
func (p *placement) leastLoadedSlots(e int) []int {
	slots := p.eligibleSlots(e)
	sort.Slice(slots, func(i, j int) bool { return p.otherLoad(slots[i]) < p.otherLoad(slots[j]) })
	return slots[:min(len(slots), candidateSlots)]
}

// leastNeededSlots returns the eligible slots whose experts would have the
// lowest load per replica without the replica in the slot.
func (p *placement) leastNeededSlots(e int) []int {
	slots := p.eligibleSlots(e)
	loadPerReplicaWithout := func(s int) float64 {
		if held := p.expertAt[s]; held != none {
			return p.expertLoad[held] / float64(len(p.replicas[held])-1)
		}
		return 0
	}
	sort.Slice(slots, func(i, j int) bool { return loadPerReplicaWithout(slots[i]) < loadPerReplicaWithout(slots[j]) })
	return slots[:min(len(slots), candidateSlots)]
}
