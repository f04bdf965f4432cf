package evenmap

// trial computes how changes affect the objective without changing the
// placement. It modifies the set's rank loads in place and restores them
// afterwards, because it runs some hundred thousand times per plan.
type trial struct {
	s        *setState
	powerSum float64
	// The first n elements of experts and holders are the changed experts, two
	// at most, and the changed lists of their holders.
	experts [2]int
	holders [2][]int
	n       int
	// undoRanks and undoLoads are the ranks whose loads have changed and their
	// previous loads, newest last.
	undoRanks []int
	undoLoads []float64
}

// beginTrial starts a trial. Call rollback to end it.
func (s *setState) beginTrial() *trial {
	t := &s.scratch
	t.s, t.powerSum, t.n = s, s.powerSum, 0
	t.undoRanks, t.undoLoads = t.undoRanks[:0], t.undoLoads[:0]
	return t
}

// rollback restores the rank loads.
func (t *trial) rollback() {
	for i := len(t.undoRanks) - 1; i >= 0; i-- {
		t.s.rankLoads[t.undoRanks[i]] = t.undoLoads[i]
	}
}

// gain returns the decrease of the objective, or 0 if it does not decrease.
func (t *trial) gain() float64 {
	if t.powerSum >= t.s.powerSum {
		return 0
	}
	return t.s.objective - loadNorm(t.powerSum)
}

// holdersOf returns the trial's modifiable copy of an expert's holders.
func (t *trial) holdersOf(e int) *[]int {
	for i := range t.n {
		if t.experts[i] == e {
			return &t.holders[i]
		}
	}
	t.experts[t.n] = e
	t.holders[t.n] = append(t.holders[t.n][:0], t.s.p.holders[e]...)
	t.n++
	return &t.holders[t.n-1]
}

// spread adds sign times the load of expert e to its holders hs, split evenly.
func (t *trial) spread(e int, hs []int, sign float64) {
	if len(hs) == 0 {
		return
	}
	delta := sign * t.s.load[e] / float64(len(hs))
	for _, r := range hs {
		old := t.s.rankLoads[r]
		t.undoRanks, t.undoLoads = append(t.undoRanks, r), append(t.undoLoads, old)
		t.s.rankLoads[r] = old + delta*t.s.slowdown[r]
		t.powerSum += t.s.power(t.s.rankLoads[r]) - t.s.power(old)
	}
}

func (t *trial) add(e, r int) {
	hs := t.holdersOf(e)
	t.spread(e, *hs, -1)
	*hs = append(*hs, r)
	t.spread(e, *hs, 1)
}

func (t *trial) drop(e, r int) {
	hs := t.holdersOf(e)
	t.spread(e, *hs, -1)
	*hs = remove(*hs, r)
	t.spread(e, *hs, 1)
}
