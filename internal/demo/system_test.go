package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func startSystem(t *testing.T, change ...func(*System)) *System {
	t.Helper()
	s := &System{
		DataCentres: []string{"a", "b", "c"}, Entries: 1, Engines: 1, Services: 1,
		EngineSettings: engine.Settings{Capacity: 16, ColdBound: 4, WarmAfter: 4, TokenMicros: 200},
		Preset:         Preset("ordinary", 1),
	}
	for _, f := range change {
		f(s)
	}
	start(t, s)
	return s
}

func start(t *testing.T, s *System) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	readTimelines := keepLogs(t, s)
	err := s.Start(ctx)
	t.Cleanup(s.Stop)
	t.Cleanup(readTimelines)
	if err != nil {
		t.Fatal(err)
	}
}

// keepLogs has a test that fails leave the lines and the counters of all processes, the events of
// the stand-ins and the time lines. The function that it returns has to be called while the system
// still runs.
func keepLogs(t *testing.T, s *System) (readTimelines func()) {
	t.Helper()
	lines, events := &standin.Log{}, &standin.Log{}
	s.Log, s.Events = standin.NewEventLog(lines), standin.NewEventLog(events)
	standin.Keep(t, "processes", lines.Text)
	standin.Keep(t, "standins", events.Text)
	standin.Keep(t, "counters", func() string {
		var b strings.Builder
		for _, e := range s.EntriesOf("") {
			fmt.Fprintln(&b, e.Name, standin.Counters(e.Process.Registry))
		}
		for _, a := range s.Agents() {
			fmt.Fprintln(&b, a.Name, standin.Counters(a.Process.Registry))
		}
		return b.String()
	})
	timelines := ""
	standin.Keep(t, "timelines", func() string { return timelines })
	return func() {
		if t.Failed() {
			timelines = s.timelines()
		}
	}
}

// timelines returns the time lines of all processes that still run.
func (s *System) timelines() string {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	out, err := s.Order(ctx, "timeline", "--since", "2m")
	return fmt.Sprintln(out, err)
}

func ask(t *testing.T, e *Entry, path, body string, header ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.Process.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+Key)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("half an answer: %v", err)
	}
	return res.StatusCode, string(b)
}

func TestWholePath(t *testing.T) {
	s := startSystem(t)
	for _, e := range s.EntriesOf("") {
		t.Run(e.Name, func(t *testing.T) {
			status, body := ask(t, e, caller.PathChat, `{"model":"small","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"hi"}]}`)
			if status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
				t.Errorf("stream: %d %q", status, body)
			}
			status, body = ask(t, e, caller.PathChat, `{"model":"small","max_tokens":20,"messages":[{"role":"user","content":"hi"}]}`)
			if status != http.StatusOK || !strings.Contains(body, `"choices"`) {
				t.Errorf("whole: %d %q", status, body)
			}
			status, body = ask(t, e, caller.PathServices+"desk/print", `{"catalogue":1}`, "Idempotency-Key", "k-"+e.Name)
			if status != http.StatusOK {
				t.Errorf("run once: %d %s", status, body)
			}
		})
	}
	t.Run("a service call goes to the service's path", func(t *testing.T) {
		_, body := ask(t, s.EntriesOf("")[0], caller.PathServices+"desk/print", "{}", "Idempotency-Key", "path")
		if !strings.Contains(body, `"/press/print"`) {
			t.Error(body)
		}
	})
	// A client names a plain service as its model, or asks for more tokens than
	// the operators allow. Without the check the print desk would be sent a
	// chat, and one request could hold an engine for an hour.
	for name, c := range map[string]struct {
		path, body string
		want       result.Code
	}{
		"a chat with a service":   {caller.PathChat, `{"model":"desk","messages":[1]}`, result.UnknownRoute},
		"too many tokens":         {caller.PathChat, `{"model":"small","max_tokens":1001,"messages":[1]}`, result.MalformedRequest},
		"a service call to chats": {caller.PathServices + "small/x", "{}", result.UnknownRoute},
	} {
		t.Run(name, func(t *testing.T) {
			_, body := ask(t, s.EntriesOf("")[0], c.path, c.body, "Idempotency-Key", "fit")
			assertCode(t, body, c.want)
		})
	}
	t.Run("a key runs once whatever the entry", func(t *testing.T) {
		var first string
		for i, e := range s.EntriesOf("") {
			status, body := ask(t, e, caller.PathServices+"desk/print", `{"catalogue":2}`, "Idempotency-Key", "same")
			if i == 0 {
				first = body
			}
			if status != http.StatusOK || body != first {
				t.Errorf("%s: %d %s, first %s", e.Name, status, body, first)
			}
		}
		if n := s.Runs()["same"]; n != 1 {
			t.Errorf("ran %d times", n)
		}
	})
}
