package evenmap

// trial follows how the objective changes without changing the placement. It
// works on the set's loads in place and puts them back, because it runs some
// hundred thousand times a plan.
type trial struct {
	s      *set
	powers float64
	// experts and holders are the changed lists, of two experts at most.
	experts [2]int
	holders [2][]int
	n       int
	// ranks and loads are what to put back, newest last.
	ranks []int
	loads []float64
}

// begin starts a trial; back ends it.
func (s *set) begin() *trial {
	t := &s.scratch
	t.s, t.powers, t.n = s, s.powers, 0
	t.ranks, t.loads = t.ranks[:0], t.loads[:0]
	return t
}

func (t *trial) back() {
	for i := len(t.ranks) - 1; i >= 0; i-- {
		t.s.ranks[t.ranks[i]] = t.loads[i]
	}
}

// gain is the fall of the objective, or 0 where it doesn't fall.
func (t *trial) gain() float64 {
	if t.powers >= t.s.powers {
		return 0
	}
	return t.s.value - objective(t.powers)
}

// of returns the list of an expert's holders that the trial may change.
func (t *trial) of(e int) *[]int {
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

func (t *trial) spread(e int, hs []int, sign float64) {
	if len(hs) == 0 {
		return
	}
	part := sign * t.s.load[e] / float64(len(hs))
	for _, r := range hs {
		old := t.s.ranks[r]
		t.ranks, t.loads = append(t.ranks, r), append(t.loads, old)
		t.s.ranks[r] = old + part*t.s.slow[r]
		t.powers += t.s.power(t.s.ranks[r]) - t.s.power(old)
	}
}

func (t *trial) add(e, r int) {
	hs := t.of(e)
	t.spread(e, *hs, -1)
	*hs = append(*hs, r)
	t.spread(e, *hs, 1)
}

func (t *trial) drop(e, r int) {
	hs := t.of(e)
	t.spread(e, *hs, -1)
	*hs = without(*hs, r)
	t.spread(e, *hs, 1)
}
