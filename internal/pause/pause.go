// Package pause waits, for as long as a context lasts.
package pause

import (
	"context"
	"time"
)

// For returns after d, or when ctx ends if that is sooner. It reports whether
// ctx still lasts.
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
