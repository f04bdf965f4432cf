// Package line is a stand-in for a bad line to a server. A Lossy one takes
// requests at an address of its own and loses their answers; it passes on one
// request of at most a megabyte for each connection and one at a time. A Faulty
// one passes connections on and slows, breaks or silences them when told to.
package line

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// maxRequest is the largest request in bytes.
const maxRequest = 1 << 20

// Lossy is a line that passes requests on and closes the connection in place
// of the answer. Set the exported fields, call Listen, then Run.
type Lossy struct {
	// To is the server's address, as IP:port; empty means that requests are
	// lost too.
	To string
	// Delay, when above zero, is how long a request is kept before it is passed
	// on, after its sender has been cut off. Else the sender is cut off when the
	// server begins to answer.
	Delay time.Duration

	ln net.Listener
}

// Listen opens the line at a free port and returns the address.
func (l *Lossy) Listen() (string, error) {
	ln, err := standin.Listen()
	if err != nil {
		return "", eris.Wrap(err, "lossy line")
	}
	l.ln = ln
	return ln.Addr().String(), nil
}

// Run passes requests on until ctx ends. It returns when the last of them has
// been passed on.
func (l *Lossy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.ln.Close() })
	defer stop()
	for {
		c, err := l.ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "lossy line")
		}
		l.lose(c)
	}
}

// lose passes one request on, waits for the answer's begin and drops it.
func (l *Lossy) lose(c net.Conn) {
	defer func() { _ = c.Close() }()
	request := make([]byte, maxRequest)
	n, err := c.Read(request)
	if err != nil || l.To == "" {
		return
	}
	if l.Delay > 0 {
		_ = c.Close()
		time.Sleep(l.Delay)
	}
	s, err := net.Dial("tcp", l.To)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	if _, err := s.Write(request[:n]); err != nil {
		return
	}
	_, _ = s.Read(make([]byte, 1))
}
