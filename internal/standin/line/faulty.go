package line

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// Mode is how a Faulty line behaves.
type Mode int

// The modes.
const (
	// Open passes everything on.
	Open Mode = iota
	// Slow passes everything on after Pace.
	Slow
	// Broken closes all connections and takes no new ones.
	Broken
	// MuteUp holds back what goes to the server, MuteDown what comes from it,
	// and Mute both, until the mode changes.
	MuteUp
	MuteDown
	Mute
)

// holds reports whether the mode holds bytes of a direction back.
func (m Mode) holds(up bool) bool {
	return m == Mute || m == MuteUp && up || m == MuteDown && !up
}

// Faulty is a line that passes connections on and misbehaves when told to. Set
// the exported fields, call Listen, then Run.
type Faulty struct {
	// To is the server's address, as IP:port.
	To string
	// Pace is the delay of a piece while the line is slow.
	Pace time.Duration

	ln net.Listener

	mu   sync.Mutex // guards all below
	mode Mode
	// changed closes when the mode changes.
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

// Listen opens the line at a free port and returns the address.
func (l *Faulty) Listen() (string, error) {
	ln, err := standin.Listen()
	if err != nil {
		return "", eris.Wrap(err, "faulty line")
	}
	l.ln, l.changed, l.conns = ln, make(chan struct{}), map[net.Conn]struct{}{}
	return ln.Addr().String(), nil
}

// Set has the line behave by the mode from now on.
func (l *Faulty) Set(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	if m == Broken {
		l.closeAll()
	}
}

func (l *Faulty) closeAll() {
	for c := range l.conns {
		reset(c)
	}
	clear(l.conns)
}

// reset closes a connection with a TCP reset. An orderly close would end an answer without a length
// as if it were complete.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.Close()
}

// Run passes connections on until ctx ends and closes them then.
func (l *Faulty) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer l.Set(Broken)
	for {
		c, err := l.ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "faulty line")
		}
		far, err := net.Dial("tcp", l.To)
		if err != nil || !l.keep(c, far) {
			_ = c.Close()
			if far != nil {
				_ = far.Close()
			}
			continue
		}
		wg.Add(2)
		go func() { defer wg.Done(); l.pass(c, far, true) }()
		go func() { defer wg.Done(); l.pass(far, c, false) }()
	}
}

// keep notes a connection's two ends and reports whether it may stand.
func (l *Faulty) keep(c, far net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == Broken {
		return false
	}
	l.conns[c], l.conns[far] = struct{}{}, struct{}{}
	return true
}

// pass copies one direction until either end closes.
func (l *Faulty) pass(from, to net.Conn, up bool) {
	const piece = 16 << 10
	b := make([]byte, piece)
	var err error
	for err == nil {
		var n int
		n, err = from.Read(b)
		if l.await(up) && n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, from)
	delete(l.conns, to)
	// The copy of the other direction ends with it.
	if err != io.EOF {
		reset(from)
		reset(to)
		return
	}
	_, _ = from.Close(), to.Close()
}

// await waits until the line passes the direction on, and reports false when it
// is broken.
func (l *Faulty) await(up bool) bool {
	for {
		l.mu.Lock()
		m, changed := l.mode, l.changed
		l.mu.Unlock()
		switch {
		case m == Broken:
			return false
		case m == Slow:
			time.Sleep(l.Pace)
			return true
		case !m.holds(up):
			return true
		}
		<-changed
	}
}
