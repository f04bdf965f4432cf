package platform

import (
	"sync"
	"time"
)

// Budget is a token bucket that limits the call rate of this process. After an
// outage all processes send claims or open watches at once. Without the limit they
// would together exceed the few hundred writes and two thousand reads a second that
// the service handles, and no call would be answered. The bucket holds the calls of
// one second, so that a burst after an idle period is sent at once while the mean
// rate stays within the limit.
type Budget struct {
	// PerSecond is the limit in calls a second; zero means no limit.
	PerSecond float64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// Take reserves one call at time now and returns how long the caller must wait
// before making it. If the wait would exceed maxWait, Take reserves nothing and
// returns false.
func (b *Budget) Take(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	if b.PerSecond <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	wait := time.Duration(0)
	if b.tokens < 1 {
		wait = time.Duration((1 - b.tokens) / b.PerSecond * float64(time.Second))
	}
	if wait > maxWait {
		return 0, false
	}
	b.tokens--
	return wait, true
}

func (b *Budget) refill(now time.Time) {
	burst := max(b.PerSecond, 1)
	if b.lastRefill.IsZero() {
		b.tokens = burst
		b.lastRefill = now
		return
	}
	elapsed := now.Sub(b.lastRefill)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(burst, b.tokens+elapsed.Seconds()*b.PerSecond)
	b.lastRefill = now
}
