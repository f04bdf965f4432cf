package lockstep

import (
	"fmt"
	"testing"
	"time"
)

// pacedGroup simulates a group that runs steps without idle time, observed by a
// leader whose orders take time.
type pacedGroup struct {
	ranks []State
	now   time.Time
	// stepDuration is the duration of a step. orderDuration is the leader's
	// processing time per order.
	stepDuration, orderDuration time.Duration
	// stepRemaining is the time left in the current step. heldTime is the total
	// time that the group has waited for a held step.
	stepRemaining, heldTime time.Duration
}

func newPacedGroup(n int, stepDuration, orderDuration time.Duration) *pacedGroup {
	g := &pacedGroup{
		ranks: make([]State, n), now: time.Unix(1000, 0),
		stepDuration: stepDuration, orderDuration: orderDuration, stepRemaining: stepDuration,
	}
	for i := range g.ranks {
		g.ranks[i] = State{Group: "g", Epoch: 1, Rank: i, Size: n, Accepting: true}
	}
	return g
}

// wait advances the clock by d, one millisecond at a time.
func (g *pacedGroup) wait(d time.Duration) {
	for range d / time.Millisecond {
		g.now = g.now.Add(time.Millisecond)
		if g.stepRemaining > 0 {
			g.stepRemaining -= time.Millisecond
		}
		if g.stepRemaining > 0 {
			continue
		}
		next := g.ranks[0].Step + 1
		if h := g.ranks[1].Held; h != nil && *h == next {
			g.heldTime += time.Millisecond
			continue
		}
		g.stepRemaining = g.stepDuration
		for i := range g.ranks {
			r := &g.ranks[i]
			r.Step = next
			if r.Armed != nil && r.Armed.Step == next {
				r.Map, r.Armed, r.HasPrepared = r.Armed.Version, nil, false
			}
		}
	}
}

// observe returns the current state of the ranks.
func (g *pacedGroup) observe() []State {
	out := make([]State, len(g.ranks))
	for i, r := range g.ranks {
		r.AsOf = g.now
		out[i] = r
	}
	return out
}

// execute executes an order at once; a prepare takes no time.
func (g *pacedGroup) execute(ao AddressedOrder) Outcome {
	r := &g.ranks[ao.Rank]
	switch o := ao.Order.(type) {
	case Prepare:
		r.Prepared, r.HasPrepared = o.Version, true
	case Hold:
		if o.Step <= r.Step {
			return Rejected
		}
		r.Held = &o.Step
	case Release:
		r.Held = nil
	case Arm:
		r.Armed = &ArmedMap{Step: o.Step, Version: o.Version}
	}
	return Done
}

// round makes one observation and sends all orders that follow from it.
func (g *pacedGroup) round(l *Leader) {
	ranks := g.observe()
	orders := l.NextOrders(ranks, true, g.now)
	for len(orders) > 0 {
		g.wait(3*time.Millisecond + time.Duration(len(orders))*g.orderDuration)
		applied := true
		for _, ao := range orders {
			o := g.execute(ao)
			l.RecordOutcome(ao, o, g.now)
			applied = Apply(&ranks[ao.Rank], ao.Order) && o == Done && applied
		}
		if !applied {
			return
		}
		orders = l.NextOrders(ranks, true, g.now)
	}
}

// runChange puts one map in force and returns for how long the group was held.
func (g *pacedGroup) runChange(l *Leader, contentID int) time.Duration {
	before := g.heldTime
	l.Propose(content(contentID))
	for l.Busy() {
		g.round(l)
		g.wait(25 * time.Millisecond)
	}
	return g.heldTime - before
}

// Guards against a hold that leaves too little time to arm a large group.
// Arming 72 ranks takes longer than a step; if the step is held only as far
// ahead as a dozen ranks need, the group waits for it and every stream has a
// pause that its caller counts as late.
func TestHoldLeavesTimeToArm(t *testing.T) {
	for _, n := range []int{4, 16, 72, 128} {
		for _, stepDuration := range []time.Duration{50 * time.Millisecond, 95 * time.Millisecond} {
			t.Run(fmt.Sprint(n, " ranks in ", stepDuration), func(t *testing.T) {
				g := newPacedGroup(n, stepDuration, time.Millisecond)
				l := &Leader{OwnRank: 0, HoldRank: 1, Token: 1}
				for range 20 {
					g.round(l)
					g.wait(100 * time.Millisecond)
				}
				for i := range 10 {
					if held := g.runChange(l, i); held > 5*time.Millisecond {
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

// Guards against rare slow changes that delay all others: a rank loses orders
// for some seconds, so that two changes in ten take 400 ms.
func TestLeadTimeIgnoresOutliers(t *testing.T) {
	var l leadEstimator
	now := time.Unix(1000, 0)
	for i := range leadSamples {
		took := 20 * time.Millisecond
		if i%5 == 0 {
			took = 400 * time.Millisecond
		}
		l.begin(Change{}, now)
		l.end(now.Add(took))
		now = now.Add(time.Second)
	}
	if got := l.estimate(16); got != 20*time.Millisecond {
		t.Errorf("estimated lead is %v", got)
	}
}

// Guards against a hold that arrives too late after an idle period, during
// which steps seem to last a second.
func TestStepDurationFallsAtOnce(t *testing.T) {
	l := &Leader{}
	now := time.Unix(1000, 0)
	l.updateStepDuration(1, now)
	l.updateStepDuration(2, now.Add(time.Second))
	l.updateStepDuration(4, now.Add(1100*time.Millisecond))
	if l.stepDuration != 50*time.Millisecond {
		t.Errorf("step duration is %v", l.stepDuration)
	}
}

func BenchmarkStepsAhead(b *testing.B) {
	var l leadEstimator
	for i := range leadSamples {
		l.begin(Change{}, time.Unix(int64(i), 0))
		l.end(time.Unix(int64(i), int64(i)*1e6))
	}
	for b.Loop() {
		stepsAhead(l.estimate(128), 60*time.Millisecond)
	}
}
