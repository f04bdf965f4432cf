package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// pool hands out connections, at most size at once, and keeps idle ones.
//
// Lock order: mu only.
type pool struct {
	addr        string
	loop        *loop
	dialTimeout time.Duration
	idleTimeout time.Duration
	limits      *nbhttp.Engine
	slots       chan struct{}
	// reportUnasked is told of bytes that came while no answer was due.
	reportUnasked func(c *conn, n int)

	mu     sync.Mutex
	free   []*conn
	closed bool
	// unnamed says that the endpoint has given an answer that names no request, so that no connection
	// carries a second one.
	unnamed bool
	// watched is a connection that is kept open without use.
	watched *conn
}

func newPool(c *Client, l *loop, size int) *pool {
	return &pool{
		addr:        c.Addr,
		loop:        l,
		dialTimeout: c.DialTimeout,
		idleTimeout: c.IdleTimeout,
		limits:      &nbhttp.Engine{Config: nbhttp.Config{ReadLimit: c.MaxAnswerBytes}},
		slots:       make(chan struct{}, size),

		reportUnasked: c.reportUnasked,
	}
}

// acquire waits for a slot.
func (p *pool) acquire(ctx context.Context) error {
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pool) release() { <-p.slots }

// idleConn returns the idle connection used last, or nil.
func (p *pool) idleConn(now time.Time) *conn {
	for {
		c, unnamed := p.takeFree()
		if c == nil {
			return nil
		}
		c.setKept(false, now)
		if !unnamed && c.idle() && now.Sub(c.usedAt) < p.idleTimeout {
			return c
		}
		p.discard(c)
	}
}

// takeFree takes the idle connection used last, or nil, and reports whether the endpoint has given an
// answer that names no request.
func (p *pool) takeFree() (c *conn, unnamed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.free) - 1; last >= 0 {
		c = p.free[last]
		p.free = p.free[:last]
	}
	return c, p.unnamed
}

// discard closes an idle connection, which may be nil.
func (p *pool) discard(c *conn) {
	if c == nil {
		return
	}
	if n := c.unasked(); n > 0 {
		p.reportUnasked(c, n)
	}
	c.close()
}

// dial opens a connection. The one that is watched is closed if there would be more than size.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	if len(p.slots) == cap(p.slots) {
		p.discard(p.watch(nil))
	}
	c, err := dial(ctx, p.loop, p.addr, p.dialTimeout)
	if err != nil {
		return nil, err
	}
	c.parser = nbhttp.NewParser(c.nb, p.limits, nil, true, nil)
	return c, nil
}

// putBack takes back a connection after the response to a call that ended with err.
func (p *pool) putBack(c *conn, resp *response, err error, now time.Time) {
	c.usedAt = now
	c.requests++
	switch {
	case err != nil || !resp.open():
		c.close()
	case resp.reusable() && p.keep(c, now):
	default:
		// The connection goes on without use, because the endpoint closes it when it restarts, which
		// loop.tellLost reports.
		c.setKept(true, now)
		p.discard(p.watch(c))
	}
}

// keep keeps a connection for another call. It returns false if none may carry a second one.
func (p *pool) keep(c *conn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unnamed || p.closed {
		return false
	}
	c.setKept(true, now)
	p.free = append(p.free, c)
	return true
}

// watch replaces the connection that is kept open without use, and returns the one to be closed, or nil.
func (p *pool) watch(c *conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return c
	}
	old := p.watched
	p.watched = c
	return old
}

// noteUnnamed notes that an answer names no request, and reports whether it is the first.
func (p *pool) noteUnnamed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.unnamed
	p.unnamed = true
	return first
}

// closeIdle closes idle connections; those in use are closed by their users.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.free {
		c.close()
	}
	p.free = nil
	if p.watched != nil {
		p.watched.close()
		p.watched = nil
	}
}
