package command

import (
	"context"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// holdServer answers like a relay with two orders in force.
type holdServer struct {
	partServer

	code  result.Code
	holds []*fleetpb.HoldsRequest
}

func (s *holdServer) Holds(_ context.Context, q *fleetpb.HoldsRequest) (*fleetpb.HoldsReply, error) {
	if q.GetOrder() != nil {
		s.holds = append(s.holds, q)
	}
	return &fleetpb.HoldsReply{Code: uint32(s.code), Detail: "because", Holds: []*fleetpb.HoldInForce{
		{Order: &fleetpb.HoldOrder{Target: &fleetpb.HoldTarget{Service: "quotes", Class: 4}, By: "op1"}, Revision: 77},
		{Order: &fleetpb.HoldOrder{Target: &fleetpb.HoldTarget{Account: "large"}}},
	}}, nil
}

func TestHolds(t *testing.T) {
	s := &holdServer{}
	addr := startEntryServer(t, s)
	t.Run("list", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "holds", "--peer", deadAddress(t), "--peer", addr), exitDone, "quotes", "4", "op1", "77", "large")
		assertOutcome(t, runLine(t, nil, "--json", "holds", "--peer", addr), exitDone, `"class": 4`, `"account": "large"`)
	})
	t.Run("orders", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "--by", "op2", "hold", "class", "--peer", addr, "quotes", "4"), exitDone, "accepted")
		assertOutcome(t, runLine(t, nil, "release", "account", "--peer", addr, "large"), exitDone, "accepted")
		first, last := s.holds[0], s.holds[len(s.holds)-1]
		if o := first.GetOrder(); len(s.holds) != 2 || first.GetRelease() || o.GetTarget().GetService() != "quotes" || o.GetTarget().GetClass() != 4 || o.GetBy() != "op2" {
			t.Errorf("first order %v", first)
		}
		if !last.GetRelease() || last.GetOrder().GetTarget().GetAccount() != "large" {
			t.Errorf("last order %v", last)
		}
	})
	t.Run("usage", func(t *testing.T) {
		for _, line := range [][]string{
			{"hold", "class", "--peer", addr, "quotes"},
			{"hold", "class", "--peer", addr, "quotes", "10"},
			{"hold", "class", "--peer", addr, "quotes", "x"},
			{"hold", "account", "--peer", addr, ""},
			{"hold", "account", "large"},
			{"release", "--peer", addr},
			{"holds"},
			{"holds", "--peer", addr, "extra"},
		} {
			assertOutcome(t, runLine(t, nil, line...), exitUsage)
		}
	})
}

// The store does not answer one relay, or its answer is lost. Guards against an operator who is told
// that nothing was changed when an order may be in force.
func TestHoldsTellWhatBecameOfAnOrder(t *testing.T) {
	refused, unknown, malformed := &holdServer{code: result.PlatformRefused}, &holdServer{code: result.WriteUnknown}, &holdServer{code: result.MalformedOrder}
	good := &holdServer{}
	addrs := map[*holdServer]string{}
	for _, s := range []*holdServer{refused, unknown, malformed, good} {
		addrs[s] = startEntryServer(t, s)
	}
	for name, c := range map[string]struct {
		asked []*holdServer
		exit  int
		want  string
	}{
		"refused":                {[]*holdServer{refused}, exitFailed, "4008"},
		"refused, then made":     {[]*holdServer{refused, good}, exitDone, "accepted"},
		"unknown, then made":     {[]*holdServer{unknown, good}, exitDone, "accepted"},
		"unknown, then not":      {[]*holdServer{unknown, refused}, exitFailed, "4007"},
		"malformed, not retried": {[]*holdServer{malformed, good}, exitFailed, "4012"},
	} {
		t.Run(name, func(t *testing.T) {
			line := []string{"hold", "account", "large"}
			for _, s := range c.asked {
				line = append(line, "--peer", addrs[s])
			}
			assertOutcome(t, runLine(t, nil, line...), c.exit, c.want)
		})
	}
	t.Run("nobody answers", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "--timeout", "1s", "hold", "account", "large", "--peer", deadAddress(t)), exitFailed, "4013")
	})
}
