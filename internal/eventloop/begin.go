package eventloop

import (
	"errors"
	"io"
	"net"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

// roundsPerPoller bounds the search for a connection to each poller.
const roundsPerPoller = 8

var errNoPoller = errors.New("eventloop: no connection reached a poller")

// Begin starts e and returns when each of its pollers runs.
//
// Guard: a poller clears the order to stop when its goroutine first runs. An
// engine that is stopped right after its start may order the stop before that,
// and then waits for ever: a process that is told to leave as it starts never
// ends. A poller that has answered once runs, and later orders hold.
func Begin(e *nbio.Engine) error {
	if err := e.Start(); err != nil {
		return err
	}
	return eris.Wrap(awaitPollers(e), "start the event loop")
}

// Start is Begin for an engine that serves HTTP.
func Start(e *nbhttp.Engine) error {
	if err := e.Start(); err != nil {
		return err
	}
	return eris.Wrap(awaitPollers(e.Engine), "start the event loop")
}

// awaitPollers gives each poller a connection whose other side has closed, and
// waits until the poller has closed it as well. Which poller serves a
// connection follows from its descriptor, so the other sides stay open until
// all pollers have been met: they hold the lower descriptors, and each round
// gets the next one. The connections are TCP over loopback: a pair of Unix
// sockets is not to be had on each platform.
func awaitPollers(e *nbio.Engine) (err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	met := map[int]bool{}
	var held []net.Conn
	defer func() {
		for _, c := range held {
			err = errors.Join(err, c.Close())
		}
		err = errors.Join(err, ln.Close())
	}()
	for range roundsPerPoller * e.NPoller {
		ours, theirs, err := pair(ln)
		if err != nil {
			return err
		}
		held = append(held, ours)
		poller, err := meet(e, ours, theirs)
		if err != nil {
			return err
		}
		met[poller] = true
		if len(met) == e.NPoller {
			return nil
		}
	}
	return errNoPoller
}

// pair returns the two ends of a connection.
func pair(ln net.Listener) (ours *net.TCPConn, theirs net.Conn, err error) {
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	theirs, err = ln.Accept()
	if err != nil {
		return nil, nil, errors.Join(err, c.Close())
	}
	return c.(*net.TCPConn), theirs, nil
}

// meet returns the number of the poller that has closed its side of the pair.
func meet(e *nbio.Engine, ours *net.TCPConn, theirs net.Conn) (int, error) {
	nb, err := nbio.NBConn(theirs)
	if err != nil {
		return 0, errors.Join(err, theirs.Close())
	}
	poller := nb.Hash() % e.NPoller
	if err := ours.CloseWrite(); err != nil {
		return 0, errors.Join(err, nb.Close())
	}
	if _, err := e.AddConn(nb); err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, ours)
	return poller, err
}
