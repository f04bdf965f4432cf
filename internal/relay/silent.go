package relay

import (
	"cmp"
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/silence"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// silenceInterval is how often silences are measured. Several fit into the shortest one that
	// matters.
	silenceInterval = 100 * time.Millisecond
	// maxSilentTime is how long an endpoint counts as silent, if nobody reports that it is not seen,
	// before one request tries it again.
	maxSilentTime = 2 * time.Second
	// groupSeparator separates a service from the number of its group in a group's name.
	groupSeparator = "/"
)

// silences is what this entry knows of endpoints that can't be heard. State.mu guards it.
type silences struct {
	tracker   silence.Tracker
	sightings sightings
	// marks holds the endpoints that are not audible, by ID, and services the services of those that were
	// sent requests.
	marks    map[string]silenceMark
	services map[string]string
}

// silenceMark is what is held against an endpoint.
type silenceMark struct {
	verdict silence.Verdict
	// unseen means that its leader did not see it.
	unseen bool
	// since is when the verdict was first given.
	since time.Time
	// retried means that the endpoint was silent and may be sent one request, which tries it.
	retried bool
}

// SilenceChange is a change of an endpoint's verdict.
type SilenceChange struct {
	Endpoint, Service string
	// From and To are the verdicts.
	From, To silence.Verdict
	// Silence and Lag are those of silence.Observation, and Reported whether there are reports.
	Silence, Lag time.Duration
	Reported     bool
	// Running is the number of this entry's requests at the endpoint.
	Running int
}

// sent records that a request was sent to an endpoint of a service.
func (s *silences) sent(id, service string) {
	if s.services == nil {
		s.services = map[string]string{}
	}
	s.services[id] = service
	s.tracker.Sent(id, s.groupName(id, service))
}

// groupName returns the name of the set of endpoints that go on or stand together with an endpoint of a
// service: its group of engines, or else the whole service.
func (s *silences) groupName(id, service string) string {
	return service + groupSeparator + strconv.FormatUint(s.sightings.group[id], 10)
}

// suspects returns the endpoints that may be inaudible. Those of which nothing is expected are not among them,
// of which a large fleet has many.
func (s *silences) suspects() map[string]bool {
	out := maps.Clone(s.sightings.missing)
	if out == nil {
		out = map[string]bool{}
	}
	for id := range s.marks {
		out[id] = true
	}
	for _, id := range s.tracker.Silent() {
		out[id] = true
	}
	return out
}

// forget discards what is known of an endpoint that has gone.
func (s *silences) forget(id string) {
	s.tracker.Forget(id)
	s.sightings.forget(id)
	delete(s.marks, id)
	delete(s.services, id)
}

// forgetSilence discards what is known of an endpoint that is no longer listed, unless it has requests of this
// entry: the listing of one whose VM stands still lapses too. mu must be held.
func (st *State) forgetSilence(id string) {
	if st.ownRunning[id] == 0 {
		st.silences.forget(id)
	}
}

// observe returns what is known of an endpoint. mu must be held.
func (st *State) observe(id string, now time.Time) silence.Observation {
	service := st.silences.services[id]
	o := silence.Observation{Silence: st.silences.tracker.Silence(id)}
	o.Lag, o.Reported = st.silences.sightings.lag(id, now)
	switch {
	case o.Silence < silence.MinUnconfirmed: // of no account
	case st.silences.tracker.Answering(id):
		o.Usual = st.latencies.usualPause(service, now)
	default:
		o.Usual, _ = st.latencies.usual(service, 0, now)
	}
	return o
}

// recordHeard records that a part of an answer has arrived, before the balancer is told. mu must be held.
func (st *State) recordHeard(assigned Assignment, now time.Time) {
	id := assigned.Endpoint.ID
	st.silences.tracker.Heard(id, now)
	st.silences.tracker.Progressed(id)
	if len(st.stands.current) > 0 {
		st.stands.heard(st.silences.groupName(id, assigned.Endpoint.Service))
	}
	if assigned.attempt == nil {
		return // the endpoint was removed meanwhile
	}
	if last, begun := assigned.attempt.LastPartAt(); begun {
		st.latencies.recordPause(assigned.Endpoint.Service, now.Sub(last), now)
		return
	}
	st.silences.tracker.Begun(id)
}

// AdvanceSilences measures silences, judges the endpoints and their groups, moves requests off silent endpoints,
// and returns those whose verdict has changed, and the groups that begin or cease to stand. It must be called
// each silenceInterval.
func (st *State) AdvanceSilences(now time.Time) ([]SilenceChange, []StandChange) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.silences.tracker.Advance(func(id string) bool {
		return st.observe(id, now).Unseen()
	}, now)
	changes := st.judgeSilences(now)
	if len(changes) > 0 {
		st.quotas.markStale()
		st.notifyChanged()
	}
	standChanges := st.judgeStands(now)
	st.dispatchWaiting(now)
	return changes, standChanges
}

