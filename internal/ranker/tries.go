package ranker

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

// tries says how often an order is given that gets no answer. Engines may lose
// four in ten orders for some seconds, and while a step is held every stream of
// the group waits for the order to be given again.
type tries struct {
	most int
	// each bounds one try, and last the last one, for an engine that is slower
	// to answer than it was thought to be.
	each, last time.Duration
}

// ownTries are for the engine on the same VM, which answers in a millisecond or
// not at all. With twelve ranks to arm, single tries would hold a step for
// several rounds.
var ownTries = tries{most: 4, each: 8 * time.Millisecond, last: 8 * time.Millisecond}

// directTries are for an engine elsewhere, some milliseconds away and as long
// again for a new connection. In all they take what one call to an engine may.
//
// Load: a group whose leader froze with a step held, on engines that lose four in
// ten orders. Harm prevented: with single tries of 150 ms, each followed by a look
// that waits for the frozen VM, the go of the successor was lost three times
// running and the step stayed held for 2.6 s, in place of 1.4 s; callers leave
// after 2 s without an event.
var directTries = tries{most: 5, each: 20 * time.Millisecond, last: engineTimeout - 4*20*time.Millisecond}

// giveAgain gives an order until it is answered, a few times. Orders say what the
// state shall be, so that one which is carried out twice does no more than once.
func giveAgain(ctx context.Context, e *platform.Engine, token uint64, d lockstep.Directive, n tries) (lockstep.Outcome, error) {
	for range n.most - 1 {
		if o, err := giveOnce(ctx, e, token, d, n.each); o != lockstep.Unknown {
			return o, err
		}
	}
	return giveOnce(ctx, e, token, d, n.last)
}

func giveOnce(ctx context.Context, e *platform.Engine, token uint64, d lockstep.Directive, timeout time.Duration) (lockstep.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.Give(ctx, token, d)
}
