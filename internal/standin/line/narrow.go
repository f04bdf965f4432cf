package line

import (
	"context"
	"net"
	"sync"
	"time"
)

// Narrow is a line of so many bytes a second that all connections opened through
// it share in the direction from the server. Set the exported fields before the
// first Dial. It may be used by several goroutines.
type Narrow struct {
	BytesPerSecond float64

	mu   sync.Mutex // guards free
	free time.Time  // when the line has passed on all that came
}

// Dial opens a connection whose bytes from the server come over the line.
func (l *Narrow) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &narrowConn{Conn: c, line: l}, nil
}

// turn returns how long n bytes that came at now take until they are through.
func (l *Narrow) turn(n int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.BytesPerSecond * float64(time.Second)))
	return l.free.Sub(now)
}

// narrowConn is a connection over a Narrow line.
type narrowConn struct {
	net.Conn

	line *Narrow
}

// Read implements net.Conn.
func (c *narrowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(c.line.turn(n, time.Now()))
	return n, err
}
