package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

// windowBytes is how much of an answer may wait in the entry for one caller.
// nbio takes any number of bytes into its own buffer; without this bound a
// caller who reads slowly, or not at all, would hold a whole answer in memory.
const windowBytes = 64 << 10

// errCallerGone reports a write to a caller who has left.
var errCallerGone = eris.New("caller has left")

// conn is what the server knows of one caller's connection.
//
// Lock order: nbio's lock of the connection is taken before mu, because nbio
// reports written bytes while it holds its own; nothing here calls nbio with
// mu held.
type conn struct {
	mu      sync.Mutex
	pending int
	gone    bool
	cancel  context.CancelFunc
	// room holds a signal when pending fell.
	room chan struct{}
	// last closes when the newest request of the connection is answered.
	last chan struct{}
	// input counts the bytes that have come since the last whole request.
	input atomic.Int64
	// slow answers the request that is arriving when its time is over.
	slow *time.Timer
}

// await calls late when the request that has begun to arrive is not whole
// after d.
func (c *conn) await(d time.Duration, late func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWaiting()
	if !c.gone {
		c.slow = time.AfterFunc(d, late)
	}
}

// whole notes that a request has arrived whole.
func (c *conn) whole() {
	c.input.Store(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWaiting()
}

// stopWaiting ends what await began. The lock must be held.
func (c *conn) stopWaiting() {
	if c.slow != nil {
		c.slow.Stop()
		c.slow = nil
	}
}

func (c *conn) arrived(n int) int { return int(c.input.Add(int64(n))) }

func newConn() *conn {
	c := &conn{room: make(chan struct{}, 1), last: make(chan struct{})}
	close(c.last)
	return c
}

// enqueue gives a request its place in the order of the connection's answers:
// it may be answered when before has closed and closes mine at its end.
func (c *conn) enqueue() (before, mine chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.last
	mine = make(chan struct{})
	c.last = mine
	return before, mine
}

// newest reports whether no request has come after the one that closes mine.
func (c *conn) newest(mine chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last == mine
}

// resting reports whether no request is being read or answered.
func (c *conn) resting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.last:
	default:
		return false
	}
	return c.slow == nil && c.cancel == nil && c.input.Load() == 0 && c.pending == 0
}

// begin ties cancel to the connection's close.
func (c *conn) begin(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.gone {
		cancel()
	}
}

// end forgets the request that begin tied to the connection.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
}

func (c *conn) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
	c.stopWaiting()
	if c.cancel != nil {
		c.cancel()
	}
	c.signal()
}

// written notes that n bytes have left for the caller. The bytes of a TLS
// handshake were never counted as pending, so it stops at zero.
func (c *conn) written(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = max(0, c.pending-n)
	c.signal()
}

func (c *conn) signal() {
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// wait returns when less than limit bytes are pending, or the caller has left,
// or ctx ends.
func (c *conn) wait(ctx context.Context, limit int) error {
	for {
		c.mu.Lock()
		gone, full := c.gone, c.pending >= limit
		c.mu.Unlock()
		if gone {
			return errCallerGone
		}
		if !full {
			return nil
		}
		select {
		case <-c.room:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// write puts b on its way to the caller, waiting first for room.
func (c *conn) write(ctx context.Context, w net.Conn, b []byte) error {
	if err := c.wait(ctx, windowBytes); err != nil {
		return err
	}
	c.mu.Lock()
	c.pending += wireSize(w, len(b))
	c.mu.Unlock()
	if _, err := w.Write(b); err != nil {
		return errCallerGone
	}
	return nil
}

// Bytes that TLS adds to a record of at most recordBytes: a header of 5, a tag
// of 16, and an explicit nonce of 8 or a content type of 1.
const (
	recordBytes   = 16 << 10
	overheadGCM12 = 5 + 8 + 16
	overheadCha12 = 5 + 16
	overheadTLS13 = 5 + 16 + 1
)

// wireSize returns how many bytes n become on the way out.
//
// Guard: a connection that is closed at the end of an answer is closed when
// nothing is pending. Counted without what TLS adds, the count reaches zero
// while the last bytes still wait, and closing drops them: the caller would
// lose the end of its answer.
func wireSize(w net.Conn, n int) int {
	h, ok := w.(*nbhttp.Conn)
	if !ok {
		return n
	}
	t, ok := h.Conn.(*tls.Conn)
	if !ok {
		return n
	}
	records := (n + recordBytes - 1) / recordBytes
	return n + records*recordOverhead(t.ConnectionState())
}

func recordOverhead(s tls.ConnectionState) int {
	if s.Version == tls.VersionTLS13 {
		return overheadTLS13
	}
	switch s.CipherSuite {
	case tls.TLS_ECDHE_ECDSA_WITH_CHACHA20_POLY1305, tls.TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305:
		return overheadCha12
	}
	return overheadGCM12
}

// underlying returns the event loop's connection below an HTTP connection,
// with TLS or without.
func underlying(w net.Conn) *nbio.Conn {
	for {
		switch v := w.(type) {
		case *nbio.Conn:
			return v
		case *nbhttp.Conn:
			w = v.Conn
		case interface{ Conn() net.Conn }:
			w = v.Conn()
		default:
			return nil
		}
	}
}
