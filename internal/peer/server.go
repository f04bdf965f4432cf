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

// maxStreams bounds the calls that one peer may have open at a time.
const maxStreams = 4096

// Server serves a process's messages. Set the exported fields before Run.
type Server struct {
	// Addr is where to listen, as IP:port.
	Addr string
	// TLS asks each peer for a certificate; nil means plain TCP.
	TLS *tls.Config
	// Peer answers what every process with presets answers; it may be nil.
	Peer peerpb.PeerServer
	// Agent is nil in processes that are not agents.
	Agent peerpb.AgentServer
	// Register adds further services; it may be nil.
	Register func(grpc.ServiceRegistrar)

	ln net.Listener
}

// Listen opens the server's address, so that Address is known before Run.
func (s *Server) Listen() error {
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return result.Newf(result.AddressInUse, "%s: %v", s.Addr, err)
	}
	s.ln = ln
	return nil
}

// Address returns the address listened on, as IP:port.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Run serves until ctx ends. Calls that are open then are cut; whoever stops a
// process gracefully ends ctx only after they are done.
func (s *Server) Run(ctx context.Context) error {
	if s.ln == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	g := grpc.NewServer(s.options()...)
	if s.Peer != nil {
		peerpb.RegisterPeerServer(g, s.Peer)
	}
	if s.Agent != nil {
		peerpb.RegisterAgentServer(g, s.Agent)
	}
	if s.Register != nil {
		s.Register(g)
	}
	done := make(chan error, 1)
	go func() { done <- g.Serve(s.ln) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	g.Stop()
	// A server that is stopped before it began to serve says so; it is no fault.
	if err := <-done; !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

func (s *Server) options() []grpc.ServerOption {
	opts := []grpc.ServerOption{
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(connWindowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingEvery, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	}
	if s.TLS != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(s.TLS)))
	}
	return opts
}