// judgeSilences judges the endpoints and returns those whose verdict has changed. mu must be held.
func (st *State) judgeSilences(now time.Time) []SilenceChange {
	s := &st.silences
	var changes []SilenceChange
	for id := range s.suspects() {
		o := st.observe(id, now)
		from := s.marks[id].verdict
		to := s.mark(id, o, now)
		if from != to {
			changes = append(changes, SilenceChange{
				Endpoint: id, Service: cmp.Or(s.services[id], st.endpoints[id].Service), From: from, To: to, Silence: o.Silence, Lag: o.Lag,
				Reported: o.Reported, Running: st.ownRunning[id],
			})
		}
	}
	return changes
}

// addSilent adds the requests that wait at endpoints which can't be heard to counts by service and class. mu
// must be held.
func (st *State) addSilent(byService map[string][]int) {
	for id, m := range st.silences.marks {
		if m.verdict != silence.Silent {
			continue
		}
		for _, r := range movableNow(st.movable[id]) {
			byService[r.service.Name] = addClass(byService[r.service.Name], r.class)
		}
	}
}

// excludeSilent excludes endpoints of a service that can't be heard, and reports whether it excluded any. mu
// must be held.
//
// An endpoint whose requests have been moved elsewhere has no load, so it would get more requests than any
// other one, and each would wait there.
func (st *State) excludeSilent(service *routing.Service, q *placement.Query, now time.Time) bool {
	excluded := false
	for id := range st.silences.marks {
		if st.endpoints[id].Service == service.Name && st.avoids(id, now) {
			q.Excluded = append(q.Excluded, id)
			excluded = true
		}
	}
	return excluded
}

// avoids reports whether new requests go elsewhere than to an endpoint because it can't be heard. mu must be
// held.
func (st *State) avoids(id string, now time.Time) bool {
	m, ok := st.silences.marks[id]
	if !ok {
		return false
	}
	switch m.verdict {
	case silence.Silent:
		return true
	case silence.Unseen:
		return now.Sub(st.silences.tracker.HeardAt(id)) >= silence.MinSilence
	default:
		return m.retried && st.ownRunning[id] > 0
	}
}

// mark judges an endpoint and returns the verdict.
func (s *silences) mark(id string, o silence.Observation, now time.Time) silence.Verdict {
	if s.marks == nil {
		s.marks = map[string]silenceMark{}
	}
	m := s.marks[id]
	if m.retried && s.tracker.HeardAt(id).After(m.since) {
		m.retried = false
	}
	verdict := silence.Judge(o)
	seenAgain := m.unseen && o.Reported && !o.Unseen()
	tooLong := verdict == silence.Silent && !o.Unseen() && now.Sub(m.since) >= maxSilentTime
	if m.verdict == silence.Silent && (seenAgain || tooLong) {
		s.tracker.Reset(id)
		verdict, m.retried = silence.Audible, !seenAgain
	}
	if verdict != m.verdict {
		m.verdict, m.since = verdict, now
	}
	m.unseen = o.Unseen()
	if verdict == silence.Audible && !m.retried {
		delete(s.marks, id)
		return verdict
	}
	s.marks[id] = m
	return verdict
}

// SilentFor returns for how long an endpoint has not been heard by this entry while it had requests of this
// entry and others of its group were heard.
func (st *State) SilentFor(id string) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.silences.tracker.Silence(id)
}

// SilentEndpoints returns the number of endpoints with the verdict silence.Silent.
func (st *State) SilentEndpoints() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := 0
	for _, m := range st.silences.marks {
		if m.verdict == silence.Silent {
			n++
		}
	}
	return n
}

// heard records that something of an answer has arrived that is no part for the caller.
func (st *State) heard(assigned Assignment, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.silences.tracker.Heard(assigned.Endpoint.ID, now)
}

// isHeard reports whether an attempt that ended with o got something from its endpoint.
func isHeard(o Outcome) bool {
	switch o := o.(type) {
	case Delivered, Failed, Unusable:
		return true
	case NotRun:
		return o.Sent
	default:
		return false
	}
}

// WatchSilences measures silences until ctx ends, and logs the endpoints whose verdict changes and the groups
// that begin or cease to stand.
func (r *Relay) WatchSilences(ctx context.Context) error {
	t := time.NewTicker(silenceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			silences, stands := r.State.AdvanceSilences(r.Now())
			for _, c := range silences {
				r.logSilence(c)
			}
			for _, c := range stands {
				r.logStand(c)
			}
		}
	}
}

// silenceTexts holds the messages of the log lines of changes, by the new verdict.
var silenceTexts = map[silence.Verdict]string{
	silence.Audible: "endpoint is no longer silent",
	silence.Unseen:  "endpoint is not seen by its leader",
	silence.Silent:  "endpoint is silent while others of its group answer",
}

func (r *Relay) logSilence(c SilenceChange) {
	r.Log.WithFields(logrus.Fields{
		"endpoint": c.Endpoint, "service": c.Service, "silence": c.Silence.Milliseconds(), "reported": c.Reported,
		"reportLag": c.Lag.Milliseconds(), "running": c.Running,
	}).Info(silenceTexts[c.To])
}
