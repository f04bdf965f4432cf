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

// KV is the part of the key-value service that the packages in subdirectories of
// this one use.
type KV interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (RangeReply, error)
	// List reads at most limit keys with the prefix, in order of keys. It starts
	// with the first key that is greater than after, or with the first one if
	// after is empty.
	List(ctx context.Context, prefix, after string, limit int) (RangeReply, error)
	// Txn runs a transaction. It counts as one write.
	Txn(ctx context.Context, t Txn) (TxnReply, error)
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
}

// maxMessageBytes is the size limit of a message. It fits a value of MaxValue bytes
// with its key, or a page of smaller values.
const maxMessageBytes = 8 << 20

// ErrNoAddresses is returned by Client.Run if Client.Addrs is empty.
var ErrNoAddresses = errors.New("platform: Client.Addrs is empty")

// ErrInvalidTimeout is returned by Client.Run if Client.Timeout is not positive.
var ErrInvalidTimeout = errors.New("platform: Client.Timeout must be positive")

// Client is a client for the key-value service. Set the exported fields before
// calling Run. Calls made before Run has started or after it has returned fail
// with a NotSentError. A Client is safe for concurrent use.
type Client struct {
	// Addrs are the addresses of the service's members, as IP:port.
	Addrs []string
	// Timeout bounds each call.
	Timeout time.Duration
	// WritesPerSecond and ReadsPerSecond limit the call rates of this process; zero
	// means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Credentials is the TLS configuration; nil means plaintext.
	Credentials credentials.TransportCredentials
	// Dial opens connections; nil means TCP. Tests use it to cut connections.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry

	once     sync.Once
	started  chan struct{}
	writes   RateLimiter
	reads    RateLimiter
	counters counters

	mu        sync.Mutex // guards the fields below
	conns     []*grpc.ClientConn
	preferred int // index in conns of the connection to try first
}

// Run connects to the service and maintains the connections until ctx ends. It
// then returns nil, unless closing a connection fails. It returns ErrNoAddresses,
// ErrInvalidTimeout or an error for an invalid address at once if the fields are
// invalid.
func (c *Client) Run(ctx context.Context) error {
	if len(c.Addrs) == 0 {
		return ErrNoAddresses
	}
	if c.Timeout <= 0 {
		return ErrInvalidTimeout
	}
	c.init()
	conns, err := c.dial()
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.conns = conns
	c.mu.Unlock()
	close(c.started)
	<-ctx.Done()
	c.mu.Lock()
	c.conns = nil
	c.mu.Unlock()
	return closeAll(conns)
}

func (c *Client) init() {
	c.once.Do(func() {
		c.started = make(chan struct{})
		c.writes.PerSecond = c.WritesPerSecond
		c.reads.PerSecond = c.ReadsPerSecond
		c.counters = newCounters(c.Metrics)
	})
}

// Reachable reports whether a connection to the service is ready. It also
// reconnects the ones that were lost: otherwise a process that makes no calls would
// report the service as unreachable after an outage until its next call.
func (c *Client) Reachable() bool {
	reachable := false
	for _, conn := range c.connections() {
		switch conn.GetState() {
		case connectivity.Ready:
			reachable = true
		case connectivity.Idle:
			conn.Connect()
		}
	}
	return reachable
}

func (c *Client) connections() []*grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (RangeReply, error) {
	return c.read(ctx, &etcdpb.RangeRequest{Key: []byte(key)})
}

// List implements KV.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (RangeReply, error) {
	return c.read(ctx, ListRequest(prefix, after, limit))
}

// ListRequest returns the request message of List.
func ListRequest(prefix, after string, limit int) *etcdpb.RangeRequest {
	start := prefix
	if after != "" {
		start = after + "\x00"
	}
	return &etcdpb.RangeRequest{Key: []byte(start), RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
}

// prefixEnd returns the first key that sorts after all keys with the prefix. If
// there is no such key, it returns a zero byte, which the service takes as a range
// without an end.
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

func (c *Client) read(ctx context.Context, req *etcdpb.RangeRequest) (RangeReply, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.reads)
	if err != nil {
		return RangeReply{}, err
	}
	c.counters.reads.Inc(1)
	resp, err := etcdpb.NewKVClient(conn).Range(ctx, req)
	if err != nil {
		c.preferNextAfter(conn)
		return RangeReply{}, ClassifyReadError(err)
	}
	return RangeReplyFrom(resp), nil
}

// Txn implements KV.
func (c *Client) Txn(ctx context.Context, t Txn) (TxnReply, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.writes)
	if err != nil {
		return TxnReply{}, err
	}
	c.counters.writes.Inc(1)
	resp, err := etcdpb.NewKVClient(conn).Txn(ctx, t.Request())
	if err != nil {
		return TxnReply{}, c.handleWriteError(conn, err)
	}
	return TxnReplyFrom(resp), nil
}

// PutIf writes a value if all conditions hold, and reports whether it was
// written.
func (c *Client) PutIf(ctx context.Context, p Put, cs ...Compare) (bool, error) {
	r, err := c.Txn(ctx, Txn{If: cs, Then: []Op{p}})
	return r.Succeeded(), err
}

func (c *Client) handleWriteError(conn *grpc.ClientConn, err error) error {
	err = ClassifyWriteError(err)
	if IsUnknown(err) {
		c.counters.outcomeUnknown.Inc(1)
		c.preferNextAfter(conn)
	}
	return err
}
