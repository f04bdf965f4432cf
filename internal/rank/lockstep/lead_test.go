package lockstep

import (
	"fmt"
	"testing"
	"time"
)

// pacedGroup is a group that makes passes without rest, seen by a leader whose
// orders take their time.
type pacedGroup struct {
	ranks []State
	now   time.Time
	// pass is how long a pass lasts, and each how long the leader works for one
	// order.
	pass, each time.Duration
	// left is what is left of the present pass, and held for how long the group
	// has stood before a held step.
	left, held time.Duration
}

func newPacedGroup(n int, pass, each time.Duration) *pacedGroup {
	g := &pacedGroup{ranks: make([]State, n), now: time.Unix(1000, 0), pass: pass, each: each, left: pass}
	for i := range g.ranks {
		g.ranks[i] = State{Group: "g", Epoch: 1, Rank: i, Size: n, Open: true}
	}
	return g
}

// wait lets time pass, a millisecond at a time.
func (g *pacedGroup) wait(d time.Duration) {
	for range d / time.Millisecond {
		g.now = g.now.Add(time.Millisecond)
		if g.left > 0 {
			g.left -= time.Millisecond
		}
		if g.left > 0 {
			continue
		}
		next := g.ranks[0].Step + 1
		if h := g.ranks[1].Held; h != nil && *h == next {
			g.held += time.Millisecond
			continue
		}
		g.left = g.pass
		for i := range g.ranks {
			r := &g.ranks[i]
			r.Step = next
			if r.Armed != nil && r.Armed.Step == next {
				r.Map, r.Armed, r.HasPrepared = r.Armed.Version, nil, false
			}
		}
	}
}

// look returns the ranks as they are now.
func (g *pacedGroup) look() []State {
	out := make([]State, len(g.ranks))
	for i, r := range g.ranks {
		r.AsOf = g.now
		out[i] = r
	}
	return out
}

// give carries an order out that takes no copy.
func (g *pacedGroup) give(d Directive) Outcome {
	r := &g.ranks[d.Rank]
	switch o := d.Order.(type) {
	case Prepare:
		r.Prepared, r.HasPrepared = o.Version, true
	case Hold:
		if o.Step <= r.Step {
			return Unfit
		}
		r.Held = &o.Step
	case Go:
		r.Held = nil
	case Arm:
		r.Armed = &Arming{Step: o.Step, Version: o.Version}
	}
	return Already
}

// round is one look of a leader and all orders that follow it.
func (g *pacedGroup) round(l *Leader) {
	ranks := g.look()
	orders := l.Decide(ranks, true, g.now)
	for len(orders) > 0 {
		g.wait(3*time.Millisecond + time.Duration(len(orders))*g.each)
		follow := true
		for _, d := range orders {
			o := g.give(d)
			l.Answered(d, o, g.now)
			follow = Apply(&ranks[d.Rank], d.Order) && o == Already && follow
		}
		if !follow {
			return
		}
		orders = l.Decide(ranks, true, g.now)
	}
}

// change brings one map into force and returns for how long it held the group.
func (g *pacedGroup) change(l *Leader, n int) time.Duration {
	before := g.held
	l.Propose(content(n))
	for l.Busy() {
		g.round(l)
		g.wait(25 * time.Millisecond)
	}
	return g.held - before
}

// Popularity jumps, and a group of 72 ranks gets its next map. Arming that many
// takes longer than a pass; held as shortly ahead as a dozen ranks need, the group
// stands before the held step, and each stream has a pause that its caller counts
// as late.
func TestHoldLeavesTimeToArm(t *testing.T) {
	for _, n := range []int{4, 16, 72, 128} {
		for _, pass := range []time.Duration{50 * time.Millisecond, 95 * time.Millisecond} {
			t.Run(fmt.Sprint(n, " ranks in ", pass), func(t *testing.T) {
				g := newPacedGroup(n, pass, time.Millisecond)
				l := &Leader{Own: 0, Holder: 1, Token: 1}
				for range 20 {
					g.round(l)
					g.wait(100 * time.Millisecond)
				}
				for i := range 10 {
					if held := g.change(l, i); held > 5*time.Millisecond {
						t.Errorf("change %d held the group for %v", i, held)
					}
					g.wait(230 * time.Millisecond)
				}
				if g.ranks[0].Map == 0 {
					t.Error("no map came into force")
				}
			})
		}
	}
}

// A rank loses orders for some seconds, so that two changes in ten take 400 ms. The
// others shall not be let into force that much later.
func TestLeadForgetsWhatIsRare(t *testing.T) {
	var l lead
	now := time.Unix(1000, 0)
	for i := range leadsKept {
		took := 20 * time.Millisecond
		if i%5 == 0 {
			took = 400 * time.Millisecond
		}
		l.begin(Change{}, now)
		l.end(now.Add(took))
		now = now.Add(time.Second)
	}
	if got := l.time(16); got != 20*time.Millisecond {
		t.Errorf("lead is %v", got)
	}
}

// A group rests between requests, and its steps seem to last a second. Counted on
// when work is there again, a hold one step ahead would come too late.
func TestStepTimeFallsAtOnce(t *testing.T) {
	l := &Leader{}
	now := time.Unix(1000, 0)
	l.followSteps(1, now)
	l.followSteps(2, now.Add(time.Second))
	l.followSteps(4, now.Add(1100*time.Millisecond))
	if l.stepTime != 50*time.Millisecond {
		t.Errorf("a step lasts %v", l.stepTime)
	}
}

func BenchmarkLeadSteps(b *testing.B) {
	var l lead
	for i := range leadsKept {
		l.begin(Change{}, time.Unix(int64(i), 0))
		l.end(time.Unix(int64(i), int64(i)*1e6))
	}
	for b.Loop() {
		stepsAhead(l.time(128), 60*time.Millisecond)
	}
}
