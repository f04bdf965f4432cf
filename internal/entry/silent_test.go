package entry

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

// frozenAgent reports once and then keeps its connection open without a word.
type frozenAgent struct {
	peerpb.UnimplementedAgentServer
}

func (frozenAgent) Watch(_ *peerpb.WatchRequest, stream grpc.ServerStreamingServer[peerpb.LoadReport]) error {
	if err := stream.Send(&peerpb.LoadReport{Endpoint: "a-engine-0", ConfigDigest: peer.ConfigDigest(&config.Store{})}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// An agent's VM freezes: its connections stay open and nothing comes. Without
// the timer the entry would take it for idle and go on sending it requests,
// each of which would wait for its deadline.
func TestFrozenAgentIsLeft(t *testing.T) {
	srv := &peer.Server{Addr: "127.0.0.1:0", Peer: peerpb.UnimplementedPeerServer{}, Agent: frozenAgent{}}
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
	conns := &peer.ConnPool{}
	defer conns.Close()
	heard := 0
	m := &members{
		conns: conns, store: &config.Store{}, clock: &timeline.Clock{}, now: time.Now, name: "a-entry-0",
		report: func(placement.Report, time.Time) { heard++ },
	}
	m.ring = &timeline.Ring{Clock: m.clock}
	waitCtx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	err := m.follow(waitCtx, &member{addr: srv.ListenAddr(), attempts: map[*job]context.CancelCauseFunc{}})
	if waitCtx.Err() != nil || heard == 0 || err == nil {
		t.Errorf("the stream of a frozen agent was followed to the end of the test, %d reports", heard)
	}
}
