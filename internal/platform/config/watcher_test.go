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

// testTimeout is a limit that only a failing test reaches.
const testTimeout = 20 * time.Second

// runInBackground runs f until the test ends and fails the test if f returns an
// error.
func runInBackground(t *testing.T, f func(context.Context) error) {
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

// watchedProcess is a process that follows the document over a loopback
// connection.
type watchedProcess struct {
	*testing.T
	client  *platform.Client
	writer  *config.Writer
	changes chan struct{}
}

func startWatcher(t *testing.T, s *kv.Server, readInterval time.Duration) *watchedProcess {
	t.Helper()
	c := &platform.Client{Addrs: []string{s.Addr()}, Timeout: testTimeout, Metrics: metrics.NewRegistry()}
	runInBackground(t, c.Run)
	w := &config.Writer{KV: c, Store: &config.Store{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := &config.Watcher{Source: c, Writer: w, ReadInterval: readInterval, Timeout: testTimeout, Now: time.Now, Log: log, Metrics: metrics.NewRegistry()}
	runInBackground(t, x.Run)
	return &watchedProcess{T: t, client: c, writer: w, changes: w.Store.Subscribe()}
}

func (w *watchedProcess) submit(id string, c config.Change) {
	w.Helper()
	_, err := w.writer.Submit(w.Context(), config.Order{ChangeID: id, By: "op", Change: c}, time.Now())
	if err != nil {
		w.Fatalf("%s: %v", id, err)
	}
}

// waitFor waits until the process's configuration satisfies ok.
func (w *watchedProcess) waitFor(what string, ok func(*config.Snapshot) bool) {
	w.Helper()
	limit := time.After(testTimeout)
	for !ok(w.writer.Store.Current()) {
		select {
		case <-w.changes:
		case <-limit:
			w.Fatalf("timed out waiting for %s", what)
		}
	}
}

func isOutOfService(target config.Target) func(*config.Snapshot) bool {
	return func(s *config.Snapshot) bool { return s.IsOutOfService(target) }
}

func inForce(name, body string) func(*config.Snapshot) bool {
	return func(s *config.Snapshot) bool {
		p, b, ok := s.Preset()
		return ok && p.Name() == name && string(b) == body
	}
}

func startServer(t *testing.T) *kv.Server {
	t.Helper()
	s := &kv.Server{}
	runInBackground(t, s.Run)
	return s
}

func TestWatcherFollowsChanges(t *testing.T) {
	s := startServer(t)
	a, b := startWatcher(t, s, time.Hour), startWatcher(t, s, time.Hour)
	a.submit("day", config.PutPreset{Name: "day", Body: []byte("d")})
	b.waitFor("the first preset", inForce("day", "d"))
	b.submit("peak", config.PutPreset{Name: "peak", Body: []byte("p")})
	b.submit("switch", config.SwitchPreset{Name: "peak"})
	a.waitFor("the switch", inForce("peak", "p"))
}

// The service delays watch events. The periodic read must find an order to take
// a data centre out that the watch does not report.
func TestPeriodicReadFindsDelayedChange(t *testing.T) {
	s := startServer(t)
	a, b := startWatcher(t, s, time.Hour), startWatcher(t, s, 10*time.Millisecond)
	a.submit("first", config.TakeOutOfService{Target: config.Endpoint("x")})
	b.waitFor("the first order", isOutOfService(config.Endpoint("x")))
	s.HoldWatches(true)
	a.submit("second", config.TakeOutOfService{Target: config.DataCentre("north")})
	b.waitFor("the order that the watch delays", isOutOfService(config.DataCentre("north")))
}

// Changes are compacted before a delayed watch has sent them, which breaks the
// watch. The gap must cause a read.
func TestWatchGapCausesRead(t *testing.T) {
	s := startServer(t)
	a, b := startWatcher(t, s, time.Hour), startWatcher(t, s, time.Hour)
	a.submit("first", config.TakeOutOfService{Target: config.Endpoint("x")})
	b.waitFor("the first order", isOutOfService(config.Endpoint("x")))
	s.HoldWatches(true)
	a.submit("second", config.TakeOutOfService{Target: config.DataCentre("north")})
	s.Compact()
	s.HoldWatches(false)
	b.waitFor("the compacted order", isOutOfService(config.DataCentre("north")))
}

// The service is restored from a copy without an order. The restore breaks the
// watch; a process that knows the order must write it again, and a VM that
// starts must find it.
func TestWatcherRepairsRestoredService(t *testing.T) {
	s := startServer(t)
	a := startWatcher(t, s, time.Hour)
	a.submit("day", config.PutPreset{Name: "day", Body: []byte("d")})
	old := s.Copy()
	a.submit("out", config.TakeOutOfService{Target: config.DataCentre("north")})
	s.Restore(old)
	b := startWatcher(t, s, 10*time.Millisecond)
	b.waitFor("the order lost by the restore", isOutOfService(config.DataCentre("north")))
	b.waitFor("the preset", inForce("day", "d"))
}

// The stored document cannot be decoded. The known configuration must stay in
// force.
func TestUnreadableDocumentKeepsConfiguration(t *testing.T) {
	s := startServer(t)
	a := startWatcher(t, s, 10*time.Millisecond)
	a.submit("out", config.TakeOutOfService{Target: config.DataCentre("north")})
	p := platform.Put{Key: config.HeadKey, Value: []byte("{")}
	if _, err := a.client.PutIf(t.Context(), p); err != nil {
		t.Fatal(err)
	}
	o := config.Order{ChangeID: "x", By: "op", Change: config.ReturnToService{Target: config.DataCentre("north")}}
	if _, err := a.writer.Submit(t.Context(), o, time.Now()); err == nil {
		t.Error("a change was applied to a document that cannot be decoded")
	}
	if !a.writer.Store.Current().IsOutOfService(config.DataCentre("north")) {
		t.Error("the order is no longer in force")
	}
}
