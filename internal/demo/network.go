package demo

import (
	"context"
	"net"
	"slices"
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
	dead  map[string]bool // addresses of hosts that were killed
}

// Host is where one process runs, as the network sees it.
type Host struct {
	network *Network
	place   string
	// dead and cut, a place, are guarded by the network's mu.
	dead bool
	cut  string
}

// carried is a connection of the network.
type carried struct {
	net.Conn
	network *Network
	host    *Host
	from    string
	to      string
	addr    string
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

// at notes that a process listens at addr in a place, perhaps on a new host in
// place of one that was killed.
func (n *Network) at(addr, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.place == nil {
		n.place = map[string]string{}
		n.cuts = map[[2]string]bool{}
		n.conns = map[*carried]struct{}{}
		n.dead = map[string]bool{}
	}
	n.place[addr] = place
	delete(n.dead, addr)
}

// Host returns a new host in the data centre.
func (n *Network) Host(dc string) *Host { return &Host{network: n, place: dc} }

// From returns how a process in the data centre opens connections.
func (n *Network) From(dc string) func(ctx context.Context, addr string) (net.Conn, error) {
	return n.Host(dc).Dial
}

// Dial opens a connection from the host.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if h.network.isCut(h, addr) {
		return nil, errCut
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return h.network.carry(conn, h, addr)
}

// Kill takes the host off the network for good, as when its VM dies: all
// connections from it and to its addresses break, and none can be opened.
func (h *Host) Kill(addrs ...string) {
	n := h.network
	n.mu.Lock()
	h.dead = true
	for _, a := range addrs {
		n.dead[a] = true
	}
	n.mu.Unlock()
	n.breakConns(func(c *carried) bool { return c.host == h || slices.Contains(addrs, c.addr) })
}

// Cut cuts the host alone off from a place; "" ends that.
func (h *Host) Cut(place string) {
	n := h.network
	n.mu.Lock()
	h.cut = place
	n.mu.Unlock()
	n.breakConns(func(c *carried) bool { return place != "" && c.host == h && c.to == place })
}

func (n *Network) isCut(h *Host, addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutLocked(h, addr)
}

func (n *Network) cutLocked(h *Host, addr string) bool {
	return h.dead || n.dead[addr] || h.cut != "" && h.cut == n.place[addr] || n.cuts[pair(h.place, n.place[addr])]
}

// carry registers a connection, unless a cut came while it was opened.
func (n *Network) carry(conn net.Conn, h *Host, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &carried{Conn: conn, network: n, host: h, from: h.place, to: n.place[addr], addr: addr}
	c.bytes = n.count(c.from, c.to)
	if n.cutLocked(h, addr) {
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
	n.mu.Unlock()
	n.breakConns(func(c *carried) bool { return pair(c.from, c.to) == pair(a, b) })
}

func (n *Network) breakConns(which func(*carried) bool) {
	n.mu.Lock()
	var broken []*carried
	for c := range n.conns {
		if which(c) {
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
