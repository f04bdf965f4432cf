package eventloop

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

// maxProbesPerPoller bounds the connections that Gate opens at its start to reach all pollers, as a
// multiple of the number of pollers.
const maxProbesPerPoller = 8

var (
	errPollerNotReached = errors.New("eventloop: no connection reached a poller")
	errStopped          = errors.New("eventloop: the event loop has stopped")
)

// Gate starts an nbio engine and holds back each new connection until the engine can serve it. An
// engine has one Gate. The zero value is ready for use; it must not be copied.
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
	once    sync.Once
	started chan struct{} // closed when probes is set
	probes  []*probe      // by poller
}

func (g *Gate) init() {
	g.once.Do(func() { g.started = make(chan struct{}) })
}

// StartEngine starts e and returns once each of its pollers is running. It returns an error if the
// engine does not start, a probe connection fails, or a poller is not reached.
func (g *Gate) StartEngine(e *nbio.Engine) error {
	g.init()
	if err := e.Start(); err != nil {
		return err
	}
	return eris.Wrap(g.start(e), "start the event loop")
}

// StartHTTP does the same as StartEngine for an HTTP engine.
func (g *Gate) StartHTTP(e *nbhttp.Engine) error {
	g.init()
	if err := e.Start(); err != nil {
		return err
	}
	return eris.Wrap(g.start(e.Engine), "start the event loop")
}

// start puts a probe into each poller of e. A connection's poller is determined by its descriptor's
// number. Therefore the client ends of connections to pollers that have a probe already stay open
// until all pollers have been reached: they occupy the lower numbers, so that each further
// connection gets the next. The probes use TCP over loopback because socketpair is not available on
// every platform.
func (g *Gate) start(e *nbio.Engine) (err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	probes := make([]*probe, e.NPoller)
	var surplus []io.Closer
	defer func() {
		for _, c := range surplus {
			err = errors.Join(err, c.Close())
		}
		err = errors.Join(err, ln.Close())
	}()
	reached := 0
	for range maxProbesPerPoller * e.NPoller {
		if reached == e.NPoller {
			break
		}
		client, server, err := dialPair(ln)
		if err != nil {
			return err
		}
		i := server.Hash() % e.NPoller
		if probes[i] != nil {
			surplus = append(surplus, client)
			if err := server.Close(); err != nil {
				return err
			}
			continue
		}
		probes[i] = newProbe(client)
		if err := probes[i].start(e, server); err != nil {
			return err
		}
		reached++
	}
	if reached < e.NPoller {
		return errPollerNotReached
	}
	g.probes = probes
	close(g.started)
	return nil
}

// dialPair connects to ln and returns both ends of the connection.
func dialPair(ln net.Listener) (client net.Conn, server *nbio.Conn, err error) {
	client, err = net.Dial("tcp", ln.Addr().String())
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
	g.init()
	select {
	case <-g.started:
	case <-ctx.Done():
		return ctx.Err()
	}
	p := g.probes[c.Hash()%len(g.probes)]
	select {
	case <-p.turn():
		return nil
	case <-p.ended:
		return errStopped
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
