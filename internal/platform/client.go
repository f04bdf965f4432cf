package platform

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"

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
	writes Budget
	reads  Budget
	counts counts

	mu     sync.Mutex // guards all below
	conns  []*grpc.ClientConn
	prefer int // index of the connection to use first
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
		c.writes.PerSecond = c.WritesPerSecond
		c.reads.PerSecond = c.ReadsPerSecond
		c.counts = newCounts(c.Metrics)
	})
}

// Reachable reports whether a connection to the service is up. It begins to
// open those that were lost: a process that has no calls to make would else tell
// operators after an outage that it can't reach the service, and learn nothing
// better until its next call.
func (c *Client) Reachable() bool {
	up := false
	for _, conn := range c.current() {
		switch conn.GetState() {
		case connectivity.Ready:
			up = true
		case connectivity.Idle:
			conn.Connect()
		}
	}
	return up
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
		c.avoid(conn)
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
		return TxnReply{}, c.writeFailed(conn, err)
	}
	return TxnReplyFrom(p), nil
}

// PutIf writes the value when the conditions hold and reports whether it did.
func (c *Client) PutIf(ctx context.Context, p Put, cs ...Compare) (bool, error) {
	r, err := c.Txn(ctx, Txn{If: cs, Then: []Op{p}})
	return r.Succeeded(), err
}

func (c *Client) writeFailed(conn *grpc.ClientConn, err error) error {
	err = WriteError(err)
	if IsUnknown(err) {
		c.counts.unknown.Inc(1)
		c.avoid(conn)
	}
	return err
}
