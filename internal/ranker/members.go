package ranker

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
)

// lapsedTime is how long the engine of an agent whose key has vanished is still
// asked directly. Agents are restarted within a second or two, and VMs replaced
// within some ten; an engine that is gone for good is another one's rank by then.
const lapsedTime = 15 * time.Second

// lapse is an agent whose key has vanished, and when that was seen.
type lapse struct {
	member fleet.Member
	at     time.Time
}

// lapse remembers an agent whose key has vanished, with mu held.
//
// Guard: an agent is restarted, or the store lets its lease lapse in an outage.
// Its engine goes on with the group and with what it holds or is armed for. A
// leader that forgot the engine with the agent would not see that rank, and so
// give no order to any: held steps stayed held for 5 s while agents were
// restarted in turn.
func (r *Ranker) lapse(name string, now time.Time) {
	if m, ok := r.agents[name]; ok {
		r.lapsed[name] = lapse{member: m, at: now}
	}
}

// noteVanished has the own key written again when it has vanished, with mu held.
func (r *Ranker) noteVanished() {
	_, lapsed := r.lapsed[r.Settings.Name]
	if lapsed {
		delete(r.lapsed, r.Settings.Name)
		signal(r.vanished)
	}
}

// members returns the agents of a group and the entries.
func (r *Ranker) members(group string) (agents, entries []fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.agents {
		if m.Group == group {
			agents = append(agents, m)
		}
	}
	for _, m := range r.entries {
		entries = append(entries, m)
	}
	return agents, entries
}

// lapsedMembers returns the agents of a group whose keys have vanished a short
// while ago.
func (r *Ranker) lapsedMembers(group string, now time.Time) []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fleet.Member
	for name, l := range r.lapsed {
		switch {
		case now.Sub(l.at) > lapsedTime:
			delete(r.lapsed, name)
		case l.member.Group == group:
			out = append(out, l.member)
		}
	}
	return out
}
