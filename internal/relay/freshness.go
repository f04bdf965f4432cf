package relay

import (
	"sync/atomic"
	"time"
)

// Freshness is the newest moment of which the process knows every change. It is
// told from several goroutines. The times must be of a clock that goes on while
// the VM is suspended.
type Freshness struct {
	asked atomic.Int64
}

// Learn notes that everything which was changed before asked is known.
func (f *Freshness) Learn(asked time.Time) {
	ns := asked.UnixNano()
	for {
		old := f.asked.Load()
		if ns <= old || f.asked.CompareAndSwap(old, ns) {
			return
		}
	}
}

// Known reports whether anything is known.
func (f *Freshness) Known() bool { return f.asked.Load() != 0 }

// Age returns how old the process's knowledge is. It is large before anything
// is known.
func (f *Freshness) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.asked.Load()))
}
