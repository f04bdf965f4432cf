package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

const (
	// rankCallTimeout bounds each call to a peer, the ranks or the platform.
	rankCallTimeout = time.Second
	// planGain is the fall of the skew that is worth a new map, and planGoal
	// the distance from the lower bound that counts as good enough.
	planGain, planGoal = 0.01, 0.01
	// loadSlowdown is the part by which steps are taken to last longer while
	// weights load.
	loadSlowdown = 0.2
)

// newRanks returns the agent's part in its group of ranks.
//
// Load: each agent of a group looks at its ranks every EngineInterval, and the
// leader talks to all members each RefreshInterval and to the platform each
// third of the lease. Harm prevented: talk that grows with the group would take
// the platform's few hundred writes from claims. Limits: all times follow from
// LeaseTTL, so that an order is repeated often within a lease and members hear
// of their leader several times before they take it for gone.
func (a *Agent) newRanks() (*rank.Runner, error) {
	s := &a.Settings.Rank
	first, err := firstMap(s)
	if err != nil {
		return nil, err
	}
	incarnation := uint64(a.now().UnixNano())
	a.rankConns = peer.ConnPool{TLS: a.TLS.Client, Dial: a.Dial}
	return &rank.Runner{
		Group: s.Group, Index: a.Settings.RankIndex(), Peers: rankPeers(s), Incarnation: incarnation,
		Engine: &endpoint.Ranks{Client: a.client},
		Lease: &rank.KVLease{
			KV: a.platform, Group: s.Group, TTL: s.LeaseTime,
			Holder: fmt.Sprintf("%s/%d", a.Settings.Name, incarnation),
		},
		Initial: first, Limits: planLimits(s),
		PlanEvery: s.PlanEvery, PopularityWindow: s.PlanEvery,
		EngineInterval: s.Tick, Lookahead: uint64(s.Lookahead),
		ResendInterval: s.LeaseTime / 25, RefreshInterval: s.LeaseTime / 10, HoldTime: 2 * s.LeaseTime,
		LeaseTTL: s.LeaseTime, CallTimeout: rankCallTimeout, StartDelay: s.SettleTime,
		Connect: a.rankConns.Get,
		Metrics: a.Registry, Events: a.rankEvent, Log: a.Log,
	}, nil
}

// ranksPart returns the runner's part of Run and what ends it. The end waits
// until the runner has none of its own calls under way, so that it stops before
// the clients that it calls through.
func (a *Agent) ranksPart() (run func(context.Context) error, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	run = func(context.Context) error {
		defer close(ended)
		defer a.rankConns.Close()
		return a.ranks.Run(ctx)
	}
	return run, func() { cancel(); <-ended }
}

// rankStatus returns nil when the endpoint is in no group.
func (a *Agent) rankStatus() *peerpb.RankStatus {
	if a.ranks == nil {
		return nil
	}
	return &peerpb.RankStatus{Group: a.ranks.Group, MapVersion: a.ranks.VersionInForce(), Leads: a.ranks.Leading()}
}

// firstMap returns the map that a group begins with: experts in order, spread
// evenly over the ranks.
func firstMap(s *settings.Rank) (*expertmap.Map, error) {
	l, err := expertmap.NewContiguousLayer(expertmap.Shape{Ranks: s.Ranks, Slots: s.Slots, Experts: s.Experts})
	if err != nil {
		return nil, err
	}
	layers := make([]*expertmap.Layer, s.Layers)
	for i := range layers {
		layers[i] = l
	}
	return expertmap.NewMap(1, layers)
}

func planLimits(s *settings.Rank) expertmap.Limits {
	return expertmap.Limits{
		ExpertBytes: int64(s.ExpertBytes), StoreBandwidth: int64(s.StoreRate), MaxStagingTime: s.StageTime,
		MapLifetime: s.PlanEvery, LoadingSlowdown: loadSlowdown, MinGain: planGain, SkewTolerance: planGoal, PoissonLoads: true,
	}
}

func rankPeers(s *settings.Rank) []string {
	out := make([]string, len(s.Peers))
	for i, p := range s.Peers {
		out[i] = p.String()
	}
	return out
}

// rankEvent puts a change of the group's state into the time line.
func (a *Agent) rankEvent(e rank.Event) {
	kinds := map[string]timeline.Kind{
		rank.EventLead:     timeline.LeaseTaken,
		rank.EventDeposed:  timeline.LeaseLost,
		rank.EventStaged:   timeline.MapStaged,
		rank.EventInForce:  timeline.MapNamed,
		rank.EventJoined:   timeline.PeerJoined,
		rank.EventMapsLost: timeline.PeerLost,
	}
	detail := e.Kind + " " + a.Settings.Rank.Group
	a.ring.Add(kinds[e.Kind], "", a.Settings.EndpointName, detail, e.Number, a.now())
}
