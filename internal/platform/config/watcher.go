package config

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// Source is a key-value service that supports watches.
type Source interface {
	platform.KV
	// Watch sends the changes of the keys with the prefix, beginning with the
	// revision from (zero: the current one), to events until ctx is done.
	Watch(ctx context.Context, prefix string, from int64, events chan<- platform.WatchEvent) error
}

// Watcher follows the document in the platform's service. Only a few processes
// of a data centre run one; the others receive changes from their peers.
type Watcher struct {
	// Source is the client of the platform's service.
	Source Source
	// Writer repairs the document and writes holds into it. Its Store receives
	// the document that was read.
	Writer *Writer
	// ReadInterval is the interval between reads that are independent of watch
	// events. It limits for how long a watch with delayed events can hide a
	// change.
	ReadInterval time.Duration
	// Timeout limits each repair and the following read of parts.
	Timeout time.Duration
	// Now returns the current time.
	Now func() time.Time
	// Log receives a line when synchronisation fails with a new error or
	// succeeds again; nil means the standard logger.
	Log *logrus.Logger
	// Metrics is the registry for the counters; nil means the default registry.
	Metrics metrics.Registry

	watchGaps    metrics.Counter
	syncFailures metrics.Counter
	unreadable   metrics.Counter
	lastErr      string
}

// Run follows the document until ctx is done and returns the error of the
// watch.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	ctx, cancel := context.WithCancel(ctx)
	events := make(chan platform.WatchEvent)
	done := make(chan error, 1)
	go func() { done <- w.Source.Watch(ctx, HeadKey, 0, events) }()
	t := time.NewTicker(w.ReadInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case e := <-events:
			w.handleEvent(ctx, e)
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
	w.watchGaps = metrics.GetOrRegisterCounter("config.watchGaps", r)
	w.syncFailures = metrics.GetOrRegisterCounter("config.syncFailures", r)
	w.unreadable = metrics.GetOrRegisterCounter("config.unreadable", r)
}

func (w *Watcher) handleEvent(ctx context.Context, e platform.WatchEvent) {
	switch e := e.(type) {
	case platform.Gap:
		w.watchGaps.Inc(1)
		w.sync(ctx)
	case platform.Changed:
		w.handleChange(ctx, e)
	}
}

func (w *Watcher) handleChange(ctx context.Context, e platform.Changed) {
	for _, kv := range e.KVs {
		h, err := DecodeHead(kv.Value())
		if err != nil {
			w.unreadable.Inc(1)
			w.logErrorChange(err)
			continue
		}
		w.Writer.Store.Merge(h)
	}
	if len(e.Deleted) > 0 {
		w.sync(ctx)
		return
	}
	w.fetchParts(ctx)
}

// sync reads the document, repairs it if the service lacks changes known to
// this process, and fetches missing parts.
func (w *Watcher) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	err := w.Writer.Repair(ctx, w.Now())
	if err != nil {
		w.syncFailures.Inc(1)
	}
	if isUnreadable(err) {
		w.unreadable.Inc(1)
	}
	w.logErrorChange(err)
	w.fetchParts(ctx)
}

// logErrorChange logs err, or the recovery if err is nil, when it differs from
// the previous result.
func (w *Watcher) logErrorChange(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == w.lastErr {
		return
	}
	w.lastErr = text
	if err != nil {
		w.Log.WithError(err).Warn("cannot synchronise the configuration with the platform")
		return
	}
	w.Log.Info("configuration synchronised with the platform")
}

// fetchParts reads the parts that the document references and the store lacks.
func (w *Watcher) fetchParts(ctx context.Context) {
	if err := w.Writer.FetchParts(ctx); err != nil {
		w.syncFailures.Inc(1)
	}
}
