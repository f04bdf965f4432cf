// Package agent is the process beside one endpoint and the only way to it.
//
// An agent is the single writer of its endpoint's truth: what it bears, whether
// it is cold or leaving, what runs. Entries hold views that lag; the agent
// refuses what the endpoint can't bear with a result that is true. It claims
// requests that may run only once before the first byte goes to the endpoint,
// numbers the pieces of answers, and keeps answers for a while so that a caller
// whose entry died can fetch them through another.
//
// Lock order: the table of attempts, then an attempt. Neither is held while
// the endpoint, the platform or a peer is called.
package agent
