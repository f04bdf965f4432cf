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
	// windowBytes is how much of one answer may be on its way between two
	// processes. It bounds the memory that a caller who reads slowly takes.
	windowBytes = 64 << 10
	// connWindowBytes bounds all answers on one connection together.
	connWindowBytes = 4 << 20
	// maxMessageBytes bounds one message: a request body with its headers, or
	// a part of a configuration, both of which have limits of a megabyte.
	maxMessageBytes = 5 << 20
	// reconnectMax bounds the wait before a lost peer is tried again, so that
	// a data centre that returns is found within about this time.
	reconnectMax = time.Second
	// pingEvery and pingTimeout find a peer whose VM vanished without closing
	// its connections. Heartbeats of Watch find it sooner.
	pingEvery   = 10 * time.Second
	pingTimeout = 5 * time.Second
)

// Conns holds one connection to each peer. Set the exported fields before the
// first use. It may be used by several goroutines.
type Conns struct {
	// TLS is the client's side of mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Dial opens connections; nil means TCP. Tests cut connections here.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// Get returns the connection to the peer at addr, which is IP:port. It does
// not wait until the peer answers.
func (c *Conns) Get(addr string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, eris.New("connections are closed")
	}
	if cc, ok := c.conns[addr]; ok {
		return cc, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+addr, c.options()...)
	if err != nil {
		return nil, eris.Wrap(err, "peer "+addr)
	}
	if c.conns == nil {
		c.conns = map[string]*grpc.ClientConn{}
	}
	c.conns[addr] = cc
	return cc, nil
}

func (c *Conns) options() []grpc.DialOption {
	creds := insecure.NewCredentials()
	if c.TLS != nil {
		creds = credentials.NewTLS(c.TLS)
	}
	bc := backoff.DefaultConfig
	bc.BaseDelay = 50 * time.Millisecond
	bc.MaxDelay = reconnectMax
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bc, MinConnectTimeout: reconnectMax}),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(connWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingTimeout}),
		grpc.WithDisableServiceConfig(),
	}
	if c.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(c.Dial))
	}
	return opts
}

// Drop closes the connection to a peer that has left.
func (c *Conns) Drop(addr string) {
	c.mu.Lock()
	cc := c.conns[addr]
	delete(c.conns, addr)
	c.mu.Unlock()
	if cc != nil {
		_ = cc.Close()
	}
}

// DropSilent closes the connection to a peer that did not answer in time, if there
// is one: it may have gone silent for good while a new one works. One that is still
// being opened stays.
//
// Load: a hundred agents that start at once and connect to each other over lines of
// some Mbit/s. Harm prevented: each call that ends while its connection is set up
// has the next one begin anew, and none is ever set up.
func (c *Conns) DropSilent(addr string) {
	c.mu.Lock()
	cc := c.conns[addr]
	c.mu.Unlock()
	if cc != nil && cc.GetState() == connectivity.Ready {
		c.Drop(addr)
	}
}

// Close closes all connections. Get fails from then on.
func (c *Conns) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = nil
	c.closed = true
	c.mu.Unlock()
	for _, cc := range conns {
		_ = cc.Close()
	}
}
