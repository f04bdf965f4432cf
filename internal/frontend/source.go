package frontend

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/readers"
)

// sourceMetrics show from whom an entry hears what the store tells, and how old its
// knowledge grows meanwhile.
type sourceMetrics struct {
	turns metrics.Counter
	// age is that of what was known each time something newer came.
	age metrics.Timer
	// nothing counts the entries' answers that told nothing.
	nothing map[readers.Answer]metrics.Counter
}

func newSourceMetrics(r metrics.Registry) sourceMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("relay.source."+name, r) }
	return sourceMetrics{
		turns: counter("turns"),
		age:   metrics.GetOrRegisterTimer("relay.source.age", r),
		nothing: map[readers.Answer]metrics.Counter{
			readers.Silent: counter("silent"), readers.Away: counter("away"),
			readers.Lost: counter("lost"), readers.Echo: counter("echo"),
			readers.Leaving: counter("leaving"),
		},
	}
}

// told counts an answer that told nothing.
func (m sourceMetrics) told(a readers.Answer) {
	if c, ok := m.nothing[a]; ok {
		c.Inc(1)
	}
}

// learn notes that all which was changed before asked is known now.
func (f *Frontend) learn(asked, now time.Time) {
	if f.fresh.Known() {
		f.sources.age.Update(f.fresh.Age(now))
	}
	f.fresh.Learn(asked)
}

// noteSource tells from whom what the store tells is heard from now on, if that
// changes.
func (f *Frontend) noteSource(name string) {
	if f.source == name && f.sourced {
		return
	}
	f.source, f.sourced = name, true
	f.sources.turns.Inc(1)
	from := name
	if name == "" {
		from = "store"
	}
	f.Log.WithFields(logrus.Fields{"from": from, "knownAge": f.fresh.Age(boottime.Now()).Milliseconds()}).Info("store followed")
}
