package demo

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

// Engines lose their warmth and their streams without a word while callers push
// at them. The agents must not let more in than a cold engine bears, whatever
// the entries still believe, and no half stream may pass for a whole one.
func TestEngineRestartsUnderLoad(t *testing.T) {
	s := startSystem(t)
	r := underLoad(t, s, 120, 3, func() {
		for i := range 6 {
			time.Sleep(250 * time.Millisecond)
			s.Engine(fmt.Sprintf("%s-engine-0", s.DataCentres[i%3])).Restart()
		}
	})
	assertUnbroken(t, r)
}

// A warm engine restarts at night while nobody asks it, and the morning begins
// with a burst. No answer broke, so the agent would take the engine for warm
// until its next load report and let the whole burst in; the engine would fall
// over and its callers wait for another cold start.
func TestIdleEngineRestartsBeforeABurst(t *testing.T) {
	s := &System{
		DataCentres: []string{"a"}, Entries: 1, Engines: 1, Services: 1,
		EngineSettings: engine.Settings{Capacity: 16, ColdBound: 4, WarmAfter: 5, TokenMicros: 2000, LoadLagMillis: 3600_000},
		Preset:         Preset("ordinary", 1),
	}
	start(t, s)
	e := s.EntriesOf("a")[0]
	for i := 0; s.agent("a-engine-0").Process.Allowance() < 16; i++ {
		if i == 40 {
			t.Fatal("the engine is not warm")
		}
		burst(t, e, 8)
	}
	s.Engine("a-engine-0").Restart()
	// The engine's report lags by an hour here, so only its closed connections
	// can tell. They are on their way; what comes before them is sent under the
	// old bound.
	eventually(t, "the agent knows", func() bool { return s.agent("a-engine-0").Process.Allowance() == 4 })
	burst(t, e, 16)
	for name, n := range s.Breaches() {
		t.Errorf("%s was overrun %d times", name, n)
	}
}

// burst sends n chats at once and waits for their answers.
func burst(t *testing.T, e *Entry, n int) {
	t.Helper()
	done := make(chan int, n)
	for range n {
		go func() {
			status, _ := ask(t, e, caller.PathChat, chat(true))
			done <- status
		}()
	}
	for range n {
		if status := <-done; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
}
