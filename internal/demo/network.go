package demo

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Platform is where the platform's services are, as a side of a cut.
const Platform = "platform"

var errCut = eris.New("the network is cut")

// Network carries the connections between processes and lets tests cut data
// centres off from each other and from the platform. Its zero value carries
// all. A cut breaks the connections that are open.
type Network struct {
	mu    sync.Mutex
	place map[string]string // address to data centre
	cuts  map[[2]string]bool
	conns map[*carried]struct{}
	bytes map[[2]string]*atomic.Int64
}

// carried is a connection of the network.
type carried struct {
	net.Conn
	network *Network
	from    string
	to      string
	bytes   *atomic.Int64
}

// Read implements net.Conn.
func (c *carried) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *carried) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *carried) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

func (n *Network) at(addr, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.place == nil {
		n.place = map[string]string{}
		n.cuts = map[[2]string]bool{}
		n.conns = map[*carried]struct{}{}
	}
	n.place[addr] = place
}

// From returns how a process in the data centre opens connections.
func (n *Network) From(dc string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if n.isCut(dc, addr) {
			return nil, errCut
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return n.carry(conn, dc, addr)
	}
}

func (n *Network) isCut(dc, addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair(dc, n.place[addr])]
}

// carry registers a connection, unless a cut came while it was opened.
func (n *Network) carry(conn net.Conn, dc, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &carried{Conn: conn, network: n, from: dc, to: n.place[addr]}
	c.bytes = n.count(c.from, c.to)
	if n.cuts[pair(c.from, c.to)] {
		_ = conn.Close()
		return nil, errCut
	}
	n.conns[c] = struct{}{}
	return c, nil
}

// count returns the bytes of connections between two places. The lock must be
// held.
func (n *Network) count(from, to string) *atomic.Int64 {
	if n.bytes == nil {
		n.bytes = map[[2]string]*atomic.Int64{}
	}
	k := [2]string{from, to}
	if n.bytes[k] == nil {
		n.bytes[k] = &atomic.Int64{}
	}
	return n.bytes[k]
}

// Bytes returns the bytes that connections opened from one place to another
// have carried so far, both ways.
func (n *Network) Bytes(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.count(from, to).Load()
}

// Cut cuts two places off from each other.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	n.cuts[pair(a, b)] = true
	var broken []*carried
	for c := range n.conns {
		if pair(c.from, c.to) == pair(a, b) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
