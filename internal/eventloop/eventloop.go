// Package eventloop starts nbio event loops, installs their hooks, and gives them connections.
package eventloop

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// InstallHooks sets the OnOpen and OnData hooks of e such that the race detector sees that a
// connection is accepted before it is read. The kernel guarantees that order, because epoll_ctl
// hands the descriptor to the event loop, but the race detector does not know this and reports a
// race in every server. Both hooks may be nil. onData receives the number of bytes just read
// from a connection and returns false to close it.
func InstallHooks(e *nbhttp.Engine, onOpen func(net.Conn), onData func(c *nbio.Conn, n int) bool) {
	var accepted atomic.Int64
	e.OnOpen(func(c net.Conn) {
		if onOpen != nil {
			onOpen(c)
		}
		accepted.Add(1)
	})
	e.OnData(func(c *nbio.Conn, data []byte) {
		accepted.Load()
		if isProbe(c) {
			c.DataHandler()(c, data)
			return
		}
		if onData != nil && !onData(c, len(data)) {
			_ = c.Close()
			return
		}
		c.DataHandler()(c, data)
	})
}

// InstallReadHook sets the OnRead hook of e, which is called when a connection can be read.
func InstallReadHook(e *nbio.Engine, onRead func(*nbio.Conn)) {
	e.OnRead(func(c *nbio.Conn) {
		if isProbe(c) {
			answerProbe(c)
			return
		}
		onRead(c)
	})
}
