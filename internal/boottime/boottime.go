// Package boottime reads a clock that goes on while the VM is suspended.
//
// Go's own clock for durations stands still while a VM is suspended, so a
// process that wakes up would take what it knew before for fresh: it would let
// requests through under account keys that operators took away meanwhile. The
// time of day goes on but jumps. This clock does neither.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's start as a time.Time that carries no
// monotonic reading, so that Sub counts suspended time. It is comparable with
// other readings of the same VM alone. The zero reading is one hour, so that a
// time before the first reading is still after the zero time.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel since 2.6.39 has this clock; the process's own is the
		// nearest that is left.
		return time.Unix(3600, 0).Add(time.Since(started))
	}
	return time.Unix(3600+ts.Sec, ts.Nsec)
}

var started = time.Now()
