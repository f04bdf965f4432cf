package ranker

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// A leader's VM freezes with a step held. Its successor's go is lost several times
// running, as engines lose four in ten orders. Given once a round, with a look at
// the frozen VM in between, it came after 2.6 s: callers had left, and engines
// worked on for them. Within one round it is given again until it is answered.
func TestLostGoIsGivenAgainInItsRound(t *testing.T) {
	t.Parallel()
	g := standin.StartGroup(3, 2, 9, 4)
	t.Cleanup(g.Close)
	term := newTerm(&Ranker{}, nil, lockstep.State{Group: "g", Size: 3}, 1, time.Time{})
	if term.tries != directTries || time.Duration(directTries.most-1)*directTries.each+directTries.last > engineTimeout {
		t.Fatalf("%+v in place of %+v, within %v", term.tries, directTries, engineTimeout)
	}
	// Here a try ends when its order is lost, never because the machine is slow.
	term.tries.each, term.tries.last = time.Minute, time.Minute
	const ahead = 1_000_000
	for _, o := range []lockstep.Order{lockstep.Hold{Step: ahead}, lockstep.Go{Step: ahead}} {
		g.LoseOrders(directTries.most - 1)
		d := lockstep.Directive{Rank: 1, Epoch: 1, Order: o}
		got, err := term.send(t.Context(), d, found{look: look{address: g.Addr(1)}})
		if err != nil || got == lockstep.Unknown {
			t.Fatalf("%T: %v, %v", o, got, err)
		}
	}
}
