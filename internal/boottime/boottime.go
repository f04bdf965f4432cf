// Package boottime reads a monotonic clock that includes the time during which the VM is
// suspended.
//
// Go's monotonic clock stops while a VM is suspended. After a resume, a process would treat the
// data that it held before as current, and would for example admit requests with account keys that
// operators have revoked in the meantime. The wall clock includes the suspended time but can jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, plus one hour, as a time.Time counted from the Unix
// epoch. The result has no monotonic reading, so that Sub includes suspended time. Only results
// from the same VM are comparable. Because of the added hour, a time less than one hour before boot
// is still after the Unix epoch and has a positive UnixNano.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All Linux kernels since 2.6.39 have CLOCK_BOOTTIME. Without it, the time since the
		// process started is the closest substitute.
		return time.Unix(3600, 0).Add(time.Since(processStart))
	}
	return time.Unix(3600+ts.Sec, ts.Nsec)
}

var processStart = time.Now()
