package relay

import (
	"fmt"
	"testing"
	"time"
)

// coldWorld is entries that each send as much as they may to endpoints that have all
// just started.
type coldWorld struct {
	shares    []Shares
	endpoints []string
	rate      float64
	now       time.Time
}

func newColdWorld(entries, endpoints int, rate float64) *coldWorld {
	w := &coldWorld{rate: rate, now: start}
	for i := range entries {
		w.shares = append(w.shares, Shares{Name: fmt.Sprint("front-a-", i)})
	}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, fmt.Sprintf("i-%07x", i*7919))
	}
	return w
}

// send returns how many requests each endpoint gets in a time.
func (w *coldWorld) send(d time.Duration) map[string]int {
	sent := map[string]int{}
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		for i := range w.shares {
			for _, id := range w.endpoints {
				if w.shares[i].Take(id, w.rate, len(w.shares), w.now) {
					sent[id]++
				}
			}
		}
	}
	return sent
}

// All VMs lost power; 36 entries learn in one moment of 64 endpoints that have just
// started, with callers waiting. Guards against entries that all wait for the whole time
// of one share, 2.4 s, while the endpoints have nothing to do, and then all send at once.
func TestColdEndpointsAreUsedFromTheStart(t *testing.T) {
	const (
		entries, endpoints = 36, 64
		rate               = 15.0
		// A cold endpoint bears one and a half times its rate, and 5 more.
		most  = 27
		least = 0.9 * rate * endpoints
	)
	w := newColdWorld(entries, endpoints, rate)
	for second := range 5 {
		sent := w.send(time.Second)
		all := 0
		for id, n := range sent {
			all += n
			if n > most {
				t.Errorf("second %d: %s gets %d requests, want at most %d", second, id, n, most)
			}
		}
		if float64(all) < least {
			t.Errorf("second %d: all endpoints get %d requests, want at least %.0f", second, all, least)
		}
	}
}
