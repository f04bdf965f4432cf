package platform

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// minReconnectDelay and maxReconnectDelay bound the backoff between connection
// attempts. The minimum keeps processes from flooding an unavailable service with
// connections. The maximum bounds how late a recovered service is noticed, since an
// operator's change must take effect within seconds.
const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
)

// maxHeaderBytes bounds the headers and trailers of a reply. grpc-go allows 16 MB.
const maxHeaderBytes = 64 << 10

// A connection that carries a watch is probed every keepaliveInterval, the shortest
// interval that the service allows, and closed if no reply arrives within
// keepaliveTimeout. Otherwise, if a network partition drops packets, a watch stays
// open without receiving anything, and each call sent over the connection times out
// with an unknown outcome.
const (
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
)

func (c *Client) dial() ([]*grpc.ClientConn, error) {
	creds := c.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	reconnect := backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: maxReconnectDelay}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}
	if c.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(c.Dial))
	}
	var conns []*grpc.ClientConn
	for _, addr := range c.Addrs {
		conn, err := grpc.NewClient("passthrough:///"+addr, opts...)
		if err != nil {
			return nil, errors.Join(eris.Wrap(err, "platform address "+addr), closeAll(conns))
		}
		conn.Connect()
		conns = append(conns, conn)
	}
	return conns, nil
}

func closeAll(conns []*grpc.ClientConn) error {
	var errs []error
	for _, conn := range conns {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}

// readyConn returns the first ready connection, starting at the preferred one, and
// false if there is none.
func (c *Client) readyConn() (*grpc.ClientConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.conns {
		conn := c.conns[(c.preferred+i)%len(c.conns)]
		if conn.GetState() == connectivity.Ready {
			return conn, true
		}
	}
	return nil, false
}

// preferNextAfter makes the next address the preferred one after a call over conn
// got no reply. Otherwise a member of the service that accepts connections but
// never responds would block all calls while other members are healthy.
func (c *Client) preferNextAfter(conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.conns) > 0 && c.conns[c.preferred] == conn {
		c.preferred = (c.preferred + 1) % len(c.conns)
	}
}
