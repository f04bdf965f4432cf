package frontend

import "time"

// ageMicros returns how long ago t was, in microseconds, as messages between entries tell it.
func ageMicros(t, now time.Time) uint64 { return uint64(max(0, now.Sub(t).Microseconds())) }

// timeOfAge is the reverse of ageMicros.
func timeOfAge(micros uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(micros) * time.Microsecond)
}
