package service

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// Faults are switched over HTTP at /control/faults or with SetFaults.
type Faults struct {
	// DelayMillis passes before the effect.
	DelayMillis int64 `json:"delayMillis"`
	// FailAfterEffect is how many of the next runs answer with status 500 after
	// their effect.
	FailAfterEffect int `json:"failAfterEffect"`
	// DropAfterEffect is how many of the next runs lose the connection after
	// their effect.
	DropAfterEffect int `json:"dropAfterEffect"`
	// DropBeforeEffect is how many of the next requests lose the connection
	// without any effect.
	DropBeforeEffect int `json:"dropBeforeEffect"`
	// Unavailable is how many of the next requests get status 503 unrun.
	Unavailable int `json:"unavailable"`
}

// Counters are what the service has seen.
type Counters struct {
	// Runs counts effects by idempotency key.
	Runs map[string]int `json:"runs"`
	// Ran counts effects by request id.
	Ran map[string]int `json:"ran"`
	// Requests counts arrivals, run or not.
	Requests int `json:"requests"`
}

// Answer is the body of each answer.
type Answer struct {
	Key       string `json:"key"`
	RequestID string `json:"requestId"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	// Run numbers the effects of the service from 1.
	Run int `json:"run"`
}

// Service is the stand-in. The zero value is ready.
//
// Lock order: mu only.
type Service struct {
	mu       sync.Mutex
	faults   Faults
	counters Counters
	total    int
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counters returns a copy of the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counters{Runs: map[string]int{}, Ran: map[string]int{}, Requests: s.counters.Requests}
	for k, n := range s.counters.Runs {
		c.Runs[k] = n
	}
	for id, n := range s.counters.Ran {
		c.Ran[id] = n
	}
	return c
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/control/counters":
		standin.WriteJSON(w, http.StatusOK, s.Counters())
	case "/control/faults":
		var f Faults
		if standin.ReadJSON(w, r, &f) {
			s.SetFaults(f)
			standin.WriteJSON(w, http.StatusOK, f)
		}
	default:
		s.serve(w, r)
	}
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		standin.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	f := s.arrive()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	switch {
	case f.DropBeforeEffect > 0:
		standin.Drop(w)
		return
	case f.Unavailable > 0:
		standin.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "unavailable"})
		return
	}
	a := s.run(r, body)
	w.Header().Set("X-Request-Id", a.RequestID)
	switch {
	case f.DropAfterEffect > 0:
		standin.Drop(w)
	case f.FailAfterEffect > 0:
		standin.WriteJSON(w, http.StatusInternalServerError, map[string]string{"error": "failed after the effect"})
	default:
		standin.WriteJSON(w, http.StatusOK, a)
	}
}

// arrive counts a request and uses up one of each counted fault.
func (s *Service) arrive() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Requests++
	f := s.faults
	for _, n := range []*int{
		&s.faults.FailAfterEffect, &s.faults.DropAfterEffect,
		&s.faults.DropBeforeEffect, &s.faults.Unavailable,
	} {
		*n = max(*n-1, 0)
	}
	return f
}

// run is the effect.
func (s *Service) run(r *http.Request, body []byte) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counters.Runs == nil {
		s.counters.Runs = map[string]int{}
		s.counters.Ran = map[string]int{}
	}
	key, id := r.Header.Get("Idempotency-Key"), r.Header.Get("X-Request-Id")
	s.total++
	s.counters.Runs[key]++
	s.counters.Ran[id]++
	return Answer{Key: key, RequestID: id, Path: r.URL.Path, Body: string(body), Run: s.total}
}
