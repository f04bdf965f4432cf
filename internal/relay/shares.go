package relay

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RateShares decides whether this entry may send a request now to an endpoint that accepts a
// limited rate from all entries together: a cold one, or one that reports a limit.
//
// When a data centre comes back, or endpoints become cold under traffic, they look idle. All
// entries would choose them at the same moment, and an endpoint fails well above the rate that it
// can handle. No entry learns in time what the others send, so each takes its share of the rate and
// saves up no more than one request. Set the exported fields before the first call.
type RateShares struct {
	// Name is the entry's own name.
	Name string

	buckets map[string]*bucket
}

// bucket is the token bucket of an entry's share at one endpoint.
type bucket struct {
	tokens float64
	at     time.Time
}

// shareBurst is the number of requests that may be saved up. With one, all entries together send at
// most the rate and one request per entry in any second, which such endpoints tolerate.
const shareBurst = 1.0

// Ready reports whether a request may be sent to the endpoint. This entry's share of what the endpoint
// accepts is rate requests per second.
func (s *RateShares) Ready(endpoint string, rate float64, now time.Time) bool {
	return s.refill(endpoint, rate, now).tokens >= 1
}

// Take spends one request of the share and reports whether there was one.
func (s *RateShares) Take(endpoint string, rate float64, now time.Time) bool {
	b := s.refill(endpoint, rate, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns how long until a request may be sent to the endpoint, at most a minute.
func (s *RateShares) Wait(endpoint string, rate float64, now time.Time) time.Duration {
	b := s.refill(endpoint, rate, now)
	if b.tokens >= 1 || rate <= 0 {
		return 0
	}
	seconds := (1 - b.tokens) / rate
	return time.Duration(math.Min(seconds, 60) * float64(time.Second))
}

// Forget deletes the state of an endpoint.
func (s *RateShares) Forget(endpoint string) { delete(s.buckets, endpoint) }

// Retain deletes the state of all endpoints for which keep returns false.
func (s *RateShares) Retain(keep func(endpoint string) bool) {
	maps.DeleteFunc(s.buckets, func(endpoint string, _ *bucket) bool { return !keep(endpoint) })
}

// initialTokens returns a number from 0 to 1 that depends on the entry and the endpoint.
func (s *RateShares) initialTokens(endpoint string) float64 {
	return float64(xxhash.Sum64String(s.Name+" "+endpoint)) / math.MaxUint64
}

// refill returns the endpoint's bucket after adding the tokens for the time since the last call.
//
// A new bucket starts with a fraction of a token that depends on the names. Entries that all learn
// of such an endpoint at the same moment then send their first requests one after another, at its
// rate. With one token each they would send at once, and with none all would wait for as long as
// their share of the rate takes to yield one.
func (s *RateShares) refill(endpoint string, rate float64, now time.Time) *bucket {
	if s.buckets == nil {
		s.buckets = map[string]*bucket{}
	}
	b := s.buckets[endpoint]
	if b == nil {
		b = &bucket{at: now, tokens: s.initialTokens(endpoint)}
		s.buckets[endpoint] = b
	}
	dt := now.Sub(b.at).Seconds()
	if dt > 0 {
		b.at = now
		b.tokens = math.Min(shareBurst, b.tokens+dt*rate)
	}
	return b
}
