package frontend

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// isPromise reports whether a status says that the request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// wantTruth checks that a request that ran is not reported as not run, and that it ran once at most.
func (s *system) wantTruth(resp response, id string) {
	s.t.Helper()
	n := s.runs(id)
	if n > 1 || n > 0 && resp.err == nil && isPromise(resp.status) {
		s.t.Errorf("%s ran %d times, status %d: %s", id, n, resp.status, resp.body)
	}
}

// An endpoint is listed twice at one address, and answers twice that a request is meant for another
// one. Guards against taking the late copy for the answer to the second attempt on the same connection,
// so that an order that ran is reported as not run.
func TestLateRefusalOfTheFirstAttemptAtTheSameAddress(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	s.store.Put("op/config", bytes.Replace(config(2, `"k1"`),
		[]byte(`"targetLatencyMs":300,`+"\n\t"+` "service":"s","maxAttempts":1`),
		[]byte(`"targetLatencyMs":300,"service":"s","maxAttempts":2`), 1))
	ep := s.endpoints[0]
	ep.Work = 5 * time.Millisecond
	ep.AnswerTwice(func() time.Duration { return time.Millisecond })
	e := s.start("entry1", s.store.Addr())
	for i := range 4 {
		// Of two endpoints at one address the one that started last is used, so they have the same start.
		gone := &standin.Endpoint{ID: fmt.Sprint("i-gone", i), Born: ep.Born, Slots: ep.Slots}
		s.store.Put(gone.EntryAt("s", "a", "ready", ep.Addr()))
		s.eventually("both endpoints are listed", func() bool { return e.state.Endpoints(boottime.Now()) == 2 })
		for j := 0; e.state.Endpoints(boottime.Now()) == 2; j++ {
			id := fmt.Sprint("o", i, "-", j)
			resp := e.request(context.Background(), "/order/1", id, "k1")
			s.wantTruth(resp, id)
			if s.runs(id) == 1 && resp.status != http.StatusOK {
				t.Errorf("%s: status %d, %v", id, resp.status, resp.err)
			}
		}
	}
}
