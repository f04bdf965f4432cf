package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// socketBuffer is the receive buffer asked for each connection; the kernel
	// doubles it. It is what an endpoint can send ahead of a slow sink outside
	// of this process.
	socketBuffer = 64 << 10
	// socketMost is the most that the kernel can hold for us.
	socketMost = 2 * socketBuffer
	// pauseAbove is how many bytes may wait for the sink before reading stops.
	// Together with socketMost it bounds what one connection holds.
	pauseAbove = 64 << 10
	readSize   = 32 << 10
)

// conn is one connection to the endpoint. The event loop fills pending; the
// goroutine in Do takes it.
//
// Lock order: mu only, nothing is called with it held but nbio's own read.
type conn struct {
	nb     *nbio.Conn
	parser *nbhttp.Parser
	// usedAt is when the last answer ended. It belongs to whoever holds the
	// connection: the pool or one call.
	usedAt time.Time
	// requests is how many calls the connection has carried before the present one.
	requests int

	// ready holds one token when there is something new to look at.
	ready chan struct{}

	mu      sync.Mutex
	pending []byte
	paused  bool
	closed  bool
	cause   error
	// kept says that the connection is idle in the pool, and since when.
	kept      bool
	idleSince time.Time
}

// setKept notes that the connection goes into the pool or leaves it.
func (c *conn) setKept(kept bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = kept
	c.idleSince = now
}

// lost reports whether the endpoint closed the connection while it was idle,
// and for how long it had been.
func (c *conn) lost(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.idleSince), c.kept
}

// dial connects to addr and adds the connection to the event loop.
func dial(ctx context.Context, l *loop, addr string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, Control: setSocketBuffer}
	std, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	nb, err := nbio.NBConn(std)
	if err != nil {
		return nil, errors.Join(err, std.Close())
	}
	c := &conn{nb: nb, ready: make(chan struct{}, 1)}
	if err := l.add(ctx, c); err != nil {
		return nil, errors.Join(err, nb.Close())
	}
	return c, nil
}

// setSocketBuffer bounds the receive buffer before the connection is made,
// because the window that it allows is agreed on then.
func setSocketBuffer(_, _ string, raw syscall.RawConn) error {
	var opt error
	err := raw.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBuffer)
	})
	return errors.Join(err, opt)
}

// onReadable is called by the event loop, which listens to the connection once
// and has to be told to go on. It never waits.
//
// Guard: the event loop closes a connection right after this call when the
// endpoint has closed its side, and with it goes what the socket still holds:
// an answer that was sent whole would arrive without its end. So all that the
// socket can hold is taken at once, and the loop is only told to listen while
// there is room for that.
func (c *conn) onReadable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	buf := make([]byte, readSize)
	for len(c.pending) <= pauseAbove+socketMost {
		n, err := c.nb.Read(buf)
		if n > 0 {
			c.pending = append(c.pending, buf[:n]...)
			continue
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err == nil {
			c.closeLocked(io.EOF)
		}
		break
	}
	c.signal()
	c.listenLocked()
}

// listenLocked tells the event loop to go on unless too much waits.
func (c *conn) listenLocked() {
	c.paused = len(c.pending) > pauseAbove
	if !c.paused && !c.closed {
		c.nb.ResetPollerEvent()
	}
}

func (c *conn) signal() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// onClosed is called by the event loop when the connection has closed.
func (c *conn) onClosed(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(cause)
	c.signal()
}

func (c *conn) closeLocked(cause error) {
	if c.closed {
		return
	}
	c.closed = true
	c.cause = cause
	if c.cause == nil {
		c.cause = net.ErrClosed
	}
}

// take returns the bytes that wait, and the cause when none will follow.
func (c *conn) take() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data := c.pending
	c.pending = nil
	if c.paused {
		c.listenLocked()
	}
	if c.closed {
		return data, c.cause
	}
	return data, nil
}

// idle says that the connection is open and has sent nothing unasked. Bytes may still wait in the
// socket or arrive later; they are told apart by the ID that an answer has to name (response).
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && len(c.pending) == 0
}

// unasked returns how many bytes wait on a connection on which no answer is due.
func (c *conn) unasked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// write hands the request to the kernel. It returns false only when not a
// single byte was accepted.
func (c *conn) write(raw []byte) (bool, error) {
	n, err := c.nb.Write(raw)
	if err != nil {
		return n > 0, err
	}
	return true, nil
}

func (c *conn) close() {
	c.setKept(false, time.Time{})
	// The connection is given up; an error tells nothing that matters.
	_ = c.nb.Close()
}
