package platform

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// KV is what the packages below this one need of the key-value service.
type KV interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (RangeReply, error)
	// List reads at most limit keys with the prefix, from key after on.
	List(ctx context.Context, prefix, after string, limit int) (RangeReply, error)
	// Txn does a transaction. It counts as one write.
	Txn(ctx context.Context, t Txn) (TxnReply, error)
	// Grant creates a lease that ends after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
}

// maxMessage bounds one message of the service: a value of MaxValue and room
// for keys, or a page of smaller ones.
const maxMessage = 8 << 20

// Reconnecting waits at least 50 ms, so that a service that is down is not
// flooded with connections, and at most a second, so that one that is up again
// is found within the seconds that an operator's change may take.
const (
	minReconnect = 50 * time.Millisecond
	maxReconnect = time.Second
)

// ErrNoAddrs says that a Client has no address.
var ErrNoAddrs = errors.New("platform: Client.Addrs is empty")

// ErrTimeout says that a Client has no time limit.
var ErrTimeout = errors.New("platform: Client.Timeout must be positive")

// Client is a client of the key-value service. Set the fields, then Run it;
// calls made before Run or after its end fail as not sent. A Client may be
// used by several goroutines.
type Client struct {
	// Addrs are the service's addresses, IP:port.
	Addrs []string
	// Timeout is the time limit of each call.
	Timeout time.Duration
	// WritesPerSecond and ReadsPerSecond bound the calls of this process; zero
	// means no bound.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Credentials is the TLS set-up; nil means plain text.
	Credentials credentials.TransportCredentials
	// Dial opens connections; nil means TCP. Tests cut connections here.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry

	once   sync.Once
	start  chan struct{}
	writes budget
	reads  budget
	counts counts

	mu    sync.Mutex // guards conns
	conns []*grpc.ClientConn
}

// Run connects and keeps the connections until ctx ends. It returns nil then,
// and an error at once when the fields can't be used.
func (c *Client) Run(ctx context.Context) error {
	if len(c.Addrs) == 0 {
		return ErrNoAddrs
	}
	if c.Timeout <= 0 {
		return ErrTimeout
	}
	c.init()
	conns, err := c.dial()
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.conns = conns
	c.mu.Unlock()
	close(c.start)
	<-ctx.Done()
	c.mu.Lock()
	c.conns = nil
	c.mu.Unlock()
	return closeAll(conns)
}

func (c *Client) init() {
	c.once.Do(func() {
		c.start = make(chan struct{})
		c.writes.perSecond = c.WritesPerSecond
		c.reads.perSecond = c.ReadsPerSecond
		c.counts = newCounts(c.Metrics)
	})
}

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

// Reachable reports whether a connection to the service is up.
func (c *Client) Reachable() bool {
	for _, conn := range c.current() {
		if conn.GetState() == connectivity.Ready {
			return true
		}
	}
	return false
}

func (c *Client) current() []*grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (RangeReply, error) {
	return c.read(ctx, &etcdpb.RangeRequest{Key: []byte(key)})
}

// List implements KV. The first page has after "".
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (RangeReply, error) {
	return c.read(ctx, ListProto(prefix, after, limit))
}

// ListProto returns the read of List as it goes over the wire.
func ListProto(prefix, after string, limit int) *etcdpb.RangeRequest {
	start := prefix
	if after != "" {
		start = after + "\x00"
	}
	return &etcdpb.RangeRequest{Key: []byte(start), RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

func (c *Client) read(ctx context.Context, r *etcdpb.RangeRequest) (RangeReply, error) {
	ctx, cancel := c.limit(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.reads)
	if err != nil {
		return RangeReply{}, err
	}
	c.counts.reads.Inc(1)
	p, err := etcdpb.NewKVClient(conn).Range(ctx, r)
	if err != nil {
		return RangeReply{}, ReadFailed(err)
	}
	return RangeReplyFrom(p), nil
}

// Txn implements KV.
func (c *Client) Txn(ctx context.Context, t Txn) (TxnReply, error) {
	ctx, cancel := c.limit(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.writes)
	if err != nil {
		return TxnReply{}, err
	}
	c.counts.writes.Inc(1)
	p, err := etcdpb.NewKVClient(conn).Txn(ctx, t.Proto())
	if err != nil {
		return TxnReply{}, c.writeFailed(err)
	}
	return TxnReplyFrom(p), nil
}

// PutIf writes the value when the conditions hold and reports whether it did.
func (c *Client) PutIf(ctx context.Context, p Put, cs ...Compare) (bool, error) {
	r, err := c.Txn(ctx, Txn{If: cs, Then: []Op{p}})
	return r.Succeeded(), err
}

func (c *Client) writeFailed(err error) error {
	err = WriteError(err)
	if IsUnknown(err) {
		c.counts.unknown.Inc(1)
	}
	return err
}
