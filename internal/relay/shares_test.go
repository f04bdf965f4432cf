package relay

import (
	"fmt"
	"testing"
	"time"
)

// coldModel simulates entries that each send as much as they may to cold endpoints.
type coldModel struct {
	shares    []RateShares
	endpoints []string
	rate      float64
	now       time.Time
}

func newColdModel(entries, endpoints int, rate float64) *coldModel {
	w := &coldModel{rate: rate, now: start}
	for i := range entries {
		w.shares = append(w.shares, RateShares{Name: fmt.Sprint("front-a-", i)})
	}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, fmt.Sprintf("i-%07x", i*7919))
	}
	return w
}

// send returns how many requests each endpoint gets within d.
func (w *coldModel) send(d time.Duration) map[string]int {
	sent := map[string]int{}
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		for i := range w.shares {
			for _, id := range w.endpoints {
				if w.shares[i].Take(id, w.rate/float64(len(w.shares)), w.now) {
					sent[id]++
				}
			}
		}
	}
	return sent
}

// After a power loss 36 entries with waiting requests learn at the same moment of 64 endpoints that
// have just started. Guards against entries that all wait for the whole period of one share, 2.4 s,
// while the endpoints are idle, and then all send at once.
func TestColdEndpointsAreUsedFromTheStart(t *testing.T) {
	const (
		entries, endpoints = 36, 64
		rate               = 15.0
		// A cold endpoint can handle one and a half times its rate, and 5 requests more.
		maxPerEndpoint = 27
		minTotal       = 0.9 * rate * endpoints
	)
	w := newColdModel(entries, endpoints, rate)
	for second := range 5 {
		sent := w.send(time.Second)
		all := 0
		for id, n := range sent {
			all += n
			if n > maxPerEndpoint {
				t.Errorf("second %d: %s gets %d requests, want at most %d", second, id, n, maxPerEndpoint)
			}
		}
		if float64(all) < minTotal {
			t.Errorf("second %d: all endpoints get %d requests, want at least %.0f", second, all, minTotal)
		}
	}
}
