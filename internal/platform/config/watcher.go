package config

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// Source is a key-value service that can be watched.
type Source interface {
	platform.KV
	// Watch sends what happens to the keys with the prefix until ctx ends.
	Watch(ctx context.Context, prefix string, from int64, events chan<- platform.WatchEvent) error
}

// Watcher follows the document in the platform's service. Only a few processes
// of a data centre run one; the others learn changes from their peers.
type Watcher struct {
	// Source is the platform's service.
	Source Source
	// Writer repairs the document and writes holds into it; its Store receives
	// what is read.
	Writer *Writer
	// Period is the time between two reads without any event. It bounds for how
	// long a watch that holds its events back can hide a change.
	Period time.Duration
	// Timeout limits each repair.
	Timeout time.Duration
	// Now is the clock.
	Now func() time.Time
	// Log receives changes of state; nil means the standard logger.
	Log *logrus.Logger
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry

	gaps       metrics.Counter
	failures   metrics.Counter
	unreadable metrics.Counter
	lastErr    string
}

// Run follows the document until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	ctx, cancel := context.WithCancel(ctx)
	events := make(chan platform.WatchEvent)
	done := make(chan error, 1)
	go func() { done <- w.Source.Watch(ctx, HeadKey, 0, events) }()
	t := time.NewTicker(w.Period)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case e := <-events:
			w.event(ctx, e)
		case <-t.C:
			w.sync(ctx)
		case <-ctx.Done():
		}
	}
	cancel()
	return <-done
}

func (w *Watcher) init() {
	if w.Log == nil {
		w.Log = logrus.StandardLogger()
	}
	r := w.Metrics
	if r == nil {
		r = metrics.DefaultRegistry
	}
	w.gaps = metrics.GetOrRegisterCounter("config.watchGaps", r)
	w.failures = metrics.GetOrRegisterCounter("config.syncFailures", r)
	w.unreadable = metrics.GetOrRegisterCounter("config.unreadable", r)
}

func (w *Watcher) event(ctx context.Context, e platform.WatchEvent) {
	switch e := e.(type) {
	case platform.Gap:
		w.gaps.Inc(1)
		w.sync(ctx)
	case platform.Changed:
		w.changed(ctx, e)
	}
}

func (w *Watcher) changed(ctx context.Context, e platform.Changed) {
	for _, kv := range e.KVs {
		h, err := DecodeHead(kv.Value())
		if err != nil {
			w.unreadable.Inc(1)
			w.note(err)
			continue
		}
		w.Writer.Store.Offer(h)
	}
	if len(e.Deleted) > 0 {
		w.sync(ctx)
		return
	}
	w.fetch(ctx)
}

// sync reads the document, repairs it when the service knows less than this
// process, and fetches missing parts.
func (w *Watcher) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	err := w.Writer.Repair(ctx, w.Now())
	if err != nil {
		w.failures.Inc(1)
	}
	if unreadable(err) {
		w.unreadable.Inc(1)
	}
	w.note(err)
	w.fetch(ctx)
}

// note logs an error when it is not the one of last time.
func (w *Watcher) note(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == w.lastErr {
		return
	}
	w.lastErr = text
	if err != nil {
		w.Log.WithError(err).Warn("the configuration can't be synchronised with the platform")
		return
	}
	w.Log.Info("the configuration is synchronised with the platform")
}

// fetch reads the parts that the document names and the store lacks.
func (w *Watcher) fetch(ctx context.Context) {
	if err := w.Writer.FetchParts(ctx); err != nil {
		w.failures.Inc(1)
	}
}
