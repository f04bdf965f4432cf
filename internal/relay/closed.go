package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// maxLeaderReportAge is the age from which a leader's report about its group is ignored.
	// Leaders report several times within it.
	maxLeaderReportAge = 500 * time.Millisecond
	// closedAfterSilence is how long after a failure a group's engines must have given this entry
	// no answer for the group to count as closed without a report of its leader: two of the longest
	// passes.
	closedAfterSilence = 250 * time.Millisecond
	// probeInterval is the pause between requests that probe whether a group without a leader's
	// report is open again.
	probeInterval = 150 * time.Millisecond
)

// groupState describes a service's groups of engines when some or all accept no requests.
type groupState struct {
	// downFor is how long the service has given no answer. forming means that a closed group is
	// about to open.
	downFor time.Duration
	forming bool
	// reported means that the state comes from leaders' reports. Otherwise it is inferred from
	// failures.
	reported bool
	// closedEngines lists the engines of groups that leaders report as closed, also while other
	// groups are open.
	closedEngines []string
}

// groupState returns the state of a service's groups and whether all of them are closed. mu must be
// held. Leaders' reports take precedence over what failures suggest.
func (st *State) groupState(s *routing.Service, now time.Time) (groupState, bool) {
	if !lockstep(s) {
		return groupState{}, false
	}
	since, failing := st.outages.since[s.Name]
	c := groupState{}
	if failing {
		c.downFor = now.Sub(since)
	}
	open := 0
	for id, ep := range st.endpoints {
		l := st.loads[id]
		if ep.Service != s.Name || now.Sub(l.At) >= maxLeaderReportAge {
			continue
		}
		if !l.Closed {
			open++
			continue
		}
		c.closedEngines = append(c.closedEngines, id)
		c.forming = c.forming || l.Forming
	}
	c.reported = open+len(c.closedEngines) > 0
	if c.reported {
		return c, open == 0
	}
	return c, failing && c.downFor >= closedAfterSilence
}

// lockstep reports whether the engines of a service work in groups, in lockstep.
func lockstep(s *routing.Service) bool { return s.Engine != nil && s.Engine.Experts.Sets > 0 }

// mayProbe reports whether a request may be sent to a group that is assumed to be closed, to find
// out whether it still is. Only requests that have not been sent before may: sending one again
// costs the fleet's retry budget.
func (st *State) mayProbe(s *routing.Service, c groupState, sent bool, now time.Time) bool {
	return !c.reported && !sent && st.lastProbe.take(s.Name, probeInterval, now)
}

// probeTimes holds when a request was last sent to a service to find out whether its groups serve it.
type probeTimes map[string]time.Time

// take reports whether the last probe of a service was sent at least interval ago. If so, it records one now.
func (p probeTimes) take(service string, interval time.Duration, now time.Time) bool {
	if now.Sub(p[service]) < interval {
		return false
	}
	p[service] = now
	return true
}

// isClosed reports whether the group of an endpoint accepts no requests, according to its leader. mu must be held.
func (st *State) isClosed(id string, now time.Time) bool {
	l := st.loads[id]
	return l.Closed && now.Sub(l.At) < maxLeaderReportAge
}

// refuseIfClosed returns a refusal if all groups of the service are closed and the request may not
// wait for one to open, or else nil.
//
// All engines of a group stop at once when a rank or the path to a data centre is lost, or when all
// VMs lose power, and callers have one more attempt. The best estimate of the remaining outage is
// its duration so far; once no rank is missing, forming takes about a second. Callers who have come
// back as they were asked to may wait: if they were refused while the group forms, they would have
// used up their last attempt, although they are willing to wait for longer than that. Callers on
// their first attempt may not: they are asked to come back when the group has most likely opened.
// If they waited too, twice as many requests would be waiting when the group opens, and requests
// that arrive then and could meet their target would become late behind them. No caller is held
// through an outage of unknown duration.
func (st *State) refuseIfClosed(req AdmitRequest, now time.Time) *result.Error {
	c, closed := st.groupState(req.Service, now)
	if !closed {
		return nil
	}
	st.excludeFromDrainRate(req.Service, now)
	slack := st.latestStart(req, now).Sub(now)
	if req.AskedBefore && slack > 0 && (c.forming || c.downFor <= slack) {
		return nil
	}
	return st.closedRefusal(req, now)
}

// maxClassDelay bounds by how much later than the most urgent callers others are asked to come back.
// The group is expected to have opened when the most urgent ones do, and slots may be free then.
const maxClassDelay = time.Second

// closedRefusals counts the callers of a service that were recently refused because its groups are
// closed, by class.
type closedRefusals [routing.MaxClass + 1]arrivalRate

// closedRefusal refuses a request because the groups of its service are closed.
//
// Callers of all classes would otherwise come back together when the group opens, with more requests
// than it can start in time. The less urgent ones are asked to come back later by the time in which
// this entry can start those of the more urgent ones. The Retry-After time stays within the part of
// the caller's time that is allowed for it.
func (st *State) closedRefusal(req AdmitRequest, now time.Time) *result.Error {
	e := st.refusal(req.Service.Name, result.GroupClosed, now)
	if !st.table.HasClasses(req.Service.Name) {
		return e
	}
	refused := st.closedRefusals[req.Service.Name]
	if refused == nil {
		refused = &closedRefusals{}
		st.closedRefusals[req.Service.Name] = refused
	}
	refused[req.Class].add(now)
	delay := st.classDelay(req, refused, now)
	if delay <= 0 {
		return e
	}
	least := req.Deadline.Sub(now) / minClosedRetryAfterDivisor
	return e.WithRetryAfter(max(e.RetryAfter(), least) + delay)
}

// classDelay returns how long this entry's share of a service's slots takes to start the requests of
// the callers of more urgent classes that were refused.
func (st *State) classDelay(req AdmitRequest, refused *closedRefusals, now time.Time) time.Duration {
	moreUrgent := 0.0
	for class := range refused[:req.Class] {
		r := &refused[class]
		r.decay(now)
		moreUrgent += r.count
	}
	slots := max(1, st.slotShare(req.Service))
	return min(maxClassDelay, time.Duration(moreUrgent*float64(st.usualSlotTime(req.Service, now))/slots))
}
