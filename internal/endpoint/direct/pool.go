package direct

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds connecting. Endpoints accept within a millisecond or
	// two; a longer wait means that the endpoint is dark or cut off, and the
	// request can still be answered elsewhere within its target of 300 ms.
	DialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may go without an acknowledgement.
	// A connection whose other side was cut off would else hang for minutes.
	unackedTimeout = 2 * time.Second
	// probeIdle and probeEvery make the kernel notice a connection that has
	// gone silent while an answer is awaited, within probeIdle + 3 probes.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 3
	// keepLeast is how long an unused connection is kept if the endpoint names
	// no time, and keepMargin how much sooner than the endpoint's own time it
	// is given up: a connection that the endpoint closes while a request is on
	// its way leaves the outcome unknown.
	keepLeast  = 4 * time.Second
	keepMargin = time.Second
	// readBuffer holds the head of an answer and some events of a stream.
	readBuffer = 4 << 10
)

// conn is one connection. It belongs to the pool or to one exchange.
type conn struct {
	net.Conn
	br   *bufio.Reader
	addr string
	// until is when the pool gives it up.
	until time.Time
	used  bool
}

// abort closes the connection with a reset.
//
// Guard: an endpoint whose VM is frozen or cut off takes bytes into its queue.
// Closed in the ordinary way, a connection still delivers them when the VM is
// back, and the endpoint works on a request whose caller has long left. A reset
// discards what has not arrived.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is closed already needs none
	}
	_ = c.Conn.Close()
}

// acquire returns a kept connection that is still open, or a new one.
func (c *Client) acquire(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for cn := c.takeIdle(addr); cn != nil; cn = c.takeIdle(addr) {
		if cn.br.Buffered() == 0 && quiet(cn.Conn) && (!fresh || time.Until(cn.until) > keepMargin) {
			return cn, nil
		}
		_ = cn.Conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	d := net.Dialer{
		Control:         setTimeouts,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), addr: addr}, nil
}

func setTimeouts(_, _ string, raw syscall.RawConn) error {
	var opt error
	err := raw.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, opt)
}

// quiet reports whether an unused connection is open and has nothing to read:
// what came unasked belongs to no request.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// takeIdle returns the connection that was used last, which is the least likely
// to be closed by the endpoint.
func (c *Client) takeIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[addr]
	if len(kept) == 0 {
		return nil
	}
	cn := kept[len(kept)-1]
	c.idle[addr] = kept[:len(kept)-1]
	return cn
}

func (c *Client) release(cn *conn, keep time.Duration) {
	if keep <= 0 {
		_ = cn.Conn.Close()
		return
	}
	cn.until = time.Now().Add(keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// Sweep closes the kept connections whose time is over.
func (c *Client) Sweep(now time.Time) {
	var over []*conn
	c.mu.Lock()
	for addr, kept := range c.idle {
		stay := kept[:0]
		for _, cn := range kept {
			if now.After(cn.until) {
				over = append(over, cn)
				continue
			}
			stay = append(stay, cn)
		}
		c.idle[addr] = stay
		if len(stay) == 0 {
			delete(c.idle, addr)
		}
	}
	c.mu.Unlock()
	for _, cn := range over {
		_ = cn.Conn.Close()
	}
}

// Dials returns how many connections have been made.
func (c *Client) Dials() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}
