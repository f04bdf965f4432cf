package platform

import (
	"sync"
	"time"
)

// RateLimiter is a token bucket that limits the call rate of this process. After an
// outage all processes send claims or open watches at once. Without the limit they
// would together exceed the few hundred writes and two thousand reads a second that
// the service handles, and no call would be answered. The bucket holds the calls of
// one second, so that a burst after an idle period is sent at once while the mean
// rate stays within the limit.
type RateLimiter struct {
	// PerSecond is the limit in calls a second; zero means no limit.
	PerSecond float64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// Reserve reserves one call at time now and returns how long the caller must wait
// before making it. If the wait would exceed maxWait, Reserve reserves nothing and
// returns false.
func (l *RateLimiter) Reserve(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	if l.PerSecond <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	wait := time.Duration(0)
	if l.tokens < 1 {
		wait = time.Duration((1 - l.tokens) / l.PerSecond * float64(time.Second))
	}
	if wait > maxWait {
		return 0, false
	}
	l.tokens--
	return wait, true
}

func (l *RateLimiter) refill(now time.Time) {
	burst := max(l.PerSecond, 1)
	if l.lastRefill.IsZero() {
		l.tokens = burst
		l.lastRefill = now
		return
	}
	elapsed := now.Sub(l.lastRefill)
	if elapsed <= 0 {
		return
	}
	l.tokens = min(burst, l.tokens+elapsed.Seconds()*l.PerSecond)
	l.lastRefill = now
}
