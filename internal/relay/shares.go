package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shares decides whether this entry may send a request now to an endpoint that bears no
// more than some rate from all entries together: a cold one, or one that names a limit.
//
// The load is a data centre that returns, or endpoints that turn cold under
// traffic: they look empty, all entries choose them in the same moment, and an
// endpoint falls over well above the rate that it bears. No entry hears in
// time what the others send, so each takes its part of that rate and saves up
// no more than one request. Set the exported fields before the first call.
type Shares struct {
	// Name is the entry's own name.
	Name string

	buckets map[string]*bucket
}

// bucket holds the share that an entry has saved up at one endpoint.
type bucket struct {
	tokens float64
	at     time.Time
}

// shareBurst is how many requests may be saved up. With one, the sum over all
// entries in any second is at most the rate and one request an entry, which
// the bounds for such endpoints leave room for.
const shareBurst = 1.0

// Ready reports whether a request may go to the endpoint, which bears rate
// requests a second from all of entries together.
func (s *Shares) Ready(endpoint string, rate float64, entries int, now time.Time) bool {
	return s.fill(endpoint, rate, entries, now).tokens >= 1
}

// Take spends what Ready found. It reports false when there was nothing.
func (s *Shares) Take(endpoint string, rate float64, entries int, now time.Time) bool {
	b := s.fill(endpoint, rate, entries, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns how long until a request may go to the endpoint.
func (s *Shares) Wait(endpoint string, rate float64, entries int, now time.Time) time.Duration {
	b := s.fill(endpoint, rate, entries, now)
	if b.tokens >= 1 || rate <= 0 {
		return 0
	}
	seconds := (1 - b.tokens) * float64(max(1, entries)) / rate
	return time.Duration(math.Min(seconds, 60) * float64(time.Second))
}

// Forget forgets an endpoint.
func (s *Shares) Forget(endpoint string) { delete(s.buckets, endpoint) }

// phase returns a number from 0 to 1 that differs from entry to entry.
func (s *Shares) phase(endpoint string) float64 {
	return float64(xxhash.Sum64String(s.Name+" "+endpoint)) / math.MaxUint64
}

// fill begins with a part of a request that follows from the names: entries that all
// learn in one moment of such an endpoint have their first turns at its rate, one after
// the other. With one for each they would send at once, and with none all would wait
// for as long as their part of the rate takes for one.
func (s *Shares) fill(endpoint string, rate float64, entries int, now time.Time) *bucket {
	if s.buckets == nil {
		s.buckets = map[string]*bucket{}
	}
	b := s.buckets[endpoint]
	if b == nil {
		b = &bucket{at: now, tokens: s.phase(endpoint)}
		s.buckets[endpoint] = b
	}
	dt := now.Sub(b.at).Seconds()
	if dt > 0 {
		b.at = now
		b.tokens = math.Min(shareBurst, b.tokens+dt*rate/float64(max(1, entries)))
	}
	return b
}
