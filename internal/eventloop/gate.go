package eventloop

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
)

const (
	// reachTimeout bounds the time for which Gate opens connections to reach all pollers. How many it
	// takes depends on which numbers are free in the process, and changes while others are opened and
	// closed; one takes about 0.1 ms.
	reachTimeout = 2 * time.Second
	// replaceRetryDelay is the delay between two attempts to replace a probe's connection.
	replaceRetryDelay = 50 * time.Millisecond
	// dialTimeout bounds the opening of one connection within the process.
	dialTimeout = time.Second
)

var (
	errPollerNotReached = errors.New("eventloop: no connection reached a poller")
	errStopped          = errors.New("eventloop: the event loop has stopped")
)

// Gate starts an nbio engine and holds back each new connection until the engine can serve it. An
// engine has one Gate. The zero value is ready for use; it must not be copied. Set the exported
// fields before the start.
//
// A poller takes events in batches and looks each one up by its descriptor's number. If another
// goroutine closes a connection while its hang-up waits in the batch, and a new connection gets the
// same number, the poller takes the hang-up for one of the new connection and closes that. Its peer
// sees the end of the stream in place of an answer, although its request may have been read.
// Therefore a connection is given to the engine only after its poller has begun a batch later than
// the connection got its number: no earlier batch, which might name the number, remains then, and
// later ones cannot name the closed connection.
//
// A Gate also guards against a Stop that waits forever: a poller clears its shutdown flag when its
// goroutine first runs, so a Stop right after the start could be lost. The pollers of a started
// Gate are running.
type Gate struct {
	// OnProbeLost, if set, is called when the connection through which the Gate asks a poller has
	// ended, before it is replaced. It must not block.
	OnProbeLost func(cause error)
	// OnUnread, if set, is called when a connection is closed because its poller did not answer in
	// time. It must not block.
	OnUnread func()

	once    sync.Once
	started chan struct{} // closed when probes is set
	probes  []*probe      // by poller
	engine  *nbio.Engine
	// stopEngine stops the engine with its listeners.
	stopEngine func()
	// stopping is done once Stop is called.
	stopping context.Context
	stop     context.CancelFunc
	// mu is held while connections for probes are added to the engine.
	mu sync.Mutex
}

func (g *Gate) init() {
	g.once.Do(func() {
		g.started = make(chan struct{})
		g.stopping, g.stop = context.WithCancel(context.Background())
	})
}

// StartEngine starts e and returns once each of its pollers is running. It returns an error if the
// engine does not start, a probe connection fails, or a poller is not reached.
func (g *Gate) StartEngine(e *nbio.Engine) error {
	g.init()
	if err := e.Start(); err != nil {
		return err
	}
	return eris.Wrap(g.start(e, e.Stop), "start the event loop")
}

// StartHTTP does the same as StartEngine for an HTTP engine.
func (g *Gate) StartHTTP(e *nbhttp.Engine) error {
	g.init()
	if err := e.Start(); err != nil {
		return err
	}
	return eris.Wrap(g.start(e.Engine, e.Stop), "start the event loop")
}

// Stop stops the engine. The Gate must have been started. The engine must not be stopped in another
// way: its Stop waits for all connections to be closed, also for one that replaces a probe meanwhile.
func (g *Gate) Stop() {
	g.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopEngine()
}

// start puts a probe into each poller of e, which stop stops.
func (g *Gate) start(e *nbio.Engine, stop func()) error {
	g.engine, g.stopEngine = e, stop
	missing := map[int]*probe{}
	for i := range e.NPoller {
		p := &probe{gate: g, poller: i, ended: make(chan struct{})}
		g.probes = append(g.probes, p)
		missing[i] = p
	}
	if err := g.connect(missing); err != nil {
		return err
	}
	for _, p := range g.probes {
		go p.run(g.stopping)
	}
	close(g.started)
	for _, p := range g.probes {
		if err := p.await(g.stopping); err != nil {
			return err
		}
	}
	return nil
}

