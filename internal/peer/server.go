package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxStreams is the largest number of concurrent calls on one connection.
const maxStreams = 4096

// Server is a process's gRPC server. Set the exported fields before calling Run.
type Server struct {
	// Addr is the address to listen on, as IP:port.
	Addr string
	// TLS is the server configuration for mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Peer is the service of all processes that use presets; it may be nil.
	Peer peerpb.PeerServer
	// Agent is the service of agents; it is nil in other processes.
	Agent peerpb.AgentServer
	// Register registers further services; it may be nil.
	Register func(grpc.ServiceRegistrar)
	// Traffic, if set, counts the messages.
	Traffic *Traffic

	ln   net.Listener
	grpc *grpc.Server
}

// Listen opens the listener, so that ListenAddr can be used before Run. It returns a
// result.AddressInUse error if it can't listen on Addr.
func (s *Server) Listen() error {
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return result.Newf(result.AddressInUse, "%s: %v", s.Addr, err)
	}
	s.ln = ln
	s.grpc = grpc.NewServer(s.options()...)
	if s.Peer != nil {
		peerpb.RegisterPeerServer(s.grpc, s.Peer)
	}
	if s.Agent != nil {
		peerpb.RegisterAgentServer(s.grpc, s.Agent)
	}
	if s.Register != nil {
		s.Register(s.grpc)
	}
	return nil
}

// Drain refuses new calls, waits until the open ones have ended and their last messages
// have been sent, and makes Run return. It aborts the calls that are still open when ctx
// is done. Listen must have succeeded before.
func (s *Server) Drain(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.grpc.Stop)
	defer stop()
	s.grpc.GracefulStop()
}

// ListenAddr returns the address of the listener, as IP:port. Listen must have
// succeeded before.
func (s *Server) ListenAddr() string { return s.ln.Addr().String() }

// Run serves until ctx ends or Drain returns, after calling Listen if that has not been
// done. When ctx ends, Run aborts open calls.
func (s *Server) Run(ctx context.Context) error {
	if s.ln == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	done := make(chan error, 1)
	go func() { done <- s.grpc.Serve(s.ln) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	s.grpc.Stop()
	// Serve returns ErrServerStopped if the server was stopped before it began to
	// serve. This is not an error.
	if err := <-done; !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

func (s *Server) options() []grpc.ServerOption {
	opts := []grpc.ServerOption{
		grpc.InitialWindowSize(streamWindowBytes),
		grpc.InitialConnWindowSize(connWindowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	}
	if s.Traffic != nil {
		opts = append(opts, grpc.StatsHandler(s.Traffic))
	}
	if s.TLS != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(s.TLS)))
	}
	return opts
}
