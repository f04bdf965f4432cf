package rank

import "github.com/rcrowley/go-metrics"

// runnerMetrics holds the metrics of a Runner.
type runnerMetrics struct {
	// orders and ordersRefused count orders that the member received and
	// refused; engineFailures and peerFailures count failed calls to the engine
	// and to peers.
	orders, ordersRefused, engineFailures, peerFailures metrics.Counter
	// mapsInForce, joins and losses count changes of the member's state.
	mapsInForce, joins, losses metrics.Counter
	// leads and deposed count the beginnings and ends of this agent's
	// leadership.
	leads, deposed metrics.Counter
	// plans counts the plans that changed the map, and moves the replicas moved
	// by them.
	plans, moves metrics.Counter
	// mapVersion is the version of the map in force.
	mapVersion metrics.Gauge
	// skewPlanned is the skew with the latest plan and skewBefore the skew
	// without it.
	skewPlanned, skewBefore metrics.GaugeFloat64
	// stepLimit is the last step that the ranks may begin, and lastStep the
	// last step that they have begun.
	stepLimit, lastStep metrics.Gauge
}

func newRunnerMetrics(r metrics.Registry) runnerMetrics {
	return runnerMetrics{
		orders:         metrics.GetOrRegisterCounter("rank.orders", r),
		ordersRefused:  metrics.GetOrRegisterCounter("rank.ordersRefused", r),
		engineFailures: metrics.GetOrRegisterCounter("rank.engineFailures", r),
		peerFailures:   metrics.GetOrRegisterCounter("rank.peerFailures", r),
		mapsInForce:    metrics.GetOrRegisterCounter("rank.mapsInForce", r),
		joins:          metrics.GetOrRegisterCounter("rank.joins", r),
		losses:         metrics.GetOrRegisterCounter("rank.losses", r),
		leads:          metrics.GetOrRegisterCounter("rank.leads", r),
		deposed:        metrics.GetOrRegisterCounter("rank.deposed", r),
		plans:          metrics.GetOrRegisterCounter("rank.plans", r),
		moves:          metrics.GetOrRegisterCounter("rank.moves", r),
		mapVersion:     metrics.GetOrRegisterGauge("rank.version", r),
		skewPlanned:    metrics.GetOrRegisterGaugeFloat64("rank.skewPlanned", r),
		skewBefore:     metrics.GetOrRegisterGaugeFloat64("rank.skewBefore", r),
		stepLimit:      metrics.GetOrRegisterGauge("rank.granted", r),
		lastStep:       metrics.GetOrRegisterGauge("rank.begun", r),
	}
}
