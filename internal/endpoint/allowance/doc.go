// Package allowance limits how many requests one endpoint runs concurrently.
//
// An endpoint in cold start can run only few requests and crashes under more. All
// requests to an endpoint pass through its agent, so the agent's Allowance is
// authoritative: Admit never exceeds the limit, whatever load the entries assume.
// The limit starts at Limits.Cold, because an endpoint of which nothing is known
// counts as cold, and grows with the requests that the agent has seen complete
// since then. Elapsed time alone doesn't raise it, as an idle endpoint doesn't warm
// up. Any sign of a cold start resets the limit at once.
//
// The package reads no clock and starts no goroutines. An Allowance is safe for
// concurrent use.
package allowance
