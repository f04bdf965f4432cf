package frontend

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/readers"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
)

// sourceMetrics records the source from which an entry receives store updates and how
// old its knowledge becomes.
type sourceMetrics struct {
	changes metrics.Counter
	// age is the age of the knowledge each time a newer update arrives.
	age metrics.Timer
	// withoutUpdate counts the answers of other entries that contained no update, by
	// kind.
	withoutUpdate map[readers.Outcome]metrics.Counter
}

// newSourceMetrics registers the metrics in r. held and announced return the revisions of the newest configuration
// that the entry holds and of the newest one that it has heard of.
func newSourceMetrics(r metrics.Registry, held, announced func() int64) sourceMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("relay.source."+name, r) }
	gauge := func(name string, value func() int64) {
		metrics.NewRegisteredFunctionalGauge("relay.source."+name, r, value)
	}
	gauge("held", held)
	gauge("announced", announced)
	return sourceMetrics{
		changes: counter("turns"),
		age:     metrics.GetOrRegisterTimer("relay.source.age", r),
		withoutUpdate: map[readers.Outcome]metrics.Counter{
			readers.NoAnswer: counter("silent"), readers.NotCurrent: counter("away"),
			readers.StoreLost: counter("lost"), readers.OwnState: counter("echo"),
			readers.ShuttingDown: counter("leaving"), readers.Starting: counter("starting"),
		},
	}
}

// countWithoutUpdate counts an answer that contained no update.
func (m sourceMetrics) countWithoutUpdate(o readers.Outcome) {
	if c, ok := m.withoutUpdate[o]; ok {
		c.Inc(1)
	}
}

// advanceFreshness records that all changes made before asOf are now known.
func (f *Frontend) advanceFreshness(asOf, now time.Time) {
	if f.freshness.Known() {
		f.sourceMetrics.age.Update(f.freshness.Age(now))
	}
	f.freshness.Advance(asOf)
}

// setSource records the source from which store updates are now requested, and logs
// it if it changed.
func (f *Frontend) setSource(name string) {
	if f.source == name && f.hasSource {
		return
	}
	f.source, f.hasSource = name, true
	f.sourceMetrics.changes.Inc(1)
	from := name
	if name == "" {
		from = "store"
	}
	f.Log.WithFields(logrus.Fields{
		"from": from, "knownAge": f.freshness.Age(boottime.Now()).Milliseconds(), "revision": f.storeCopy.Revision(), "covered": f.storeCopy.Covered(),
		"held": f.heldDocument(), "announced": f.newestKnownDocument(),
	}).Info("store update source changed")
}

// logMissing logs a configuration that another entry has announced and this one doesn't hold, unless it was logged
// before. The line tells whether an entry had heard of it when it turned to another source, and up to which revision
// it counted as current.
func (f *Frontend) logMissing(doc missingDocument, u mirror.Update) {
	if known, _ := f.missing.get(); known.revision() == doc.revision() && known.entry == doc.entry {
		return
	}
	f.Log.WithFields(logrus.Fields{
		"entry": doc.entry, "revision": u.Revision, "covered": f.storeCopy.Covered(), "held": f.heldDocument(), "announced": doc.revision(),
	}).Info("configuration is missing")
}
