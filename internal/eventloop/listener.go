package eventloop

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
)

const (
	// maxAwaited is the number of accepted connections that may wait for their poller. Further ones
	// wait in the kernel.
	maxAwaited = 256
	// maxAwait is the longest time that one of them waits. Callers whose requests are not read within
	// a second give up. Closed unread, a request may be sent to another process at once.
	maxAwait = 500 * time.Millisecond
)

// Listen listens at an address like net.Listen. The connections that the listener accepts may be
// added to the engine.
func (g *Gate) Listen(network, addr string) (net.Listener, error) {
	ln, err := net.Listen(network, addr)
	if err != nil {
		return nil, err
	}
	return g.Listener(ln), nil
}

// Listener returns a listener for the engine that accepts the connections of ln. Closing it closes
// ln.
func (g *Gate) Listener(ln net.Listener) net.Listener {
	g.init()
	ctx, cancel := context.WithCancel(context.Background())
	return &listener{
		Listener: ln, gate: g, ctx: ctx, cancel: cancel,
		ready: make(chan *nbio.Conn), failed: make(chan error), slots: make(chan struct{}, maxAwaited),
	}
}

// listener accepts connections in the background, so that one busy poller does not hold up the
// connections of the others.
type listener struct {
	net.Listener
	gate *Gate
	// ctx is done when the listener is closed.
	ctx    context.Context
	cancel context.CancelFunc

	begin  sync.Once
	ready  chan *nbio.Conn
	failed chan error
	slots  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.begin.Do(func() { go l.run() })
	select {
	case c := <-l.ready:
		return c, nil
	case err := <-l.failed:
		return nil, err
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It closes the connections that nobody has accepted.
func (l *listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// run accepts connections until the listener is closed.
func (l *listener) run() {
	for l.ctx.Err() == nil {
		conn, err := l.Listener.Accept()
		if err != nil {
			l.fail(err)
			continue
		}
		l.slots <- struct{}{}
		go func() {
			defer func() { <-l.slots }()
			l.admit(conn)
		}()
	}
}

func (l *listener) fail(err error) {
	select {
	case l.failed <- err:
	case <-l.ctx.Done():
	}
}

// withMaxAwait returns a context that is done when the process has been running for maxAwait. stop
// must be called in the end.
func withMaxAwait(ctx context.Context) (limited context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	tooLong := pause.NewWatchdog(maxAwait, time.Now(), cancel)
	return ctx, func() {
		tooLong.Stop()
		cancel()
	}
}

// admit hands conn to Accept when the engine can serve it, or closes it after maxAwait.
func (l *listener) admit(conn net.Conn) {
	ctx, stop := withMaxAwait(l.ctx)
	defer stop()
	c, err := l.gate.Convert(ctx, conn)
	if err != nil {
		l.noteUnread()
		return
	}
	select {
	case l.ready <- c:
	case <-ctx.Done():
		_ = c.Close()
		l.noteUnread()
	}
}

// noteUnread reports that a connection was closed unread, unless the listener is closed.
func (l *listener) noteUnread() {
	if l.ctx.Err() == nil && l.gate.OnUnread != nil {
		l.gate.OnUnread()
	}
}
