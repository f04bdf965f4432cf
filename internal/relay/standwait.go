package relay

import (
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// maxTakeoverTime is how long a group stands at most if its leader is lost and a successor can end the
	// standstill: a lease lapses within 1.2 s, and the next leader sees all ranks. One that lasts longer
	// ends when a lost VM is back.
	maxTakeoverTime = 1500 * time.Millisecond
	// standProbeInterval is the pause between requests that probe whether a group goes on of which nobody
	// reports. Callers wait for two seconds, so an entry has two of them there.
	standProbeInterval = time.Second
)

// serviceStood returns the endpoints of a service whose groups stand still, and the time for which all groups that
// accept requests have stood, which is zero if one goes on. mu must be held.
func (st *State) serviceStood(s *routing.Service, now time.Time) (standing []string, stood time.Duration) {
	if len(st.stands.current) == 0 {
		return nil, 0
	}
	goesOn := false
	for id, ep := range st.endpoints {
		if ep.Service != s.Name || st.isClosed(id, now) {
			continue
		}
		d := st.stoodFor(id, ep.Service, now)
		if d == 0 {
			goesOn = true
			continue
		}
		standing = append(standing, id)
		if stood == 0 || d < stood {
			stood = d
		}
	}
	if goesOn {
		stood = 0
	}
	return standing, stood
}

// chooseNew is choose for a request that has not run. It is not sent into a group that stands still.
//
// Nothing begins to run there. If the VM beside one of its engines freezes before the group goes on, what the engine
// has accepted can't be taken back: neither a move nor the end of the caller's wait reaches it, and the work is done
// when the caller has left. A request that waits at the entry can be sent to any engine, or refused as not run.
func (st *State) chooseNew(service *routing.Service, q placement.Query, now time.Time) (Assignment, *result.Error) {
	standing, stood := st.serviceStood(service, now)
	switch {
	case stood == 0:
		q.Excluded = slices.Concat(q.Excluded, standing)
	case len(q.Excluded) > 0 || !st.mayProbeStand(service.Name, standing, now):
		return Assignment{}, st.refusal(service.Name, result.GroupClosed, now)
	}
	return st.choose(service, q, now)
}

// mayProbeStand reports whether a request may be sent to a group that is assumed to stand, to find out whether it goes
// on. mu must be held.
func (st *State) mayProbeStand(service string, standing []string, now time.Time) bool {
	for _, id := range standing {
		if st.stands.current[st.silences.groupName(id, service)].reported {
			return false
		}
	}
	return st.lastStandProbe.take(service, standProbeInterval, now)
}

// refuseIfStanding returns a refusal if all groups of the service have stood for longer than a new leader needs to end
// a standstill, or else nil. The best estimate of the rest is the time so far, so callers who have come back wait if
// they can wait for as long again, and others are asked to come back then. mu must be held.
func (st *State) refuseIfStanding(req AdmitRequest, now time.Time) *result.Error {
	_, stood := st.serviceStood(req.Service, now)
	if stood < maxTakeoverTime {
		return nil
	}
	st.excludeFromDrainRate(req.Service, now)
	if req.AskedBefore && stood <= st.latestStart(req, now).Sub(now) {
		return nil
	}
	e := st.closedRefusal(req, now)
	return e.WithRetryAfter(max(e.RetryAfter(), min(stood, maxOutageRetryAfter)))
}

// refuseDuringStand refuses the waiting requests that can't wait for the end of a standstill. mu must be held.
func (st *State) refuseDuringStand(now time.Time) {
	if len(st.stands.current) == 0 {
		return
	}
	st.refuseWaiting(func(req AdmitRequest) *result.Error { return st.refuseIfStanding(req, now) })
}
