package claim

import "time"

const (
	// DispatchWindow is the dispatch window of all agents. It is long enough
	// for a slow reply of the service, and short enough that an operator need
	// not wait long before a release.
	DispatchWindow = 3 * time.Second
	// ReleaseMargin is added to the window before a release. It covers the time
	// between an agent's check of its window and the dispatch, and clocks that
	// run at different speeds.
	ReleaseMargin = 2 * time.Second
)
