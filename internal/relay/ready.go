package relay

import (
	"context"
	"time"
)

// startupHold is how long after its start the process holds requests that arrive before it knows a
// configuration.
const startupHold = time.Second

// EndpointsListed records that all endpoints have been read once.
func (st *State) EndpointsListed() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.endpointsListed = true
	st.signalReady()
}

// signalReady closes ready once the configuration and the endpoints are known. mu must be held.
func (st *State) signalReady() {
	if st.table != nil && st.endpointsListed && !st.Ready() {
		close(st.ready)
	}
}

// AwaitReady waits until a configuration and the endpoints are known, or ctx ends, or startupHold
// has passed since the start of the process.
//
// When a whole fleet restarts, callers arrive a few tenths of a second before the store has
// delivered the configuration. If they were refused, most of them would have used up their last
// attempt. After startupHold, requests are refused at once, as the store may be unavailable for
// long.
func (st *State) AwaitReady(ctx context.Context, now time.Time) {
	left := startupHold - now.Sub(st.startedAt)
	if left <= 0 {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-st.ready:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Ready reports whether a configuration and the endpoints are known.
func (st *State) Ready() bool {
	select {
	case <-st.ready:
		return true
	default:
		return false
	}
}
