package caller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// defaultStallTimeout is how long a caller may accept no byte of an answer that waits
	// for it. Endpoints cut off answers that stay unread for some seconds.
	defaultStallTimeout = 3 * time.Second
	// minStall is the time without progress from which a caller may be cut off because
	// the memory held for all callers is used up.
	minStall = 250 * time.Millisecond
	// memoryRetryInterval is how often a writer that waits for memory looks again for a
	// stalled caller.
	memoryRetryInterval = 50 * time.Millisecond
	// smallRequest is the size, in bytes, of a request that is received in any case. A
	// larger one is received, so that it can be refused with a result code, until the
	// memory held for callers is receiveFactor times its limit.
	smallRequest  = 64 << 10
	receiveFactor = 2
	// sendBufferSize is the size, in bytes, of the kernel's send buffer of a caller's
	// connection. The kernel would enlarge it to megabytes for a caller that reads slowly.
	sendBufferSize = 64 << 10
)

// CutOff describes a caller's connection that the server closed because the caller did
// not read its answer.
type CutOff struct {
	// Cause tells why.
	Cause *result.Error
	// Held is the number of bytes that were held for the caller, and Stalled the time for
	// which it had read none.
	Held    int
	Stalled time.Duration
}

// memory bounds the bytes that a Server holds for all of its callers: requests, and
// answers that have not been read. It is safe for concurrent use.
type memory struct {
	limit int64 // 0 means no limit
	held  atomic.Int64

	mu    sync.Mutex    // guards freed
	freed chan struct{} // closed when bytes are released, or nil
}

// tryAdd adds n bytes if they fit, or if nothing else is held.
func (m *memory) tryAdd(n int) bool {
	for {
		held := m.held.Load()
		if m.limit > 0 && held > 0 && held+int64(n) > m.limit {
			return false
		}
		if m.held.CompareAndSwap(held, held+int64(n)) {
			return true
		}
	}
}

// add adds n bytes of a request that have been received.
func (m *memory) add(n int) { m.held.Add(int64(n)) }

// mayReceive reports whether more of a large request may be received.
func (m *memory) mayReceive() bool {
	return m.limit <= 0 || m.held.Load() <= receiveFactor*m.limit
}

func (m *memory) release(n int) {
	if n == 0 {
		return
	}
	m.held.Add(-int64(n))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// released returns a channel that is closed by the next call of release.
func (m *memory) released() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return m.freed
}

// acquire adds n bytes to the memory held for callers. While they don't fit, it cuts off
// the caller that has read nothing for the longest time or, if all are reading, waits.
func (s *Server) acquire(ctx context.Context, n int) error {
	if s.memory.tryAdd(n) {
		return nil // without a channel and a lock for each part of an answer
	}
	for {
		released := s.memory.released()
		if s.tryAcquire(n, time.Now()) {
			return nil
		}
		t := time.NewTimer(memoryRetryInterval)
		select {
		case <-released:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		t.Stop()
	}
}

// tryAcquire adds n bytes to the memory held for callers if they fit after stalled callers
// have been cut off.
func (s *Server) tryAcquire(n int, now time.Time) bool {
	return s.makeRoom(func() bool { return s.memory.tryAdd(n) }, now)
}

// makeRoom cuts off stalled callers until fits reports true, and reports whether it does.
func (s *Server) makeRoom(fits func() bool, now time.Time) bool {
	for !fits() {
		if !s.cutSlowest(now) {
			return false
		}
	}
	return true
}

// cutSlowest cuts off the caller that has read nothing for the longest time, and reports
// whether there was one that had stalled for minStall.
func (s *Server) cutSlowest(now time.Time) bool {
	var slowest *conn
	longest := minStall
	s.conns.Range(func(_, value any) bool {
		c := value.(*conn)
		if d := c.stalled(now); d >= longest {
			slowest, longest = c, d
		}
		return true
	})
	return slowest != nil && slowest.cut(result.New(result.CallerStalled, "the memory held for callers is used up"), now)
}

// PendingBytes returns the number of bytes of answers that have not been sent to callers.
func (s *Server) PendingBytes() int {
	n := 0
	s.conns.Range(func(_, value any) bool {
		c := value.(*conn)
		c.mu.Lock()
		n += c.pending
		c.mu.Unlock()
		return true
	})
	return n
}

// HeldBytes returns the number of bytes that the server holds for its callers.
func (s *Server) HeldBytes() int64 { return s.memory.held.Load() }

// stalled returns how long the caller has read nothing of what waits for it. It is 0 if
// nothing waits or the connection is closed.
func (c *conn) stalled(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 || c.disconnected || c.cutCause != nil {
		return 0
	}
	return now.Sub(c.progressAt)
}

// cut closes the connection and releases what is held for it. It reports false if the
// connection was closed or cut before.
func (c *conn) cut(cause *result.Error, now time.Time) bool {
	c.mu.Lock()
	if c.disconnected || c.cutCause != nil {
		c.mu.Unlock()
		return false
	}
	c.cutCause = cause
	cutOff := CutOff{Cause: cause, Held: c.pending, Stalled: now.Sub(c.progressAt)}
	c.releasePending()
	c.writable.Raise()
	c.mu.Unlock()
	if c.server.OnCutOff != nil {
		c.server.OnCutOff(cutOff)
	}
	_ = c.netConn.Close()
	return true
}

// releasePending releases all bytes that wait for the caller. c.mu must be held.
func (c *conn) releasePending() {
	c.server.memory.release(c.pending)
	c.pending = 0
}

// limitSendBuffer bounds what the kernel holds for a caller. A failure leaves the kernel's
// own bound.
func limitSendBuffer(c *nbio.Conn) { _ = c.SetWriteBuffer(sendBufferSize) }
