package eventloop

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// probe is a connection whose server end belongs to a poller. The poller sends back what the client
// end sends, which shows that it has begun a batch since.
type probe struct {
	client net.Conn
	// ended is closed when the poller has closed the connection.
	ended chan struct{}

	mu sync.Mutex // guards all below
	// current is closed when the answer under way has come, next when the one after it has; each
	// is nil if nobody waits for it.
	current, next chan struct{}
}

// probeSession marks the server ends of probes.
type probeSession struct{}

func newProbe(client net.Conn) *probe {
	return &probe{client: client, ended: make(chan struct{})}
}

// start gives the server end to e and returns when its poller has answered for the first time.
func (p *probe) start(e *nbio.Engine, server *nbio.Conn) error {
	server.SetSession(probeSession{})
	server.OnData(echo)
	if _, err := e.AddConn(server); err != nil {
		return err
	}
	go p.run()
	select {
	case <-p.turn():
		return nil
	case <-p.ended:
		return errStopped
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
		// The connection has ended, which run observes too.
		return
	}
}

// run passes on the poller's answers until the poller closes the connection.
func (p *probe) run() {
	defer close(p.ended)
	buf := make([]byte, 1)
	for {
		if _, err := p.client.Read(buf); err != nil {
			_ = p.client.Close()
			return
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
