package silence

import "time"

const (
	// minAnswering is how many endpoints of a group must have begun answers that pause together, for the
	// pause to tell something of the group.
	minAnswering = 2
	// maxStanding is how long a group that nobody uses is remembered as one that stands.
	maxStanding = 30 * time.Second
)

// activity is what was noticed of a group's endpoints since the last call of Tracker.Advance.
type activity struct {
	// open is the number of requests that they have, and answering the number of endpoints with answers that
	// have begun.
	open, answering int
	// progressed means that a part of an answer arrived from one of them.
	progressed bool
}

// activities returns what was noticed of each group.
func (t *Tracker) activities() map[string]activity {
	out := map[string]activity{}
	for _, e := range t.endpoints {
		a := out[e.group]
		a.open += e.open
		a.progressed = a.progressed || e.progressed
		if e.begun > 0 {
			a.answering++
		}
		out[e.group] = a
	}
	return out
}

// advanceGroups lets the standing times of groups grow by step. One that has begun grows until a part of an
// answer arrives from the group, also while the observer has no requests there.
func (t *Tracker) advanceGroups(step time.Duration) {
	noticed := t.activities()
	for group, a := range noticed {
		if !a.progressed && a.answering >= minAnswering && t.standing[group] == 0 {
			t.beginStanding(group)
		}
	}
	for group, d := range t.standing {
		a := noticed[group]
		if a.progressed || a.open == 0 && d > maxStanding {
			delete(t.standing, group)
			continue
		}
		t.standing[group] += step
	}
}

// beginStanding has the standing time of a group grow from now on.
func (t *Tracker) beginStanding(group string) {
	if t.standing == nil {
		t.standing = map[string]time.Duration{}
	}
	t.standing[group] = 0
}

// ResetStanding ends the standing time of a group that goes on according to someone else.
func (t *Tracker) ResetStanding(group string) { delete(t.standing, group) }

// Standing returns for how long no part of an answer has come from a group, several endpoints of which had begun
// answers. It is an upper bound of the time for which the group has stood: an answer usually pauses between
// two parts.
func (t *Tracker) Standing(group string) time.Duration { return t.standing[group] }

// StandingGroups returns the groups from which no part of an answer had come when Advance was last called.
func (t *Tracker) StandingGroups() []string {
	groups := make([]string, 0, len(t.standing))
	for group := range t.standing {
		groups = append(groups, group)
	}
	return groups
}
