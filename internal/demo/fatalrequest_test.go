package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

// fatalText is in the prompt of the request under which engines fall.
const fatalText = "the fatal prompt"

// falls counts the engines that fell under a request with fatalText.
type falls struct {
	mu sync.Mutex // guards n
	n  int
}

func (f *falls) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// wrap has an engine fall when it has received a request with fatalText.
func (f *falls) wrap(e *engine.Engine, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the agent has left
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !bytes.Contains(body, []byte(fatalText)) {
			h.ServeHTTP(w, r)
			return
		}
		f.mu.Lock()
		f.n++
		f.mu.Unlock()
		e.Restart()
	})
}

// askFatal sends a request and reports whether it got a whole answer.
func askFatal(t *testing.T, e *Entry, body string) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Process.CallerAddress()+caller.PathChat, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+Key)
	r.Header.Set("X-Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// Each engine falls under one chat. Guards against an entry that repeats it at one engine after the
// other for as long as its caller waits, and at each of the caller's further tries.
func TestChatUnderWhichEnginesFallIsSentToThree(t *testing.T) {
	const tries, mostFalls = 4, 3
	for name, stream := range map[string]string{"streamed": "true", "whole": "false"} {
		t.Run(name, func(t *testing.T) {
			f := &falls{}
			s := startSystem(t, func(s *System) { s.Engines, s.WrapEngine = 4, f.wrap })
			e := s.EntriesOf("a")[0]
			body := `{"model":"small","stream":` + stream + `,"max_tokens":20,"messages":[{"role":"user","content":"` + fatalText + `"}]}`
			for range tries {
				if askFatal(t, e, body) {
					t.Fatal("answered")
				}
				time.Sleep(50 * time.Millisecond)
			}
			t.Logf("engines fell %d times under %d tries", f.count(), tries)
			if n := f.count(); n < mostFalls || n > mostFalls {
				t.Errorf("engines fell %d times, want %d", n, mostFalls)
			}
		})
	}
}
