package platform

import (
	"sync"
	"time"
)

// Budget is a token bucket over the calls of this process. Its load is a burst
// of claims or watches after an outage; without it the fleet's processes would
// together exceed the few hundred writes and two thousand reads a second that
// the service takes, and the service would answer nobody. The bucket holds one
// second's calls, so a burst after idle time goes out at once and the mean
// stays at the limit.
type Budget struct {
	// PerSecond is the bound on calls a second; zero means none.
	PerSecond float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// Take reserves one call at time now and returns how long it has to wait for
// its turn, or false when the wait would exceed limit; then nothing is taken.
func (b *Budget) Take(now time.Time, limit time.Duration) (time.Duration, bool) {
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
	if wait > limit {
		return 0, false
	}
	b.tokens--
	return wait, true
}

func (b *Budget) refill(now time.Time) {
	burst := max(b.PerSecond, 1)
	if b.last.IsZero() {
		b.tokens = burst
		b.last = now
		return
	}
	d := now.Sub(b.last)
	if d <= 0 {
		return
	}
	b.tokens = min(burst, b.tokens+d.Seconds()*b.PerSecond)
	b.last = now
}
