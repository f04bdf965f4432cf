package endpoint_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// slowCanceller is an engine that answers no cancel before release is closed.
type slowCanceller struct {
	release chan struct{}
	// arrived gets the number of each attempt of request r.
	arrived chan string

	mu     sync.Mutex
	events []string
}

func (s *slowCanceller) note(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
}

func (s *slowCanceller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	standin.EchoRequestID(w, r)
	if r.Method == http.MethodDelete {
		<-s.release
		if strings.HasSuffix(r.URL.Path, "/r") {
			s.note("cancel")
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	attempt := r.Header.Get("X-Attempt")
	s.note("attempt " + attempt)
	s.arrived <- attempt
	if attempt == "1" {
		<-s.release
	}
	standin.WriteJSON(w, http.StatusOK, "done")
}

// Guards against a second attempt that is ended by the cancel of the first one, which bears the same ID
// and comes late because the engine is slow to take cancels.
func TestCancelComesBeforeTheNextAttempt(t *testing.T) {
	s := &slowCanceller{release: make(chan struct{}), arrived: make(chan string, 2)}
	c := client(t, serve(t, s), nil)
	call := plainCall("r")
	call.Attempt = 1
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-s.arrived
		c.Cancel("x0")
		c.Cancel("x1")
		cancel()
	}()
	var a answer
	requireCode(t, c.Do(ctx, call, a.sink), result.Cancelled)
	call.Attempt = 2
	done := make(chan error, 1)
	go func() { done <- c.Do(testContext(t), call, a.sink) }()
	select {
	case <-s.arrived:
	case <-time.After(100 * time.Millisecond): // The attempt waits for the cancel.
	}
	close(s.release)
	requireCode(t, <-done, result.OK)
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := strings.Join(s.events, ", "); got != "attempt 1, cancel, attempt 2" {
		t.Errorf("the engine saw %s", got)
	}
}
