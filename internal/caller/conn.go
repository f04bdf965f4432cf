package caller

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/wake"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxPendingBytes is the number of unsent response bytes at which writes to a caller block. nbio
// buffers any number of bytes. Without this bound, a caller that reads slowly or not at all would
// keep a whole response in memory.
const maxPendingBytes = 64 << 10

// errDisconnected is returned by writes to a caller that has disconnected.
var errDisconnected = eris.New("caller disconnected")

// conn is the server's state for one caller's connection.
//
// Lock order: nbio's lock of the connection is acquired before mu, because nbio reports written
// bytes while it holds its own lock. Therefore nothing here calls nbio while holding mu.
type conn struct {
	server   *Server
	netConn  *nbio.Conn
	openedAt time.Time

	mu      sync.Mutex // guards the fields up to cancel
	pending int
	// progressAt is when the caller last read something, or when pending began to grow.
	progressAt   time.Time
	disconnected bool
	// closing means that the last response is being sent or has been, or that the connection is being closed.
	// Further requests are not served.
	closing bool
	// cutCause is why the server closed the connection, or nil.
	cutCause *result.Error
	cancel   context.CancelFunc
	// writable receives a signal when pending falls.
	writable wake.Signal
	// lastDone is closed when the newest request of the connection has been answered.
	lastDone chan struct{}
	// handedOver is the lastDone of the newest request whose complete answer the event loop holds or
	// has sent.
	handedOver chan struct{}
	// open holds the replies of the requests that have been received completely and not been answered, in
	// their order.
	open []*Reply
	// receiving means that a part of a request has been received, the first byte at receivingSince. unread is
	// the number of requests that have been received completely and not been enqueued.
	receiving      bool
	receivingSince time.Time
	unread         int
	// handshakeDone means that there is no handshake of TLS, or that it is complete, and hooked that the parser
	// has a methodHook. Both belong to the goroutine that reads from the connection.
	handshakeDone, hooked bool
	// unparsedBytes counts the bytes received since the last complete request.
	unparsedBytes atomic.Int64
	// unusedTimer fires when the connection was opened and nothing was received.
	unusedTimer *time.Timer
	// readTimer fires when the request that is being received exceeds its read timeout.
	readTimer *time.Timer
}

// startReadTimer calls onTimeout if the request that has begun to arrive is not complete after d.
func (c *conn) startReadTimer(d time.Duration, onTimeout func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReadTimer()
	if !c.disconnected {
		c.readTimer = time.AfterFunc(d, onTimeout)
	}
}

// startUnusedTimer closes the connection after d unless stopUnusedTimer is called before.
func (c *conn) startUnusedTimer(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unusedTimer = time.AfterFunc(d, func() { _ = c.netConn.Close() })
}

// stopUnusedTimer stops the timer of startUnusedTimer.
func (c *conn) stopUnusedTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unusedTimer.Stop()
}

// markRequestRead records that a request has been received completely.
func (c *conn) markRequestRead() {
	c.server.memory.release(int(c.unparsedBytes.Swap(0)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receiving { // otherwise the timer is that of the next request
		c.stopReadTimer()
	}
}

// stopReadTimer stops the timer of startReadTimer. It must be called with mu held.
func (c *conn) stopReadTimer() {
	if c.readTimer != nil {
		c.readTimer.Stop()
		c.readTimer = nil
	}
}

func (c *conn) addUnparsed(n int) int { return int(c.unparsedBytes.Add(int64(n))) }

func newConn(s *Server, netConn *nbio.Conn, now time.Time) *conn {
	c := &conn{server: s, netConn: netConn, openedAt: now, lastDone: make(chan struct{})}
	close(c.lastDone)
	return c
}

// enqueue adds a request to the connection's response order. The request may be answered once
// w.prevDone is closed. dequeue must be called when its response has ended.
func (c *conn) enqueue(w *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.prevDone = c.lastDone
	w.ownDone = make(chan struct{})
	c.lastDone = w.ownDone
	c.open = append(c.open, w)
}

// dequeue records that the response of a request has ended.
func (c *conn) dequeue(w *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = slices.DeleteFunc(c.open, func(o *Reply) bool { return o == w })
	close(w.ownDone)
}

// awaitsRequest reports whether no request has been enqueued, or has begun to arrive, after the one
// that owns ownDone.
func (c *conn) awaitsRequest(ownDone chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastDone == ownDone && !c.isReceiving()
}

// closeBehind records that the connection is to be closed behind the response to the request that owns ownDone. It
// returns false if a further request has been received or has begun to arrive.
func (c *conn) closeBehind(ownDone chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastDone != ownDone || c.isReceiving() {
		return false
	}
	c.closing = true
	return true
}

// isReceiving reports whether a request is being received, or has been and is not enqueued yet. c.mu must be held.
func (c *conn) isReceiving() bool { return c.receiving || c.unread > 0 || c.unparsedBytes.Load() > 0 }

// closeIfIdle closes the connection if no request is being received or answered. A request that arrives meanwhile
// is not served.
func (c *conn) closeIfIdle() {
	if c.markIdle() {
		_ = c.netConn.Close()
	}
}

// markIdle reports whether no request is being received or answered, and that none will be, if so.
func (c *conn) markIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.lastDone:
	default:
		return false
	}
	idle := c.readTimer == nil && c.cancel == nil && !c.isReceiving() && c.pending == 0
	c.closing = c.closing || idle
	return idle
}

