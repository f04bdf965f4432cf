package eventloop

import (
	"errors"
	"io"
	"net"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

// maxProbesPerPoller bounds the probe connections that StartEngine and StartHTTP open, as a
// multiple of the number of pollers.
const maxProbesPerPoller = 8

var errPollerNotReached = errors.New("eventloop: no connection reached a poller")

// StartEngine starts e and returns once each of its pollers is running. It returns an error if the
// engine does not start, a probe connection fails, or a poller is not reached.
//
// A poller clears its shutdown flag when its goroutine first runs. If Stop sets the flag before
// that, right after the start, Stop waits forever and a process told to stop during startup never
// exits. A poller that has served one connection is running, so a later Stop takes effect.
func StartEngine(e *nbio.Engine) error {
	if err := e.Start(); err != nil {
		return err
	}
	return eris.Wrap(awaitPollers(e), "start the event loop")
}

// StartHTTP does the same as StartEngine for an HTTP engine.
func StartHTTP(e *nbhttp.Engine) error {
	if err := e.Start(); err != nil {
		return err
	}
	return eris.Wrap(awaitPollers(e.Engine), "start the event loop")
}

// awaitPollers returns once each poller has served a probe connection. The client end of a probe
// is closed for writing, and the poller closes the server end in response. A connection's poller
// is determined by its file descriptor. Therefore the client ends stay open until all pollers have
// been reached: they occupy the lower descriptors, so that each probe gets the next one. The
// probes use TCP over loopback because socketpair is not available on every platform.
func awaitPollers(e *nbio.Engine) (err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	reached := map[int]bool{}
	var clients []net.Conn
	defer func() {
		for _, c := range clients {
			err = errors.Join(err, c.Close())
		}
		err = errors.Join(err, ln.Close())
	}()
	for range maxProbesPerPoller * e.NPoller {
		client, server, err := dialPair(ln)
		if err != nil {
			return err
		}
		clients = append(clients, client)
		poller, err := probePoller(e, client, server)
		if err != nil {
			return err
		}
		reached[poller] = true
		if len(reached) == e.NPoller {
			return nil
		}
	}
	return errPollerNotReached
}

// dialPair connects to ln and returns both ends of the connection.
func dialPair(ln net.Listener) (client *net.TCPConn, server net.Conn, err error) {
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	server, err = ln.Accept()
	if err != nil {
		return nil, nil, errors.Join(err, c.Close())
	}
	return c.(*net.TCPConn), server, nil
}

// probePoller adds the server end to e, waits until its poller has closed it, and returns the
// index of that poller.
func probePoller(e *nbio.Engine, client *net.TCPConn, server net.Conn) (int, error) {
	nb, err := nbio.NBConn(server)
	if err != nil {
		return 0, errors.Join(err, server.Close())
	}
	poller := nb.Hash() % e.NPoller
	if err := client.CloseWrite(); err != nil {
		return 0, errors.Join(err, nb.Close())
	}
	if _, err := e.AddConn(nb); err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, client)
	return poller, err
}
