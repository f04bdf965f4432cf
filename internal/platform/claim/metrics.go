package claim

import "github.com/rcrowley/go-metrics"

// counters holds the metrics of a Batcher.
type counters struct {
	granted    metrics.Counter
	held       metrics.Counter
	done       metrics.Counter
	keyReused  metrics.Counter
	notMade    metrics.Counter
	unknown    metrics.Counter
	txns       metrics.Counter
	ops        metrics.Counter
	concluded  metrics.Counter
	superseded metrics.Counter
	abandoned  metrics.Counter
	dropped    metrics.Counter
	backlog    metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.DefaultRegistry
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("claim."+name, r)
	}
	return counters{
		granted:    counter("granted"),
		held:       counter("held"),
		done:       counter("done"),
		keyReused:  counter("keyReused"),
		notMade:    counter("notMade"),
		unknown:    counter("unknown"),
		txns:       counter("transactions"),
		ops:        counter("operations"),
		concluded:  counter("concluded"),
		superseded: counter("superseded"),
		abandoned:  counter("abandoned"),
		dropped:    counter("outcomesDropped"),
		backlog:    metrics.GetOrRegisterGauge("claim.backlog", r),
	}
}

// countResult counts v and returns it.
func (c counters) countResult(v Result) Result {
	switch v.(type) {
	case Granted:
		c.granted.Inc(1)
	case Held:
		c.held.Inc(1)
	case AlreadyRun:
		c.done.Inc(1)
	case KeyReused:
		c.keyReused.Inc(1)
	case NotClaimed:
		c.notMade.Inc(1)
	case Unknown:
		c.unknown.Inc(1)
	}
	return v
}