// markClosing records that the connection closes behind the response that was sent last.
func (c *conn) markClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// mayAnswer reports whether a further response can be sent.
func (c *conn) mayAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && c.closedError() == nil
}

// bindCancel arranges that cancel is called when the connection closes, or at once if it has
// closed.
func (c *conn) bindCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.disconnected {
		cancel()
	}
}

// unbindCancel removes the function set by bindCancel.
func (c *conn) unbindCancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
}

func (c *conn) markDisconnected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = true
	c.endAllReceiving()
	c.releasePending()
	c.server.memory.release(int(c.unparsedBytes.Swap(0)))
	c.stopReadTimer()
	c.unusedTimer.Stop()
	if c.cancel != nil {
		c.cancel()
	}
	c.writable.Raise()
}

// markWritten subtracts n sent bytes from pending. The bytes of a TLS handshake are never added to
// pending, so the result is kept from falling below zero.
func (c *conn) markWritten(n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = min(n, c.pending)
	c.pending -= n
	c.progressAt = now
	c.server.memory.release(n)
	c.writable.Raise()
}

// addPending adds n bytes to pending, for which memory was acquired. It returns an error, and
// releases the memory, if the connection is closed.
func (c *conn) addPending(n int, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.closedError(); err != nil {
		c.server.memory.release(n)
		return err
	}
	if c.pending == 0 {
		c.progressAt = now
	}
	c.pending += n
	return nil
}

// closedError returns why the connection is closed, or nil if it is open. c.mu must be held.
func (c *conn) closedError() error {
	switch {
	case c.cutCause != nil:
		return c.cutCause
	case c.disconnected:
		return errDisconnected
	default:
		return nil
	}
}

// waitSent blocks until the complete answer of the request that owns ownDone has been sent. It
// returns an error if the connection is closed first.
func (c *conn) waitSent(ownDone chan struct{}) error {
	c.mu.Lock()
	c.handedOver = ownDone
	c.mu.Unlock()
	return c.waitPendingBelow(context.Background(), 1, c.server.maxReadPause)
}

// maxStall returns how long a caller may read nothing of an answer that an endpoint may be held up
// by, or whose connection is to be closed.
func (s *Server) maxStall() time.Duration { return s.StallTimeout }

// maxReadPause returns how long a caller may read nothing of a complete answer. No endpoint is held
// up, so it may pause for as long as an idle caller, unless the server is about to stop.
func (s *Server) maxReadPause() time.Duration {
	if s.draining.Load() {
		return s.StallTimeout
	}
	return max(s.StallTimeout, s.IdleTimeout)
}

// waitPendingBelow blocks until fewer than limit bytes are pending. It cuts the connection off if
// the caller reads nothing for the time that maxPause returns, which may change. It returns an error
// if the connection is closed, or if ctx is done first.
func (c *conn) waitPendingBelow(ctx context.Context, limit int, maxPause func() time.Duration) error {
	for {
		pause := maxPause()
		c.mu.Lock()
		err, full, stallAt := c.closedError(), c.pending >= limit, c.progressAt.Add(pause)
		c.mu.Unlock()
		if err != nil {
			return err
		}
		if !full {
			return nil
		}
		now := time.Now()
		if !now.Before(stallAt) {
			c.cut(result.Newf(result.CallerStalled, "nothing read for %v", pause), now)
			continue
		}
		// StallTimeout is the least that maxPause returns.
		if !c.writable.Wait(ctx, min(stallAt.Sub(now), c.server.StallTimeout)) && ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// write sends b to the caller. It blocks while maxPendingBytes or more are pending, or while the
// server holds as many bytes for all callers as it may.
func (c *conn) write(ctx context.Context, w net.Conn, b []byte) error {
	if err := c.waitPendingBelow(ctx, maxPendingBytes, c.server.maxStall); err != nil {
		return err
	}
	n := wireSize(w, len(b))
	if err := c.server.acquire(ctx, n); err != nil {
		return err
	}
	if err := c.addPending(n, time.Now()); err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return errDisconnected
	}
	return nil
}

// Sizes of TLS records. TLS adds the following bytes to each record of at most maxRecordBytes: a
// header of 5, a tag of 16, and an explicit nonce of 8 (GCM in TLS 1.2) or a content type of 1
// (TLS 1.3).
const (
	maxRecordBytes      = 16 << 10
	overheadTLS12GCM    = 5 + 8 + 16
	overheadTLS12ChaCha = 5 + 16
	overheadTLS13       = 5 + 16 + 1
)

// wireSize returns the number of bytes that n bytes of a response occupy on the wire.
//
// A connection that must close after a response is closed once nothing is pending. If the overhead
// of TLS were not counted, pending would reach zero while the last bytes are still buffered, and
// closing would drop them: the caller would lose the end of the response.
func wireSize(w net.Conn, n int) int {
	h, ok := w.(*nbhttp.Conn)
	if !ok {
		return n
	}
	t, ok := h.Conn.(*tls.Conn)
	if !ok {
		return n
	}
	records := (n + maxRecordBytes - 1) / maxRecordBytes
	return n + records*recordOverhead(t.ConnectionState())
}

func recordOverhead(s tls.ConnectionState) int {
	if s.Version == tls.VersionTLS13 {
		return overheadTLS13
	}
	switch s.CipherSuite {
	case tls.TLS_ECDHE_ECDSA_WITH_CHACHA20_POLY1305, tls.TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305:
		return overheadTLS12ChaCha
	}
	return overheadTLS12GCM
}

// underlying returns the nbio connection beneath an HTTP connection, with or without TLS, or nil
// if there is none.
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
