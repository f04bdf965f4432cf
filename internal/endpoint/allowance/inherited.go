package allowance

import "time"

// inheritedTTL bounds how long the requests of an earlier agent are counted. It is
// longer than most requests take, and short enough that an endpoint whose reported
// count never falls doesn't stay unused.
const inheritedTTL = time.Minute

// inherited counts the requests that an earlier agent admitted and that still run
// on the endpoint.
type inherited struct {
	n        int
	reported bool
	expires  time.Time
}

// count returns the number of inherited requests, or zero once the
// count has expired.
func (i *inherited) count(now time.Time) int {
	if now.Before(i.expires) {
		return i.n
	}
	return 0
}

// ReportRunning records that the endpoint reported n running requests. The
// parameter own is the number of requests of this agent that are running there.
//
// When the VM of an agent is replaced, the endpoint keeps running the requests that
// the earlier agent admitted. If the new agent didn't count them, it would admit up
// to the cold limit on top of them, and a cold endpoint would get up to twice what
// it can run. The first report sets the count. Later reports can only lower it,
// because from then on all requests pass through this agent. As reports lag,
// requests that started just before the earlier agent died may be missed.
func (a *Allowance) ReportRunning(n, own int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n = max(0, n-own)
	if !a.inherited.reported {
		a.inherited = inherited{n: n, reported: true, expires: now.Add(inheritedTTL)}
		return
	}
	a.inherited.n = min(a.inherited.n, n)
}
