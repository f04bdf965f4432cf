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

	mu     sync.Mutex
	free   []*conn
	closed bool
}

func newPool(c *Client, l *loop, size int) *pool {
	return &pool{
		addr:        c.Addr,
		loop:        l,
		dialTimeout: c.DialTimeout,
		idleTimeout: c.IdleTimeout,
		limits:      &nbhttp.Engine{Config: nbhttp.Config{ReadLimit: c.MaxAnswerBytes}},
		slots:       make(chan struct{}, size),
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
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.free) > 0 {
		c := p.free[len(p.free)-1]
		p.free = p.free[:len(p.free)-1]
		c.setKept(false, now)
		if c.idle() && now.Sub(c.usedAt) < p.idleTimeout {
			return c
		}
		c.close()
	}
	return nil
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	c, err := dial(ctx, p.loop, p.addr, p.dialTimeout)
	if err != nil {
		return nil, err
	}
	c.parser = nbhttp.NewParser(c.nb, p.limits, nil, true, nil)
	return c, nil
}

// keep takes back a connection whose answer is whole.
func (p *pool) keep(c *conn, now time.Time) {
	c.usedAt = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.setKept(true, now)
	p.free = append(p.free, c)
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
}
