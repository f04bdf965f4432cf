package frontend

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// allPaths are request paths of a stream, an order that must run once, and an idempotent look-up.
var allPaths = []string{"/stream/1", "/order/1", "/look/1"}

// withEngine returns the configuration with model engines in place of a plain service.
func withEngine(config []byte) []byte {
	return bytes.Replace(config, []byte(`"maxConnections":100`),
		[]byte(`"maxConnections":100,"engine":{"slots":4,"stride":4,"step_ms":5,"per_seq_ms":1}`), 1)
}

// forEachKind runs a test with two endpoints of a plain service and with two model engines, for
// each kind of request.
func forEachKind(t *testing.T, test func(t *testing.T, s *system, e *entry, path string)) {
	t.Parallel()
	for name, cfg := range map[string][]byte{"plain": config(2, `"k1"`), "engine": withEngine(config(2, `"k1"`))} {
		for _, path := range allPaths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newSystem(t, 2)
				s.store.Put("op/config", cfg)
				test(t, s, s.start("entry1", s.store.Addr()), path)
			})
		}
	}
}

// requestsUntil sends one request after another until done returns true.
func (s *system) requestsUntil(e *entry, path, prefix string, done func() bool) {
	s.t.Helper()
	for i := 0; !done(); i++ {
		if a := e.request(context.Background(), path, fmt.Sprint(prefix, i), "k1"); a.err != nil {
			s.t.Fatal(a.err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// An overloaded endpoint turns requests away and asks for two seconds of rest. Guards against an
// entry that sends it requests meanwhile because it has no load, and looks best.
func TestEndpointThatAsksForARestGetsNoRequests(t *testing.T) {
	const rest, grace = 2 * time.Second, 500 * time.Millisecond
	forEachKind(t, func(t *testing.T, s *system, e *entry, path string) {
		overloaded := s.endpoints[0]
		overloaded.Behave(standin.Refuses)
		overloaded.AskForRest("2")
		s.requestsUntil(e, path, "before", func() bool { return len(overloaded.Arrivals()) > 0 })
		asked := overloaded.Arrivals()[0]
		s.requestsUntil(e, path, "during", func() bool { return time.Since(asked) >= rest })
		n := 0
		for _, at := range overloaded.Arrivals() {
			if d := at.Sub(asked); d > grace && d < rest {
				n++
			}
		}
		if n > 0 {
			t.Errorf("%d requests arrived while the endpoint was resting", n)
		}
		overloaded.Behave(standin.Answers)
		s.requestsUntil(e, path, "after", func() bool {
			arrivals := overloaded.Arrivals()
			return arrivals[len(arrivals)-1].Sub(asked) >= rest
		})
	})
}

// An endpoint says in its answers that it is leaving, and its entry in the store does not. Guards
// against an entry that goes on sending it requests, as it did when it was cut off from the store.
func TestEndpointThatSaysItLeavesGetsNoRequests(t *testing.T) {
	forEachKind(t, func(t *testing.T, s *system, e *entry, path string) {
		leaving := s.endpoints[0]
		leaving.SayLeaving("1")
		e.relay.SetMaxKeyAge(time.Hour)
		s.store.SetFault(standin.Busy)
		s.requestsUntil(e, path, "before", func() bool { return len(leaving.Arrivals()) > 0 })
		n := len(leaving.Arrivals())
		for i := range 20 {
			s.wantStatus(e.request(context.Background(), path, fmt.Sprint("after", i), "k1"), http.StatusOK)
		}
		if more := len(leaving.Arrivals()) - n; more > 0 {
			t.Errorf("%d requests arrived after the endpoint had said that it is leaving", more)
		}
	})
}