// connect gives each of the missing probes, by poller, a connection to its poller. It is not to be
// called by two goroutines at once.
//
// A connection's poller is determined by its descriptor's number. Therefore the client ends of
// connections to other pollers stay open until all missing ones have been reached: they occupy the
// lower numbers, so that each further connection gets the next. The probes use TCP over loopback
// because socketpair is not available on every platform.
func (g *Gate) connect(missing map[int]*probe) (err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	surplus := []io.Closer{ln}
	defer func() {
		for _, c := range surplus {
			err = errors.Join(err, c.Close())
		}
	}()
	for end := time.Now().Add(reachTimeout); len(missing) > 0; {
		if time.Now().After(end) {
			return errPollerNotReached
		}
		client, server, err := dialPair(ln)
		if err != nil {
			return err
		}
		p, ok := missing[server.Hash()%g.engine.NPoller]
		if !ok {
			surplus = append(surplus, client)
			if err := server.Close(); err != nil {
				return err
			}
			continue
		}
		if err := p.attach(g.engine, client, server); err != nil {
			return err
		}
		delete(missing, p.poller)
	}
	return nil
}

// replace gives a probe a new connection in place of one that has ended. It reports false if the
// Gate stops first.
//
// If the poller of a lost probe could no longer be asked, each new connection to it would be closed
// unread for the rest of the process's life, while the process goes on saying that it is ready.
func (g *Gate) replace(ctx context.Context, p *probe, cause error) bool {
	if ctx.Err() != nil {
		return false
	}
	if g.OnProbeLost != nil {
		g.OnProbeLost(cause)
	}
	for !g.tryReplace(ctx, p) {
		if !pause.For(ctx, replaceRetryDelay) {
			return false
		}
	}
	return ctx.Err() == nil
}

// tryReplace makes one attempt to replace the connection of a probe. It reports true as well if there
// is nothing left to do because ctx is done.
func (g *Gate) tryReplace(ctx context.Context, p *probe) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return true
	}
	return g.connect(map[int]*probe{p.poller: p}) == nil
}

// dialPair connects to ln and returns both ends of the connection.
func dialPair(ln net.Listener) (client net.Conn, server *nbio.Conn, err error) {
	client, err = net.DialTimeout("tcp", ln.Addr().String(), dialTimeout)
	if err != nil {
		return nil, nil, err
	}
	accepted, err := ln.Accept()
	if err != nil {
		return nil, nil, errors.Join(err, client.Close())
	}
	server, err = nbio.NBConn(accepted)
	if err != nil {
		return nil, nil, errors.Join(err, accepted.Close(), client.Close())
	}
	return client, server, nil
}

// Await waits until c may be added to the engine. It returns an error if ctx is done first or the
// engine has stopped. The Gate must have been started or be about to start.
func (g *Gate) Await(ctx context.Context, c *nbio.Conn) error {
	if err := g.awaitStart(ctx); err != nil {
		return err
	}
	return g.probes[c.Hash()%len(g.probes)].await(ctx)
}

// Responds reports whether all pollers answer within the time for which accepted connections wait for
// theirs. If not, some of them are closed unread.
func (g *Gate) Responds(ctx context.Context) bool {
	ctx, stop := withMaxAwait(ctx)
	defer stop()
	return g.awaitAll(ctx) == nil
}

// awaitAll waits until all pollers have answered.
func (g *Gate) awaitAll(ctx context.Context) error {
	if err := g.awaitStart(ctx); err != nil {
		return err
	}
	turns := make([]<-chan struct{}, len(g.probes))
	for i, p := range g.probes {
		turns[i] = p.turn()
	}
	for i, p := range g.probes {
		if err := p.awaitTurn(ctx, turns[i]); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gate) awaitStart(ctx context.Context) error {
	g.init()
	select {
	case <-g.started:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Convert returns conn as a connection that may be added to the engine. It closes conn if it
// returns an error.
func (g *Gate) Convert(ctx context.Context, conn net.Conn) (*nbio.Conn, error) {
	c, err := nbio.NBConn(conn)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	if err := g.Await(ctx, c); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}
