// Package allowance decides how much work one endpoint may run at once.
//
// An endpoint in cold start bears only a little work and falls over under
// more. The agent is the only way to its endpoint, so its Allowance is the
// single truth: what Admit lets in never exceeds the bound, whatever entries
// believe. The bound starts at the cold bound, because an endpoint of which
// nothing is known counts as cold, and grows with completions that the agent
// has seen since; time alone proves nothing about warmth. Any sign of coldness
// drops the bound at once.
//
// The package reads no clock and starts no goroutine. An Allowance is safe for
// concurrent use.
package allowance
