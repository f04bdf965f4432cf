package client

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// backoffFirst and backoffMost bound the wait where the refusal names no
	// time: it doubles from attempt to attempt.
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 2 * time.Second
)

// retryable says whether sending again can help after err. A request that may
// not be repeated is sent again only when it was certainly not run.
//
// Guard: a repeat of an order whose first run was not seen ships it twice. The
// codes say "not run" only where that is known; for all others the request has
// to be repeatable, by nature or through its idempotency key.
func retryable(err error, repeatable bool) bool {
	code := result.CodeOf(err)
	switch code {
	case result.DeadlineUnmeetable, result.DeadlinePassed, result.DeadlineExceeded, result.Cancelled:
		return false
	}
	switch code.Effect() {
	case result.NotRun:
		return code >= result.AccountRate && code < result.OutcomeUnknown
	case result.Unknown:
		return repeatable
	default:
		return false
	}
}

// pause waits before attempt number n, at least as long as the refusal asks
// for. It returns false when the deadline would pass meanwhile: the refusal
// then tells the caller more than a timeout.
func (c *Client) pause(ctx context.Context, err error, n int) bool {
	wait := backoff(n)
	if e := result.Of(err); e != nil && e.RetryAfter() > 0 {
		wait = e.RetryAfter()
	}
	if t, ok := ctx.Deadline(); ok && time.Until(t) <= wait {
		return false
	}
	if c.sleep != nil {
		return c.sleep(ctx, wait) == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// backoff doubles with each attempt; a random half of it keeps callers that
// failed together from coming back together.
func backoff(n int) time.Duration {
	d := backoffMost
	if n < 6 {
		d = min(backoffFirst<<n, backoffMost)
	}
	return d/2 + rand.N(d/2)
}
