package operator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Bounds of what anybody who reaches the address can use up. The API is made
// for a few operators and their scripts, a handful of requests a second; an
// entry VM is small and its memory belongs to callers.
const (
	// maxConns bounds connections. Together with maxRequest it bounds the
	// memory that senders without a token can take to 192 MB.
	maxConns = 32
	// maxBody is the largest body: a preset of a megabyte, in which JSON
	// writes line breaks and quotes as two bytes.
	maxBody = 3 << 20
	// maxRequest bounds what a connection may send for one request, headers
	// included. nbhttp bounds bodies and single headers, but not the number of
	// headers: a sender of endless headers would fill the VM's memory.
	maxRequest = 2 * maxBody
	// requestTimeout bounds how long a request may take to arrive, counted
	// from the connection's start or its last answer, and how long an idle
	// connection is kept.
	requestTimeout = 15 * time.Second
	// writeTimeout bounds how long a reader may take over an answer.
	writeTimeout = 30 * time.Second
	// drainTimeout bounds how long a stop waits for orders that are being
	// carried out: a little longer than the longest of them.
	drainTimeout = submitTimeout + time.Second
)

// listener serves a handler at one address by nbhttp, within bounds.
type listener struct {
	handler http.Handler
	keys    *settings.KeyPair
	now     func() time.Time

	engine  *nbhttp.Engine
	address string
	running atomic.Int64
	ended   chan struct{}
	// meters holds a *meter by the connection's remote address.
	meters sync.Map
}

// meter counts the bytes that a connection has sent for the present request.
type meter struct{ n atomic.Int64 }

func (l *listener) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return result.Newf(result.AddressInUse, "%s: %v", addr, err)
	}
	l.address = ln.Addr().String()
	l.ended = make(chan struct{}, maxConns)
	l.engine = nbhttp.NewEngine(l.config(ln))
	l.engine.OnOpen(func(c net.Conn) { l.meters.Store(c.RemoteAddr().String(), &meter{}) })
	l.engine.OnClose(func(c net.Conn, _ error) { l.meters.Delete(c.RemoteAddr().String()) })
	l.engine.OnData(l.arrived)
	return eris.Wrap(l.engine.Start(), "admin listener")
}

func (l *listener) config(ln net.Listener) nbhttp.Config {
	cfg := nbhttp.Config{
		Network:                "tcp",
		MaxLoad:                maxConns,
		NPoller:                1,
		MessageHandlerPoolSize: maxConns,
		SupportServerOnly:      true,
		MaxHTTPBodySize:        maxRequest,
		ReadLimit:              maxRequest,
		KeepaliveTime:          requestTimeout,
		WriteTimeout:           writeTimeout,
		Handler:                http.HandlerFunc(l.serve),
		Listen:                 func(string, string) (net.Listener, error) { return ln, nil },
	}
	if l.keys == nil {
		cfg.Addrs = []string{l.address}
		return cfg
	}
	cfg.AddrConfigsTLS = []nbhttp.ConfAddr{{Addr: l.address, Network: "tcp", TLSConfig: l.keys.HTTPServer(l.now)}}
	return cfg
}

// arrived hands data on to the connection's parser and closes a connection
// that sends more than one request may take. The look-up also orders this
// after OnOpen for the race detector.
func (l *listener) arrived(c *nbio.Conn, data []byte) {
	v, ok := l.meters.Load(c.RemoteAddr().String())
	if !ok {
		return
	}
	if v.(*meter).n.Add(int64(len(data))) > maxRequest {
		_ = c.Close()
		return
	}
	c.DataHandler()(c, data)
}

// serve counts the requests that are carried out, so that a stop can wait for
// them.
func (l *listener) serve(w http.ResponseWriter, r *http.Request) {
	if v, ok := l.meters.Load(r.RemoteAddr); ok {
		v.(*meter).n.Store(0)
	}
	l.running.Add(1)
	defer l.finish()
	l.handler.ServeHTTP(w, r)
}

func (l *listener) finish() {
	l.running.Add(-1)
	select {
	case l.ended <- struct{}{}:
	default:
	}
}

// run serves until ctx ends, then waits for the orders that are being carried
// out, and stops.
func (l *listener) run(ctx context.Context) {
	<-ctx.Done()
	t := time.NewTimer(drainTimeout)
	defer t.Stop()
	for l.running.Load() > 0 {
		select {
		case <-l.ended:
		case <-t.C:
			l.engine.Stop()
			return
		}
	}
	l.engine.Stop()
}
