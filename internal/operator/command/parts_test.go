package command

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
)

// partServer answers like a relay that holds something against one part.
type partServer struct {
	fleetpb.UnimplementedEntryServer

	orders []*fleetpb.PartOrder
}

func (s *partServer) Parts(_ context.Context, q *fleetpb.PartsRequest) (*fleetpb.PartsReply, error) {
	if q.GetOrder().GetPart() == "bad" {
		return nil, status.Error(codes.InvalidArgument, "no such part")
	}
	if q.GetOrder() != nil {
		s.orders = append(s.orders, q.GetOrder())
	}
	return &fleetpb.PartsReply{Cases: []*fleetpb.PartCase{{
		Part: "5c1e07a2", Refused: true, Asked: 2_000_001,
		Crashes: []*fleetpb.PartCrash{{Endpoint: "i-1", Account: "a", AgeMicros: 9_000_000}, {Endpoint: "i-2", Account: "a", AgeMicros: 4_000_000}},
	}}, RequestCases: []*fleetpb.PartCase{{Part: "0f0f0f0f", Crashes: []*fleetpb.PartCrash{{Endpoint: "i-3"}}}}}, nil
}

// startEntryServer returns the address of a relay's stand-in.
func startEntryServer(t *testing.T, s fleetpb.EntryServer) string {
	t.Helper()
	srv := &peer.Server{Addr: "127.0.0.1:0", Register: func(g grpc.ServiceRegistrar) { fleetpb.RegisterEntryServer(g, s) }}
	if err := srv.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return srv.ListenAddr()
}

func TestParts(t *testing.T) {
	s := &partServer{}
	addr := startEntryServer(t, s)
	t.Run("list", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "parts", "list", "--peer", deadAddress(t), "--peer", addr), exitDone, "5c1e07a2", "yes", "4s ago", "2s ago", "i-1,i-2")
	})
	t.Run("as JSON", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "--json", "parts", "list", "--peer", addr), exitDone, `"lastMillis": 4000`)
	})
	t.Run("refuse and lift", func(t *testing.T) {
		for _, order := range []string{"refuse", "lift"} {
			assertOutcome(t, runLine(t, nil, "parts", order, "--peer", addr, "5c1e07a2"), exitDone)
		}
		if len(s.orders) != 2 || !s.orders[0].GetRefuse() || s.orders[1].GetRefuse() {
			t.Errorf("orders %v", s.orders)
		}
	})
	t.Run("requests", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "parts", "list", "--request", "--peer", addr), exitDone, "0f0f0f0f", "i-3")
		assertOutcome(t, runLine(t, nil, "parts", "lift", "--request", "--peer", addr, "0f0f0f0f"), exitDone)
		if last := s.orders[len(s.orders)-1]; !last.GetRequest() || last.GetRefuse() {
			t.Errorf("order %v", last)
		}
	})
	t.Run("no part", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "parts", "lift", "--peer", addr, "NOT-HEX"), exitUsage, "hexadecimal")
	})
	t.Run("refused by the relay", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "parts", "lift", "--peer", addr, "bad"), exitFailed, "4012")
	})
	t.Run("nobody answers", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "--timeout", "1s", "parts", "list", "--peer", deadAddress(t)), exitFailed, "4013")
	})
	t.Run("no relay", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "parts", "list"), exitUsage, "peer")
	})
}
