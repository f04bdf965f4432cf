package settings

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
)

// Rank is an agent's part in a group of ranks. Without a group it is none.
type Rank struct {
	// Group is the group's name; it is empty when the endpoint is in none.
	Group string
	// Peers are the peer addresses of all agents of the group, in the same
	// order everywhere. The agent's own place in them is its endpoint's place
	// in the group.
	Peers []netip.AddrPort
	// Ranks is the number of ranks of the whole group, a multiple of the
	// number of peers; Slots is how many experts each rank holds a layer.
	Ranks, Slots int
	// Experts is the number of experts of a layer, Layers that of layers.
	Experts, Layers int
	// ExpertBytes is the size of one expert's weights in one layer and
	// StoreRate what the weight store gives the group, in bytes a second.
	ExpertBytes, StoreRate int
	// StageTime bounds how long the weights of one plan may load.
	StageTime time.Duration
	// PlanEvery is the time between two plans; zero never rebalances.
	PlanEvery time.Duration
	// Lookahead is how many steps the ranks may run without asking. They must
	// last for some Ticks.
	Lookahead int
	// Tick is the time between two looks at the ranks.
	Tick time.Duration
	// LeaseTime is how long the leader's lease lasts.
	LeaseTime time.Duration
	// SettleTime is how long after the agent's end an order that it gave may
	// still take effect at the ranks.
	SettleTime time.Duration
}

const (
	maxRanks         = 4096
	maxSlots         = 1024
	maxExperts       = 65_536
	maxLayers        = 1024
	maxBytes         = 1 << 50
	defaultStage     = 30 * time.Second
	maxStage         = time.Hour
	defaultPlan      = 5 * time.Minute
	maxPlan          = 24 * time.Hour
	defaultLookahead = 100
	maxLookahead     = 1_000_000
	defaultTick      = 20 * time.Millisecond
	minTick          = time.Millisecond
	maxTick          = time.Second
	defaultLease     = 5 * time.Second
	minLease         = time.Second
	maxLease         = time.Minute
	defaultSettle    = 2 * time.Second
	minSettle        = 10 * time.Millisecond
	maxSettle        = time.Minute
)

// readRank reads the section, which only agents in a group have.
func readRank(s *inifile.Section) Rank {
	if !s.Empty() {
		s.Require("group", "peers", "ranks", "slots", "experts", "layers", "expertBytes", "storeRate")
	}
	return Rank{
		Group:       readName(s, "group"),
		Peers:       s.Addresses("peers"),
		Ranks:       s.Int("ranks", 0, 1, maxRanks),
		Slots:       s.Int("slots", 0, 1, maxSlots),
		Experts:     s.Int("experts", 0, 1, maxExperts),
		Layers:      s.Int("layers", 0, 1, maxLayers),
		ExpertBytes: s.Int("expertBytes", 0, 1, maxBytes),
		StoreRate:   s.Int("storeRate", 0, 1, maxBytes),
		StageTime:   s.Duration("stageTime", defaultStage, time.Second, maxStage),
		PlanEvery:   s.Duration("planEvery", defaultPlan, 0, maxPlan),
		Lookahead:   s.Int("lookahead", defaultLookahead, 1, maxLookahead),
		Tick:        s.Duration("tick", defaultTick, minTick, maxTick),
		LeaseTime:   s.Duration("leaseTime", defaultLease, minLease, maxLease),
		SettleTime:  s.Duration("settleTime", defaultSettle, minSettle, maxSettle),
	}
}

// checkRank reports values that don't fit each other. A group whose members
// differ in their places would give two endpoints the same part of the map.
func (a *Agent) checkRank(s *inifile.Section) {
	r := &a.Rank
	if len(r.Peers) > 0 {
		a.checkPeers(s)
	}
	if n := len(r.Peers); n > 0 && r.Ranks%n != 0 {
		s.Reject(inifile.BadValue, "ranks", "a multiple of the number of peers")
	}
	if r.Ranks > 0 && r.Slots > 0 && r.Experts > r.Ranks*r.Slots {
		s.Reject(inifile.BadValue, "experts", "at most ranks times slots")
	}
	if r.Slots > r.Experts && r.Experts > 0 {
		s.Reject(inifile.BadValue, "slots", "at most the number of experts")
	}
	if r.Group != "" && a.Kind == Plain {
		s.Reject(inifile.BadValue, "group", "a group only beside an endpoint of kind engine")
	}
}

func (a *Agent) checkPeers(s *inifile.Section) {
	seen := map[netip.AddrPort]bool{}
	for _, p := range a.Rank.Peers {
		if seen[p] {
			s.Reject(inifile.BadValue, "peers", "each address once")
		}
		seen[p] = true
	}
	if !seen[a.PeerAddress] {
		s.Reject(inifile.BadValue, "peers", "a list that holds the agent's own peerAddress")
	}
}

// RankIndex returns the agent's place in its group's peers, or -1.
func (a *Agent) RankIndex() int { return slices.Index(a.Rank.Peers, a.PeerAddress) }
