package ranker

import (
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
)

// Guards against a successor that lacks a rank: the leader lost its lease less than a second after an
// agent's key had vanished, and had not named that agent yet.
func TestLapsedAgentIsNamedInTheNextPoll(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Ranker{agents: map[string]fleet.Member{}, lapsed: map[string]lapsedMember{}}
	leader := &term{ranker: r, group: "g"}
	lapse := func(name string) {
		r.agents[name] = fleet.Member{Kind: fleet.Agent, Name: name, Group: "g", Endpoint: "10.0.0.1:1"}
		r.markLapsed(name, now)
	}
	want := func(names ...string) {
		t.Helper()
		var got []string
		for _, target := range leader.lapsedToTell(now) {
			got = append(got, target.GetAgent())
		}
		if !slices.Equal(got, names) {
			t.Errorf("the poll at %v names %v, want %v", now.Unix(), got, names)
		}
	}
	lapse("a")
	want("a")
	now = now.Add(pollInterval)
	want()
	lapse("b")
	want("b")
	now = now.Add(lapsedTellInterval)
	want("a", "b")
}
