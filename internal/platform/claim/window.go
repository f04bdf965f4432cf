package claim

import "time"

const (
	// DispatchWindow is the window of all agents: long enough for a service
	// that answers slowly, short enough that an operator who releases a claim
	// need not wait.
	DispatchWindow = 3 * time.Second
	// ReleaseMargin is the time that a release leaves between an agent's check
	// and its dispatch, and for clocks of unequal speed.
	ReleaseMargin = 2 * time.Second
)
