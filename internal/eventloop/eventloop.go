// Package eventloop holds what all uses of nbio's event loop share.
package eventloop

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// Order makes the order between accepting a connection and reading from it
// visible to the race detector. The kernel provides that order (a descriptor is
// handed to the event loop by epoll_ctl), but the race detector does not see
// it and reports each server that runs under it. Order takes the engine's
// OnOpen and OnData. Both hooks may be nil; arrived is told how many bytes a
// connection has sent and returns false to close it.
func Order(e *nbhttp.Engine, opened func(net.Conn), arrived func(c *nbio.Conn, n int) bool) {
	var accepted atomic.Int64
	e.OnOpen(func(c net.Conn) {
		if opened != nil {
			opened(c)
		}
		accepted.Add(1)
	})
	e.OnData(func(c *nbio.Conn, data []byte) {
		accepted.Load()
		if arrived != nil && !arrived(c, len(data)) {
			_ = c.Close()
			return
		}
		c.DataHandler()(c, data)
	})
}
