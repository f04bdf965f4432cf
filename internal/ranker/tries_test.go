package ranker

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// A leader's VM freezes with a step held, and engines lose four in ten orders. Guards
// against giving the successor's release order once per round only, with a poll of
// the frozen VM in between: the step was released after 2.6 s, when callers had left
// and engines still worked for them.
func TestLostReleaseIsResentInItsRound(t *testing.T) {
	t.Parallel()
	g := standin.StartGroup(3, 2, 9, 4)
	t.Cleanup(g.Close)
	term := newTerm(&Ranker{}, nil, lockstep.State{Group: "g", Size: 3}, 1, time.Time{})
	if term.retries != remoteRetries || time.Duration(remoteRetries.attempts-1)*remoteRetries.timeout+remoteRetries.lastTimeout > engineTimeout {
		t.Fatalf("got %+v, want %+v within %v", term.retries, remoteRetries, engineTimeout)
	}
	// With these timeouts, an attempt ends only when its order is lost, never because
	// the machine is slow.
	term.retries.timeout, term.retries.lastTimeout = time.Minute, time.Minute
	const ahead = 1_000_000
	for _, o := range []lockstep.Order{lockstep.Hold{Step: ahead}, lockstep.Release{Step: ahead}} {
		g.LoseOrders(remoteRetries.attempts - 1)
		ao := lockstep.AddressedOrder{Rank: 1, Epoch: 1, Order: o}
		got, err := term.send(t.Context(), ao, rankReport{engineReport: engineReport{address: g.Addr(1)}})
		if err != nil || got == lockstep.Unknown {
			t.Fatalf("%T: %v, %v", o, got, err)
		}
	}
}
