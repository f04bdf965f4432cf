package rank

import "github.com/rcrowley/go-metrics"

// counts are the metrics of a Runner.
type counts struct {
	// orders and refused count orders that the member got and refused; failed
	// and peerFailed count calls to the engine and to peers that failed.
	orders, refused, failed, peerFailed metrics.Counter
	// maps, joins and losses count changes of the member's state.
	maps, joins, losses metrics.Counter
	// leads and deposed count changes of leadership.
	leads, deposed metrics.Counter
	// plans and moves count plans made and replicas moved by them.
	plans, moves metrics.Counter
	// version is the map in force.
	version metrics.Gauge
	// skew is the planned skew and skewBefore the one without the plan.
	skew, skewBefore metrics.GaugeFloat64
	// granted and begun show how far the ranks may run and have run.
	granted, begun metrics.Gauge
}

func newCounts(r metrics.Registry) counts {
	return counts{
		orders:     metrics.GetOrRegisterCounter("rank.orders", r),
		refused:    metrics.GetOrRegisterCounter("rank.ordersRefused", r),
		failed:     metrics.GetOrRegisterCounter("rank.engineFailures", r),
		peerFailed: metrics.GetOrRegisterCounter("rank.peerFailures", r),
		maps:       metrics.GetOrRegisterCounter("rank.mapsInForce", r),
		joins:      metrics.GetOrRegisterCounter("rank.joins", r),
		losses:     metrics.GetOrRegisterCounter("rank.losses", r),
		leads:      metrics.GetOrRegisterCounter("rank.leads", r),
		deposed:    metrics.GetOrRegisterCounter("rank.deposed", r),
		plans:      metrics.GetOrRegisterCounter("rank.plans", r),
		moves:      metrics.GetOrRegisterCounter("rank.moves", r),
		version:    metrics.GetOrRegisterGauge("rank.version", r),
		skew:       metrics.GetOrRegisterGaugeFloat64("rank.skewPlanned", r),
		skewBefore: metrics.GetOrRegisterGaugeFloat64("rank.skewBefore", r),
		granted:    metrics.GetOrRegisterGauge("rank.granted", r),
		begun:      metrics.GetOrRegisterGauge("rank.begun", r),
	}
}
