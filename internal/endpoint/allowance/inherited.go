package allowance

import "time"

// inheritedFor bounds how long work of an earlier agent is counted: longer
// than most answers take, and short enough that a report which never falls
// does not keep the endpoint out of use.
const inheritedFor = time.Minute

// inherited is work that runs at the endpoint and that an earlier agent
// admitted.
type inherited struct {
	n     int
	known bool
	until time.Time
}

func (i *inherited) count(now time.Time) int {
	if now.Before(i.until) {
		return i.n
	}
	return 0
}

// ReportedRunning tells how many requests the endpoint's own report counts, at a
// moment in which this agent had own ones running there.
//
// Decision, for an agent whose VM is replaced while its endpoint works. Harm
// prevented: the endpoint goes on with what the earlier agent had admitted,
// and the new one, which knows of none of it, adds a cold bound of its own; a
// cold endpoint then gets up to twice what it bears. The first report says how
// much there is, later ones can only lower it, because this agent is the only
// way to the endpoint from then on. A report lags, so work that began a moment
// before the earlier agent died may be missed.
func (a *Allowance) ReportedRunning(n, own int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n = max(0, n-own)
	if !a.inherited.known {
		a.inherited = inherited{n: n, known: true, until: now.Add(inheritedFor)}
		return
	}
	a.inherited.n = min(a.inherited.n, n)
}
