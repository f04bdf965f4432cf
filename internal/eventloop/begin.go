package eventloop

import (
	"errors"
	"net"
	"os"
	"syscall"

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
// gets the next one.
func awaitPollers(e *nbio.Engine) (err error) {
	met := map[int]bool{}
	var held []int
	defer func() {
		for _, fd := range held {
			err = errors.Join(err, syscall.Close(fd))
		}
	}()
	for range roundsPerPoller * e.NPoller {
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return err
		}
		held = append(held, pair[0])
		poller, err := meet(e, pair)
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

// meet returns the number of the poller that has closed its side of pair.
func meet(e *nbio.Engine, pair [2]int) (int, error) {
	f := os.NewFile(uintptr(pair[1]), "poller")
	std, err := net.FileConn(f)
	if err = errors.Join(err, f.Close()); err != nil {
		return 0, err
	}
	nb, err := nbio.NBConn(std)
	if err != nil {
		return 0, errors.Join(err, std.Close())
	}
	poller := nb.Hash() % e.NPoller
	if err := syscall.Shutdown(pair[0], syscall.SHUT_WR); err != nil {
		return 0, errors.Join(err, nb.Close())
	}
	if _, err := e.AddConn(nb); err != nil {
		return 0, err
	}
	return poller, awaitEnd(pair[0])
}

// awaitEnd waits until the other side has closed.
func awaitEnd(fd int) error {
	for {
		n, err := syscall.Read(fd, make([]byte, 1))
		if errors.Is(err, syscall.EINTR) || n > 0 {
			continue
		}
		return err
	}
}
