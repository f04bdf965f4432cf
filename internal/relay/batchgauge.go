package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// BatchState is the batch limit of the most limited group of a service, and what it is derived
// from.
type BatchState struct {
	// Limit is the number of requests that each engine may run at once.
	Limit int
	// Stretch is the factor by which the longest passes stretch the work for decoding requests; zero
	// means unknown. Decoding is the mean number of requests that an engine of the group runs.
	Stretch, Decoding float64
	// PauseAge is the age of the last pause that was observed, or zero if there is none.
	PauseAge time.Duration
}

// BatchStates returns the state of the batch limits by service. Services without them are absent.
func (st *State) BatchStates(now time.Time) map[string]BatchState {
	st.mu.Lock()
	defer st.mu.Unlock()
	out := map[string]BatchState{}
	if st.table == nil {
		return out
	}
	for _, s := range st.table.Services() {
		if bounds, ok := st.batchBounds(s.Name); ok && bounds.Max > 0 {
			out[s.Name] = BatchState{Limit: bounds.Max}
		}
	}
	for id, g := range st.batchLimits.groups {
		service := st.endpoints[id].Service
		known, ok := out[service]
		if !ok || known.Stretch > 0 && known.Limit <= g.Requests() {
			continue
		}
		out[service] = BatchState{Limit: g.Requests(), Stretch: g.Stretch(), Decoding: g.decoding(), PauseAge: g.ObservationAge(now)}
	}
	return out
}

// updateBatchGauges updates the gauges of batch limits.
func (m *Metrics) updateBatchGauges(states map[string]BatchState) {
	const percent = 100
	for service, s := range states {
		for name, v := range map[string]int64{
			"batchLimit":    int64(s.Limit),
			"batchStretch":  int64(percent * s.Stretch),
			"batchDecoding": int64(percent * s.Decoding),
			"batchPauseAge": s.PauseAge.Milliseconds(),
		} {
			metrics.GetOrRegisterGauge("relay.service."+service+"."+name, m.registry).Update(v)
		}
	}
}
