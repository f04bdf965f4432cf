package frontend

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
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

// wantTruth checks that a request that ran is not reported as not run, and that an order ran once at
// most.
func (s *system) wantTruth(resp response, kind, id string) {
	s.t.Helper()
	n := s.runs(id)
	if kind == "order" && n > 1 || n > 0 && resp.err == nil && isPromise(resp.status) {
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
			s.wantTruth(resp, "order", id)
			if s.runs(id) == 1 && resp.status != http.StatusOK {
				t.Errorf("%s: status %d, %v", id, resp.status, resp.err)
			}
		}
	}
}

// stutter has an endpoint answer twice, up to 3 ms late, with successes of all framings, failures and
// refusals, some of which name no request.
func stutter(ep *standin.Endpoint, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	delay := func() time.Duration { return time.Duration(rng.IntN(4)-1) * time.Millisecond }
	ep.AnswerTwice(delay) // both are called with the endpoint locked
	ep.Choose(func() standin.Choice {
		switch n := rng.IntN(20); {
		case n < 3:
			return standin.Choice{Behaviour: standin.Refuses, Unnamed: n == 0}
		case n < 6:
			return standin.Choice{Behaviour: standin.Fails, Unnamed: n == 3}
		case n < 8:
			return standin.Choice{Unframed: &standin.Unframed{Twice: n == 6, CopyDelay: max(0, delay())}}
		default:
			return standin.Choice{}
		}
	})
}

// wantOwnAnswer checks that a caller has its whole answer, or none that could pass for it. It reports
// whether the answer is a success.
func (s *system) wantOwnAnswer(resp response, kind, id string) (success bool) {
	s.t.Helper()
	s.wantTruth(resp, kind, id)
	if resp.err != nil || resp.status != http.StatusOK {
		if strings.Contains(resp.body, "HTTP/1.") {
			s.t.Errorf("%s: %v, a head in %q", id, resp.err, resp.body)
		}
		return false
	}
	seal, named := resp.header.Get("X-Hyssoprelay-Replica-Seal"), resp.header.Get("X-Hyssoprelay-Attempt-Id")
	want := "answer of " + strings.TrimPrefix(seal, "seal-") + " to " + id
	if kind == "stream" {
		want = ""
		for i := 1; i <= 5; i++ {
			want += fmt.Sprintf("id: %d\ndata: token %d to %s\n\n", i, i, id)
		}
	}
	if seal == "" || named != id || resp.body != want {
		s.t.Errorf("%s: seal %q, named %q, body %q", id, seal, named, resp.body)
	}
	return true
}

// Endpoints answer requests of several callers twice, the second time late. Guards against handing a
// caller anything but its own whole answer, and against reporting that a request that ran did not.
func TestEndpointsThatAnswerTwice(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 3)
			for i, ep := range s.endpoints {
				stutter(ep, 10*seed+uint64(i))
			}
			e := s.start("entry1", s.store.Addr())
			var wg sync.WaitGroup
			promises := make(chan string, 4*150)
			for caller := range 4 {
				wg.Go(func() { s.callStutterers(e, caller, promises) })
			}
			wg.Wait()
			e.stop()
			s.wantNoRuns(promises)
		})
	}
}

// wantNoRuns checks that no request ran of which the caller was told that it didn't, also not later.
func (s *system) wantNoRuns(promises chan string) {
	s.t.Helper()
	close(promises)
	for id := range promises {
		if n := s.runs(id); n > 0 {
			s.t.Errorf("%s ran %d times, and was reported as not run", id, n)
		}
	}
}

// callStutterers sends requests of all kinds one after the other. Some have to succeed. It sends the IDs
// of those that are reported as not run to promises.
func (s *system) callStutterers(e *entry, caller int, promises chan<- string) {
	successes := 0
	for i := range 150 {
		kind := []string{"look", "order", "stream"}[i%3]
		id := fmt.Sprintf("%s-%d-%d", kind, caller, i)
		resp := e.request(context.Background(), "/"+kind+"/1?echo="+id, id, "k1")
		if resp.err == nil && isPromise(resp.status) {
			promises <- id
		}
		if s.wantOwnAnswer(resp, kind, id) {
			successes++
		}
	}
	if successes < 30 {
		s.t.Errorf("caller %d: %d of 150 requests succeeded", caller, successes)
	}
}
