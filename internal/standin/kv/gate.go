package kv

import (
	"net"
	"sync"
)

// gate is a listener that can close its door: while shut it drops the open
// connections and each new one, as a service that is down does.
type gate struct {
	net.Listener

	mu    sync.Mutex
	shut  bool
	conns map[net.Conn]bool
}

func newGate(l net.Listener) *gate {
	return &gate{Listener: l, conns: make(map[net.Conn]bool)}
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if g.admit(c) {
			return &gateConn{Conn: c, gate: g}, nil
		}
	}
}

func (g *gate) admit(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		_ = c.Close()
		return false
	}
	g.conns[c] = true
	return true
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	if !shut {
		return
	}
	for c := range g.conns {
		_ = c.Close()
	}
	clear(g.conns)
}

// gateConn leaves the gate's table when it is closed.
type gateConn struct {
	net.Conn
	gate *gate
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c.Conn)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
