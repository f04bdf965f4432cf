package relay

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// maxStandReportAge is the age from which a leader's report doesn't tell whether its group stands:
	// three of its reports are missing then.
	maxStandReportAge = 300 * time.Millisecond
	// minReportedStand is how long a group must have stood, according to its leader, to count as standing.
	// A change of maps stops it for some 50 ms at most.
	minReportedStand = 150 * time.Millisecond
	// minSilentStand is how long nothing must have been heard of a group to count as standing without a
	// report of its leader, and usualSilentStand how many times the usual pause between two parts.
	minSilentStand   = 500 * time.Millisecond
	usualSilentStand = 4
)

// standReport is when the leader of a group last reported, and for how long the group had stood then.
type standReport struct {
	at    time.Time
	stood time.Duration
}

// stand is a group that stands still.
type stand struct {
	since time.Time
	// reported means that its leader says so. Otherwise it is inferred from silence.
	reported bool
}

// stands holds which groups of engines stand still: none of their ranks begins the next step. State.mu guards
// it.
type stands struct {
	// reports holds the last reports of leaders, current the groups that stand, and logged those of them
	// that are known to the log, by group.
	reports map[string]standReport
	current map[string]stand
	logged  map[string]bool
}

// StandChange is the beginning or the end of a group's standstill.
type StandChange struct {
	Group string
	// Stands is true at the beginning. Stood is for how long the group has stood then, and Reported whether
	// its leader says so.
	Stands, Reported bool
	Stood            time.Duration
	// Running is the number of this entry's requests at the group's endpoints.
	Running int
}

// report records what the leader of a group reports.
func (s *stands) report(group string, r standReport) {
	if s.reports == nil {
		s.reports = map[string]standReport{}
	}
	if r.at.After(s.reports[group].at) {
		s.reports[group] = r
	}
}

// heard records that a part of an answer has arrived from a group, which therefore goes on.
func (s *stands) heard(group string) {
	if _, stands := s.current[group]; !stands {
		return
	}
	delete(s.current, group)
	r := s.reports[group]
	r.stood = 0
	s.reports[group] = r
}

// set records whether a group stands.
func (s *stands) set(group string, c stand, standing bool) {
	if !standing {
		delete(s.current, group)
		return
	}
	if s.current == nil {
		s.current = map[string]stand{}
	}
	s.current[group] = c
}

// recordStand records the part of a leader's report that says for how long its group has stood. mu must be
// held.
func (st *State) recordStand(ids []string, l EndpointLoad) {
	group := st.silences.groupName(ids[0], st.endpoints[ids[0]].Service)
	for _, id := range ids {
		st.silences.tracker.SetGroup(id, group)
	}
	if l.Stood == 0 {
		st.silences.tracker.ResetStanding(group) // what was silent before tells nothing of the group now
	}
	st.stands.report(group, standReport{at: l.At, stood: l.Stood})
}

// judgeStands decides which groups stand, and returns what has changed. mu must be held.
func (st *State) judgeStands(now time.Time) []StandChange {
	s := &st.stands
	for group := range st.standCandidates() {
		c, standing := st.judgeStand(group, now)
		s.set(group, c, standing)
	}
	var changes []StandChange
	for group, c := range s.current {
		if !s.logged[group] {
			changes = append(changes, StandChange{Group: group, Stands: true, Reported: c.reported, Stood: now.Sub(c.since), Running: st.runningIn(group)})
		}
	}
	for group := range s.logged {
		if _, standing := s.current[group]; !standing {
			changes = append(changes, StandChange{Group: group, Running: st.runningIn(group)})
		}
	}
	for _, c := range changes {
		s.noteLogged(c)
	}
	return changes
}

func (s *stands) noteLogged(c StandChange) {
	if !c.Stands {
		delete(s.logged, c.Group)
		return
	}
	if s.logged == nil {
		s.logged = map[string]bool{}
	}
	s.logged[c.Group] = true
}

// standCandidates returns the groups that may stand, or stood when they were last judged.
func (st *State) standCandidates() map[string]bool {
	out := map[string]bool{}
	for group := range st.stands.current {
		out[group] = true
	}
	for group, r := range st.stands.reports {
		if r.stood > 0 {
			out[group] = true
		}
	}
	for _, group := range st.silences.tracker.StandingGroups() {
		out[group] = true
	}
	return out
}

// judgeStand decides whether a group stands. What its leader reports takes precedence over silence, which also
// comes from an entry's own troubles. Where reports have ended, a group that stood does so until it is heard.
func (st *State) judgeStand(group string, now time.Time) (stand, bool) {
	service := st.groupService(group)
	if service == nil {
		return stand{}, false
	}
	r := st.stands.reports[group]
	fresh := now.Sub(r.at) < maxStandReportAge
	switch {
	case fresh && r.stood == 0:
		return stand{}, false
	case fresh && r.stood >= minReportedStand:
		return stand{since: st.stands.sinceAtLatest(group, r.at.Add(-r.stood)), reported: true}, true
	}
	if c, standing := st.stands.current[group]; standing {
		c.reported = fresh
		return c, true
	}
	silent := st.silences.tracker.Standing(group)
	least := max(minSilentStand, usualSilentStand*st.latencies.usualPause(service.Name, now))
	return stand{since: now.Add(-silent)}, silent >= least
}

// sinceAtLatest returns since when a group has stood, which is at or before t. A new leader doesn't know for how
// long its group stood before.
func (s *stands) sinceAtLatest(group string, t time.Time) time.Time {
	if c, standing := s.current[group]; standing && c.since.Before(t) {
		return c.since
	}
	return t
}

// groupService returns the service of a group of engines that silences.groupName has named, or nil if there is
// none or it has no endpoints any more. mu must be held.
func (st *State) groupService(group string) *routing.Service {
	name := serviceOfGroup(group)
	if st.table == nil {
		return nil
	}
	service := st.table.Service(name)
	if service == nil || !lockstep(service) {
		return nil
	}
	for id, ep := range st.endpoints {
		if ep.Service == name && st.silences.groupName(id, name) == group {
			return service
		}
	}
	return nil
}

// serviceOfGroup returns the service of a group that silences.groupName has named.
func serviceOfGroup(group string) string {
	return group[:max(0, strings.LastIndex(group, groupSeparator))]
}

// runningIn returns the number of this entry's requests at the endpoints of a group. mu must be held.
func (st *State) runningIn(group string) int {
	n := 0
	for id, running := range st.ownRunning {
		if running > 0 && st.silences.groupName(id, st.endpoints[id].Service) == group {
			n += running
		}
	}
	return n
}

// stoodFor returns for how long the group of an endpoint has stood still, and zero if it goes on. mu must be
// held.
func (st *State) stoodFor(endpoint, service string, now time.Time) time.Duration {
	if len(st.stands.current) == 0 {
		return 0
	}
	c, standing := st.stands.current[st.silences.groupName(endpoint, service)]
	if !standing {
		return 0
	}
	return now.Sub(c.since)
}

// StoodFor returns for how long the group of an endpoint of a service has stood still, and zero if it goes on.
func (st *State) StoodFor(endpoint, service string, now time.Time) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.stoodFor(endpoint, service, now)
}

// StandingGroups returns the number of groups that stand still.
func (st *State) StandingGroups() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.stands.current)
}

func (r *Relay) logStand(c StandChange) {
	f := logrus.Fields{"group": c.Group, "running": c.Running}
	if !c.Stands {
		r.Log.WithFields(f).Info("group goes on")
		return
	}
	f["stood"], f["reported"] = c.Stood.Milliseconds(), c.Reported
	r.Log.WithFields(f).Warn("group stands still")
}
