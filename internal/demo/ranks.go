package demo

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

// stepTime is the time between two steps of the group of ranks.
const stepTime = 2 * time.Millisecond

// startRanks makes the engines one group of ranks when Ranks is set. The agents'
// addresses have to be known to all before the first of them starts, so free
// ones are found here.
func (s *System) startRanks() error {
	if s.Ranks == nil {
		return nil
	}
	n := len(s.DataCentres) * s.Engines
	for range n {
		addr, err := standin.FreeAddress()
		if err != nil {
			return eris.Wrap(err, "address of an agent in a group")
		}
		s.Ranks.Peers = append(s.Ranks.Peers, netip.MustParseAddrPort(addr))
	}
	s.Group.Endpoints, s.Group.StepTime = n, stepTime
	s.parts = append(s.parts, s.run(s.Group.Run))
	return nil
}

// handler returns what serves at an engine's address: the engine, and its ranks
// when it is in the group.
func (s *System) handler(name string, e *engine.Engine) http.Handler {
	h := http.Handler(e)
	if s.WrapEngine != nil {
		h = s.WrapEngine(e, h)
	}
	if s.Ranks == nil {
		return h
	}
	mux := http.NewServeMux()
	mux.Handle("/", h)
	s.Group.Engine(len(s.inGroup)).Handle(mux)
	s.inGroup = append(s.inGroup, name)
	return mux
}

// joinGroup gives an agent its place in the group when its endpoint has one.
func (s *System) joinGroup(a *settings.Agent) {
	if i := slices.Index(s.inGroup, a.EndpointName); i >= 0 {
		a.Rank = *s.Ranks
		a.PeerAddress = s.Ranks.Peers[i]
	}
}

// RestartRanks makes the ranks of an engine in the group lose their maps.
func (s *System) RestartRanks(endpoint string) {
	s.Group.Engine(slices.Index(s.inGroup, endpoint)).Restart()
}
