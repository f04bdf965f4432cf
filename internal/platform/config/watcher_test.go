package config_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
)

// long is a time limit that no test reaches unless it fails.
const long = 20 * time.Second

func run(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// watched is a process that follows the document over loopback.
type watched struct {
	*testing.T
	client  *platform.Client
	writer  *config.Writer
	changes chan struct{}
}

func watch(t *testing.T, s *kv.Server, period time.Duration) *watched {
	t.Helper()
	c := &platform.Client{Addrs: []string{s.Addr()}, Timeout: long, Metrics: metrics.NewRegistry()}
	run(t, c.Run)
	w := &config.Writer{KV: c, Store: &config.Store{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := &config.Watcher{Source: c, Writer: w, Period: period, Timeout: long, Now: time.Now, Log: log, Metrics: metrics.NewRegistry()}
	run(t, x.Run)
	return &watched{T: t, client: c, writer: w, changes: w.Store.Subscribe()}
}

func (w *watched) submit(id string, c config.Change) {
	w.Helper()
	_, err := w.writer.Submit(w.Context(), config.Order{ChangeID: id, By: "op", Change: c}, time.Now())
	if err != nil {
		w.Fatalf("%s: %v", id, err)
	}
}

// until waits for a state of the process's configuration.
func (w *watched) until(what string, ok func(*config.Snapshot) bool) {
	w.Helper()
	limit := time.After(long)
	for !ok(w.writer.Store.Current()) {
		select {
		case <-w.changes:
		case <-limit:
			w.Fatalf("never seen: %s", what)
		}
	}
}

func out(target config.Target) func(*config.Snapshot) bool {
	return func(s *config.Snapshot) bool { return s.IsOut(target) }
}

func inForce(name, body string) func(*config.Snapshot) bool {
	return func(s *config.Snapshot) bool {
		p, b, ok := s.Preset()
		return ok && p.Name() == name && string(b) == body
	}
}

func serve(t *testing.T) *kv.Server {
	t.Helper()
	s := &kv.Server{}
	run(t, s.Run)
	return s
}

func TestWatcherFollowsChanges(t *testing.T) {
	s := serve(t)
	a, b := watch(t, s, time.Hour), watch(t, s, time.Hour)
	a.submit("day", config.PutPreset{Name: "day", Body: []byte("d")})
	b.until("the first preset", inForce("day", "d"))
	b.submit("peak", config.PutPreset{Name: "peak", Body: []byte("p")})
	b.submit("switch", config.SwitchPreset{Name: "peak"})
	a.until("the switch", inForce("peak", "p"))
}

// The service holds watch events back. An order to take a data centre out would
// not be enforced here; the periodic read finds it.
func TestStaleWatchIsHealedByReading(t *testing.T) {
	s := serve(t)
	a, b := watch(t, s, time.Hour), watch(t, s, 10*time.Millisecond)
	a.submit("first", config.TakeOut{Target: config.Endpoint("x")})
	b.until("the first order", out(config.Endpoint("x")))
	s.HoldWatches(true)
	a.submit("second", config.TakeOut{Target: config.DataCentre("north")})
	b.until("the order that the watch holds back", out(config.DataCentre("north")))
}

// The watch breaks while changes are made, and the changes are compacted before
// it is open again. The gap makes the watcher read.
func TestBrokenWatchIsHealedByReading(t *testing.T) {
	s := serve(t)
	a, b := watch(t, s, time.Hour), watch(t, s, time.Hour)
	a.submit("first", config.TakeOut{Target: config.Endpoint("x")})
	b.until("the first order", out(config.Endpoint("x")))
	s.HoldWatches(true)
	a.submit("second", config.TakeOut{Target: config.DataCentre("north")})
	s.Compact()
	s.HoldWatches(false)
	b.until("the compacted order", out(config.DataCentre("north")))
}

// The service is restored from a copy without the order. The broken watch makes
// a process that knows the order write it again, and a VM that starts finds it.
func TestWatcherRepairsRestoredService(t *testing.T) {
	s := serve(t)
	a := watch(t, s, time.Hour)
	a.submit("day", config.PutPreset{Name: "day", Body: []byte("d")})
	old := s.Copy()
	a.submit("out", config.TakeOut{Target: config.DataCentre("north")})
	s.Restore(old)
	b := watch(t, s, 10*time.Millisecond)
	b.until("the order that the restore lost", out(config.DataCentre("north")))
	b.until("the preset", inForce("day", "d"))
}

// The stored document can't be read. What is known stays in force.
func TestUnreadableDocumentChangesNothing(t *testing.T) {
	s := serve(t)
	a := watch(t, s, 10*time.Millisecond)
	a.submit("out", config.TakeOut{Target: config.DataCentre("north")})
	p := platform.Put{Key: config.HeadKey, Value: []byte("{")}
	if _, err := a.client.PutIf(t.Context(), p); err != nil {
		t.Fatal(err)
	}
	o := config.Order{ChangeID: "x", By: "op", Change: config.BringIn{Target: config.DataCentre("north")}}
	if _, err := a.writer.Submit(t.Context(), o, time.Now()); err == nil {
		t.Error("a change was made on a document that can't be read")
	}
	if !a.writer.Store.Current().IsOut(config.DataCentre("north")) {
		t.Error("the order is not in force any more")
	}
}
