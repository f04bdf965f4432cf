package ranker

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

// retryPolicy states how often an unanswered order is given again. Engines may lose
// four in ten orders for some seconds, and while a step is held every stream of the
// group waits for the retry.
type retryPolicy struct {
	attempts int
	// timeout bounds each attempt but the last. lastTimeout bounds the last attempt,
	// for an engine that answers more slowly than expected.
	timeout, lastTimeout time.Duration
}

// localRetries applies to the engine on the same VM, which answers within a
// millisecond or not at all. With a single attempt each and twelve ranks to arm, a
// step would be held for several rounds.
var localRetries = retryPolicy{attempts: 4, timeout: 8 * time.Millisecond, lastTimeout: 8 * time.Millisecond}

// remoteRetries applies to an engine on another VM, which is some milliseconds away; a
// new connection takes as long again. All attempts together take no longer than
// engineTimeout.
//
// A leader froze with a step held, on engines that lose four in ten orders. With
// single attempts of 150 ms, each followed by a poll that waits for the frozen VM, the
// successor's release order was lost three times in a row. The step stayed held for
// 2.6 s instead of 1.4 s, and callers leave after 2 s without an event.
var remoteRetries = retryPolicy{attempts: 5, timeout: 20 * time.Millisecond, lastTimeout: engineTimeout - 4*20*time.Millisecond}

// giveWithRetries gives an order until it is answered, or the attempts are used up.
// Orders state the wanted result, so carrying one out twice has the same effect as
// once.
func giveWithRetries(ctx context.Context, e *platform.Engine, token uint64, ao lockstep.AddressedOrder, retries retryPolicy) (lockstep.Outcome, error) {
	for range retries.attempts - 1 {
		if o, err := giveOnce(ctx, e, token, ao, retries.timeout); o != lockstep.Unknown {
			return o, err
		}
	}
	return giveOnce(ctx, e, token, ao, retries.lastTimeout)
}

func giveOnce(ctx context.Context, e *platform.Engine, token uint64, ao lockstep.AddressedOrder, timeout time.Duration) (lockstep.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.Give(ctx, token, ao)
}
