package relay

import (
	"sync/atomic"
	"time"
)

// Freshness tracks the latest time for which the process knows all changes of the configuration. It
// is safe for concurrent use. The times must come from a clock that keeps running while the VM is
// suspended.
type Freshness struct {
	knownAsOf atomic.Int64
}

// Advance records that all changes made before asked, the time of a query for changes, are known.
func (f *Freshness) Advance(asked time.Time) {
	ns := asked.UnixNano()
	for {
		old := f.knownAsOf.Load()
		if ns <= old || f.knownAsOf.CompareAndSwap(old, ns) {
			return
		}
	}
}

// Known reports whether anything is known.
func (f *Freshness) Known() bool { return f.knownAsOf.Load() != 0 }

// Age returns how old the process's knowledge is. It is very large before anything is known.
func (f *Freshness) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.knownAsOf.Load()))
}
