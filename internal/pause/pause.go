// Package pause provides a sleep that ends early when its context is done, and a watchdog timer for
// processes that may stand still.
package pause

import (
	"context"
	"time"
)

// For waits until d has elapsed or ctx is done, whichever is first. It reports whether ctx is not
// yet done. If d is zero or negative it returns at once.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
