package direct

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds connecting. Endpoints accept within 1 or 2 ms; a longer
	// wait means that the endpoint is down or unreachable, and another endpoint
	// can still answer the request within its latency target of 300 ms.
	DialTimeout = 250 * time.Millisecond
	// userTimeout (TCP_USER_TIMEOUT) bounds how long sent data may stay
	// unacknowledged. Without it, a connection to an unreachable peer hangs for
	// minutes.
	userTimeout = 2 * time.Second
	// TCP keep-alive detects a dead peer while a response is awaited, within
	// keepAliveIdle + keepAliveCount * keepAliveInterval.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// sends no Keep-Alive timeout. If it sends one, the connection is dropped
	// idleTimeoutMargin before it: if the endpoint closes a connection while a
	// request is in flight, the outcome of the request is unknown.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = time.Second
	// readBufferSize, in bytes, holds a response header or several events of a
	// stream.
	readBufferSize = 4 << 10
	// receiveBufferSize, in bytes, is what the kernel holds of a response while its
	// caller reads slowly. The kernel would enlarge it to megabytes.
	receiveBufferSize = 64 << 10
)

// conn is a connection. It is owned either by the pool or by one Response.
type conn struct {
	net.Conn
	guard *guard
	// br reads from guard.
	br   *bufio.Reader
	addr string
	// serial numbers the client's connections, and requests counts the requests that were answered
	// on this one.
	serial   int64
	requests int
	recent   recent
	// expires is when the pool closes the connection if it is still idle.
	expires time.Time
	// stallTimeout is how long the endpoint may read nothing of a request.
	stallTimeout time.Duration
}

// abort closes the connection with a TCP reset.
//
// After an ordinary close the kernel still delivers data that is queued for an
// endpoint whose VM is frozen or unreachable. When the VM recovers, the endpoint
// would run a request whose caller has gone. A reset discards undelivered data.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.Conn.Close()
}

// acquire returns a pooled connection that is still open and may carry req, or dials a new one.
func (c *Client) acquire(ctx context.Context, addr string, req *Request) (*conn, error) {
	for cn := c.takeIdle(addr, req); cn != nil; cn = c.takeIdle(addr, req) {
		if c.isIdle(cn) && (!req.AvoidExpiring || time.Until(cn.expires) > idleTimeoutMargin) {
			return cn, nil
		}
		_ = cn.Conn.Close()
	}
	return c.dial(ctx, addr)
}

// dial opens a connection to addr.
func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	d := net.Dialer{
		Control:         setSocketOptions,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dials++
	serial := c.dials
	c.mu.Unlock()
	g := &guard{Conn: nc}
	return &conn{Conn: nc, guard: g, serial: serial, br: bufio.NewReaderSize(g, readBufferSize), addr: addr, stallTimeout: cmp.Or(c.StallTimeout, bodyStallTimeout)}, nil
}

func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferSize),
		)
	})
	return errors.Join(err, optErr)
}

// maxPeek is how many bytes are looked at that arrived while no response was due.
const maxPeek = 256

// isIdle reports whether cn is open and has no data to read. Data that arrives
// on an idle connection belongs to no request, so the connection can't be reused.
func (c *Client) isIdle(cn *conn) bool {
	if n := cn.br.Buffered(); n > 0 {
		c.reportStray(cn, Stray{Bytes: n})
		return false
	}
	n, err := peek(cn.Conn)
	if n > 0 {
		c.reportStray(cn, Stray{Bytes: n})
	}
	return errors.Is(err, unix.EAGAIN)
}

// peek returns how many bytes, up to maxPeek, can be read from nc. The error is EAGAIN if nc is open
// and there are none, and nil with no bytes if the peer has closed it.
func peek(nc net.Conn) (n int, err error) {
	raw, err := rawConn(nc)
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [maxPeek]byte
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return max(0, n), errors.Join(err, peekErr)
}

// rawConn gives access to the socket of nc.
func rawConn(nc net.Conn) (syscall.RawConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// takeIdle removes from the pool the most recently used connection to addr that may carry req, and
// returns it, or nil if there is none. It is the least likely one to be closed by
// the endpoint.
func (c *Client) takeIdle(addr string, req *Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[addr]
	for i, cn := range slices.Backward(idle) {
		if cn.mayCarry(req) {
			c.idle[addr] = slices.Delete(idle, i, i+1)
			return cn
		}
	}
	return nil
}

// release puts cn into the pool for the given time. It closes cn if the time is
// zero or less.
func (c *Client) release(cn *conn, timeout time.Duration) {
	if timeout <= 0 {
		_ = cn.Conn.Close()
		return
	}
	cn.expires = time.Now().Add(timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// CloseExpired closes the idle connections that have expired by now.
func (c *Client) CloseExpired(now time.Time) {
	var expired []*conn
	c.mu.Lock()
	for addr, conns := range c.idle {
		remaining := conns[:0]
		for _, cn := range conns {
			if now.After(cn.expires) {
				expired = append(expired, cn)
				continue
			}
			remaining = append(remaining, cn)
		}
		c.idle[addr] = remaining
		if len(remaining) == 0 {
			delete(c.idle, addr)
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		_ = cn.Conn.Close()
	}
}

// Dials returns how many connections have been established.
func (c *Client) Dials() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}
