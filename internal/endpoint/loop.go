package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"github.com/hyssoprelay/hyssoprelay/internal/eventloop"
)

// loop is the event loop of a client and the connections that it serves.
//
// Guard: the library hands a connection to its loop without a lock, so what is
// reached through the connection itself could be seen half made on another
// core. The table's lock orders the making of a conn before its first event.
//
// Lock order: mu only; nothing is called with it held.
type loop struct {
	engine *nbio.Engine
	gate   eventloop.Gate
	// lost is told that an idle connection was closed by the endpoint; it may
	// be nil.
	lost func(idle time.Duration)

	mu    sync.Mutex
	conns map[*nbio.Conn]*conn
}

// startLoop starts an event loop that reports a readable connection once and
// then waits to be told to go on, which is how reading is paused.
func startLoop(lost func(idle time.Duration)) (*loop, error) {
	l := &loop{lost: lost, conns: map[*nbio.Conn]*conn{}}
	l.engine = nbio.NewEngine(nbio.Config{
		Name:         "endpoint",
		NPoller:      1,
		EpollMod:     nbio.EPOLLET,
		EPOLLONESHOT: nbio.EPOLLONESHOT,
	})
	eventloop.InstallReadHook(l.engine, func(nb *nbio.Conn) {
		if c := l.find(nb); c != nil {
			c.onReadable()
		}
	})
	l.engine.OnClose(func(nb *nbio.Conn, err error) {
		if c := l.remove(nb); c != nil {
			l.tellLost(c)
			c.onClosed(err)
		}
	})
	// Guard: after a write of which the socket took only a part, the loop
	// forgets to listen for room again; a large request would stop half-way
	// and time out. Each part that was written asks anew.
	l.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, _ int) {
		nb.ResetPollerEvent()
	})
	return l, l.gate.StartEngine(l.engine)
}

// tellLost passes on that the endpoint closed an idle connection.
//
// Guard: an engine that restarts while nothing runs there breaks no answer, so
// its agent would take it for warm until the next load report, and a burst
// would overrun it. Its closed connections show within a millisecond.
func (l *loop) tellLost(c *conn) {
	idle, lost := c.lost(time.Now())
	if lost && l.lost != nil {
		l.lost(idle)
	}
}

// add gives c to the event loop when the loop can serve it.
func (l *loop) add(ctx context.Context, c *conn) error {
	if err := l.gate.Await(ctx, c.nb); err != nil {
		return err
	}
	l.mu.Lock()
	l.conns[c.nb] = c
	l.mu.Unlock()
	_, err := l.engine.AddConn(c.nb)
	if err != nil {
		l.remove(c.nb)
	}
	return err
}

func (l *loop) find(nb *nbio.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[nb]
}

func (l *loop) remove(nb *nbio.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conns[nb]
	delete(l.conns, nb)
	return c
}

// stop closes all connections and ends the loop.
func (l *loop) stop() { l.gate.Stop() }
