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

// Reconnecting waits at least 50 ms, so that a service that is down is not
// flooded with connections, and at most a second, so that one that is up again
// is found within the seconds that an operator's change may take.
const (
	minReconnect = 50 * time.Millisecond
	maxReconnect = time.Second
)

// A connection that carries a watch is tried every pingPeriod, which is the
// least that the service takes, and given up when it does not answer within
// pingTimeout. Without it a partition that drops packets leaves a watch open
// that tells nothing, and calls are sent into it until each times out with an
// unknown outcome.
const (
	pingPeriod  = 10 * time.Second
	pingTimeout = 3 * time.Second
)

func (c *Client) dial() ([]*grpc.ClientConn, error) {
	creds := c.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	bo := backoff.Config{BaseDelay: minReconnect, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnect}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bo, MinConnectTimeout: maxReconnect}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingPeriod, Timeout: pingTimeout}),
	}
	if c.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(c.Dial))
	}
	var conns []*grpc.ClientConn
	for _, a := range c.Addrs {
		conn, err := grpc.NewClient("passthrough:///"+a, opts...)
		if err != nil {
			return nil, errors.Join(eris.Wrap(err, "platform address "+a), closeAll(conns))
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

// ready returns the first connection that is up, from the preferred one on.
func (c *Client) ready() (*grpc.ClientConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.conns {
		conn := c.conns[(c.prefer+i)%len(c.conns)]
		if conn.GetState() == connectivity.Ready {
			return conn, true
		}
	}
	return nil, false
}

// avoid prefers the next address after a call over conn got no answer. Without
// it a member of the service that accepts connections and answers nothing would
// hold up all calls while its fellows are well.
func (c *Client) avoid(conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.conns) > 0 && c.conns[c.prefer] == conn {
		c.prefer = (c.prefer + 1) % len(c.conns)
	}
}
