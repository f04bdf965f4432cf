package eventloop

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// probe asks one poller through a connection whose server end belongs to it. The poller sends back
// what the client end sends, which shows that it has begun a batch since.
type probe struct {
	gate   *Gate
	poller int
	// ended is closed when the engine stops.
	ended chan struct{}

	mu     sync.Mutex // guards all below
	client net.Conn
	// current is closed when the answer under way has come, next when the one after it has; each
	// is nil if nobody waits for it.
	current, next chan struct{}
}

// probeSession marks the server ends of probes.
type probeSession struct{}

// attach gives the probe a new connection, and its server end to e. If an answer was under way, the
// poller is asked for it again.
func (p *probe) attach(e *nbio.Engine, client net.Conn, server *nbio.Conn) error {
	server.SetSession(probeSession{})
	server.OnData(echo)
	if _, err := e.AddConn(server); err != nil {
		return errors.Join(err, client.Close())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client = client
	if p.current != nil {
		p.ask()
	}
	return nil
}

// await waits until the poller has begun a batch that is later than this call. It returns an error if
// ctx is done first or the engine stops.
func (p *probe) await(ctx context.Context) error { return p.awaitTurn(ctx, p.turn()) }

// awaitTurn waits for a turn of the probe.
func (p *probe) awaitTurn(ctx context.Context, turn <-chan struct{}) error {
	select {
	case <-turn:
		return nil
	case <-p.ended:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// turn returns a channel that is closed when the poller has begun a batch that is later than this
// call.
func (p *probe) turn() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = make(chan struct{})
		p.ask()
		return p.current
	}
	// The answer under way may belong to a batch that has begun already.
	if p.next == nil {
		p.next = make(chan struct{})
	}
	return p.next
}

// ask sends one byte. mu must be held; one byte at a time is under way, so the write does not wait.
func (p *probe) ask() {
	if _, err := p.client.Write([]byte{0}); err != nil {
		// The connection has ended: the one that replaces it is asked.
		return
	}
}

// run passes on the poller's answers until ctx is done, over one connection after the other.
func (p *probe) run(ctx context.Context) {
	defer close(p.ended)
	for {
		if cause := p.passOn(); !p.gate.replace(ctx, p, cause) {
			return
		}
	}
}

// passOn passes on the poller's answers until the connection ends, and returns the reason.
func (p *probe) passOn() error {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	buf := make([]byte, 1)
	for {
		if _, err := client.Read(buf); err != nil {
			return errors.Join(err, client.Close())
		}
		p.answered()
	}
}

func (p *probe) answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.current)
	p.current, p.next = p.next, nil
	if p.current != nil {
		p.ask()
	}
}

// isProbe reports whether c is the server end of a probe.
func isProbe(c *nbio.Conn) bool {
	_, ok := c.Session().(probeSession)
	return ok
}

// echo answers what a probe's server end has received. If the write fails, nbio closes the
// connection, which ends the probe.
func echo(c *nbio.Conn, data []byte) { _, _ = c.Write(data) }

// answerProbe reads what a probe's server end has received and answers it.
func answerProbe(c *nbio.Conn) {
	buf := make([]byte, 1)
	if n, err := c.Read(buf); err == nil && n > 0 {
		echo(c, buf[:n])
	}
	c.ResetPollerEvent()
}
