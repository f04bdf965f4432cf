package demo

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

const rankExperts = 12

func groupSettings() *settings.Rank {
	return &settings.Rank{
		Group: "chat", Ranks: 6, Slots: 3, Experts: rankExperts, Layers: 1,
		ExpertBytes: 1, StoreRate: 100_000, StageTime: time.Second,
		PlanEvery: 100 * time.Millisecond, Lookahead: 100, Tick: 5 * time.Millisecond,
		LeaseTime: time.Second, SettleTime: 100 * time.Millisecond,
	}
}

func startGroup(t *testing.T) *System {
	t.Helper()
	s := &System{
		DataCentres: []string{"a"}, Entries: 1, Engines: 3,
		EngineSettings: engine.Settings{Capacity: 16, ColdBound: 4, WarmAfter: 4, TokenMicros: 200},
		Preset:         Preset("ordinary", 1),
		Ranks:          groupSettings(),
	}
	s.Group.SetLoad(hotExpert(0))
	start(t, s)
	return s
}

// hotExpert returns the tokens a step when one expert is popular.
func hotExpert(hot int) [][]float64 {
	load := make([]float64, rankExperts)
	for e := range load {
		load[e] = 1000
	}
	load[hot] = 7000
	return [][]float64{load}
}

func rankCount(a *Agent, name string) int64 {
	return metrics.GetOrRegisterCounter(name, a.Process.Registry).Count()
}

func rankVersion(a *Agent) int64 {
	return metrics.GetOrRegisterGauge("rank.version", a.Process.Registry).Value()
}

// leads reports whether the agent leads its group.
func leads(a *Agent) bool { return rankCount(a, "rank.leads") > rankCount(a, "rank.deposed") }

// leader waits for an agent that leads and is not the one given.
func leader(t *testing.T, s *System, not *Agent) *Agent {
	t.Helper()
	var found *Agent
	eventually(t, "a leader", func() bool {
		for _, a := range s.Agents() {
			if a != not && leads(a) {
				found = a
				return true
			}
		}
		return false
	})
	return found
}

// assertNewMap makes an expert popular and waits until one newer map is in force
// at all agents.
func assertNewMap(t *testing.T, s *System, hot int) {
	t.Helper()
	before := rankVersion(leader(t, s, nil))
	s.Group.SetLoad(hotExpert(hot))
	eventually(t, fmt.Sprintf("a map for expert %d after version %d", hot, before), func() bool {
		first := rankVersion(s.Agents()[0])
		for _, a := range s.Agents() {
			if rankVersion(a) != first {
				return false
			}
		}
		return first > before
	})
}

func assertSteps(t *testing.T, s *System, n uint64) {
	t.Helper()
	from := s.Group.Steps()
	eventually(t, fmt.Sprintf("%d steps after %d", n, from), func() bool { return s.Group.Steps() >= from+n })
}

func assertOneMapAStep(t *testing.T, s *System) {
	t.Helper()
	for _, f := range s.Group.Faults() {
		t.Error(f)
	}
}

// TestGroupOfRanks: callers would get garbled answers if ranks of a group used
// two maps in a step, and wait if the group stood still. Popularity drifts, the
// platform goes down, the leader is cut off from it, an engine restarts and an
// agent's VM dies, while the engines ignore fencing tokens; after each the group
// steps on and gets a new map.
func TestGroupOfRanks(t *testing.T) {
	s := startGroup(t)
	assertSteps(t, s, 100)
	cases := []struct {
		name  string
		fault func(t *testing.T)
	}{
		{name: "popularity drifts", fault: func(*testing.T) {}},
		{name: "platform down", fault: func(t *testing.T) {
			s.KV.SetDown(true)
			assertSteps(t, s, 1000)
			s.KV.SetDown(false)
		}},
		{name: "leader cut off from the platform", fault: func(t *testing.T) {
			old := leader(t, s, nil)
			old.host.Cut(Platform)
			leader(t, s, old)
			old.host.Cut("")
		}},
		{name: "engine restarts", fault: func(t *testing.T) {
			a := s.agent("a-engine-1")
			losses, joins := rankCount(a, "rank.losses"), rankCount(a, "rank.joins")
			s.RestartRanks(a.Name)
			eventually(t, "the loss of its maps and the group's told anew", func() bool {
				return rankCount(a, "rank.losses") > losses && rankCount(a, "rank.joins") > joins
			})
		}},
		{name: "leader's VM dies", fault: func(t *testing.T) {
			old := leader(t, s, nil)
			s.KillAgent(old)
			leader(t, s, old)
			if err := old.Stop(); err != nil {
				t.Fatal(err)
			}
			if err := s.ReplaceAgent(old); err != nil {
				t.Fatal(err)
			}
		}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.fault(t)
			assertNewMap(t, s, i+1)
			assertSteps(t, s, 200)
			assertOneMapAStep(t, s)
		})
	}
}

// TestStatusShowsTheGroup: an operator sees who leads a group and whether all
// its endpoints use one map.
func TestStatusShowsTheGroup(t *testing.T) {
	s := startGroup(t)
	assertNewMap(t, s, 4)
	eventually(t, "one leader and one map in the status", func() bool {
		leaders, lines, maps := 0, 0, map[string]int{}
		for _, line := range strings.Split(order(t, s, "status"), "\n") {
			f := strings.Fields(line)
			if len(f) < 4 || f[0] != "chat" {
				continue
			}
			lines++
			maps[f[2]]++
			if f[3] == "yes" {
				leaders++
			}
		}
		return leaders == 1 && len(maps) == 1 && maps["0"] == 0 && lines == len(s.Agents())
	})
}

// TestTimeLineOfAGroup: an operator who looks for why steps got slower finds
// who led and which maps came into force, each with its endpoint and group.
func TestTimeLineOfAGroup(t *testing.T) {
	s := startGroup(t)
	assertSteps(t, s, 100)
	assertNewMap(t, s, 4)
	s.RestartRanks("a-engine-2")
	for _, kind := range []string{"leaseTaken", "mapStaged", "mapNamed", "peerLost"} {
		t.Run(kind, func(t *testing.T) {
			eventually(t, kind, func() bool {
				out := order(t, s, "timeline", "--kind="+kind)
				return strings.Contains(out, "a-engine-") && strings.Contains(out, " chat")
			})
		})
	}
}
