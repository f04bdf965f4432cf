package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// streamWindowBytes is the flow control window of one stream. It bounds the memory
	// that a response to a slow caller takes.
	streamWindowBytes = 64 << 10
	// connWindowBytes is the flow control window of a connection, shared by all of its
	// streams.
	connWindowBytes = 4 << 20
	// maxMessageBytes is the largest message. It fits a request body with its headers
	// and parts of a configuration; a body and a part are limited to a megabyte each.
	maxMessageBytes = 5 << 20
	// maxReconnectDelay is the longest delay between attempts to reconnect to a lost
	// peer. A data centre that recovers is reconnected within about this time.
	maxReconnectDelay = time.Second
	// keepaliveInterval and keepaliveTimeout detect a peer whose VM vanished without
	// closing its connections. The heartbeats of Agent.Watch detect it sooner.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 5 * time.Second
)

// ConnPool maintains one connection to each peer. Set the exported fields before the
// first call. A ConnPool is safe for concurrent use.
type ConnPool struct {
	// TLS is the client configuration for mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Dial opens connections; nil means TCP. Tests use it to cut connections.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Traffic, if set, counts the messages.
	Traffic *Traffic

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// Get returns the connection to the peer at addr, which is IP:port, and creates it if
// there is none. It does not wait until the connection is ready. It returns an error
// for an invalid address and after Close.
func (p *ConnPool) Get(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, eris.New("connections are closed")
	}
	if cc, ok := p.conns[addr]; ok {
		return cc, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+addr, p.options()...)
	if err != nil {
		return nil, eris.Wrap(err, "peer "+addr)
	}
	if p.conns == nil {
		p.conns = map[string]*grpc.ClientConn{}
	}
	p.conns[addr] = cc
	return cc, nil
}

// maxHeaderBytes bounds the headers and trailers of a reply. grpc-go allows 16 MB.
const maxHeaderBytes = 64 << 10

func (p *ConnPool) options() []grpc.DialOption {
	creds := insecure.NewCredentials()
	if p.TLS != nil {
		creds = credentials.NewTLS(p.TLS)
	}
	reconnect := backoff.DefaultConfig
	reconnect.BaseDelay = 50 * time.Millisecond
	reconnect.MaxDelay = maxReconnectDelay
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: maxReconnectDelay}),
		grpc.WithInitialWindowSize(streamWindowBytes),
		grpc.WithInitialConnWindowSize(connWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithDisableServiceConfig(),
	}
	if p.Traffic != nil {
		opts = append(opts, grpc.WithStatsHandler(p.Traffic))
	}
	if p.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(p.Dial))
	}
	return opts
}

// Ready reports whether the connection to the peer at addr is ready. It begins to set one up if
// there is none.
func (p *ConnPool) Ready(addr string) bool {
	cc, err := p.Get(addr)
	if err != nil {
		return false
	}
	cc.Connect()
	return cc.GetState() == connectivity.Ready
}

// Remove closes the connection to a peer that has left, if there is one.
func (p *ConnPool) Remove(addr string) {
	p.mu.Lock()
	cc := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if cc != nil {
		_ = cc.Close()
	}
}

// RemoveUnresponsive closes the connection to a peer that did not respond in time, if
// it is ready: the peer may never respond on it again while a new connection would
// work.
//
// A connection that is still being set up is kept. When a hundred agents start at
// once and connect to each other over links of some Mbit/s, each call that times out
// during the setup would otherwise restart it, and no connection would ever become
// ready.
func (p *ConnPool) RemoveUnresponsive(addr string) {
	p.mu.Lock()
	cc := p.conns[addr]
	p.mu.Unlock()
	if cc != nil && cc.GetState() == connectivity.Ready {
		p.Remove(addr)
	}
}

// Close closes all connections. Get then returns an error.
func (p *ConnPool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.closed = true
	p.mu.Unlock()
	for _, cc := range conns {
		_ = cc.Close()
	}
}
