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

	"github.com/hyssoprelay/hyssoprelay/internal/eventloop"
	"github.com/hyssoprelay/hyssoprelay/internal/inflight"
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
	// maxRequest bounds what a connection, which carries one request, may
	// send, headers included. nbhttp bounds bodies and single headers, but not the number of
	// headers: a sender of endless headers would fill the VM's memory.
	maxRequest = 2 * maxBody
	// requestTimeout is a listener's timeout, counted from the connection's
	// start or its last answer. Idle connections are kept as long.
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
	// timeout bounds how long a request may take to arrive.
	timeout time.Duration

	engine  *nbhttp.Engine
	gate    eventloop.Gate
	address string
	running inflight.Counter
	// byConn and byAddr hold a *meter by the connection and by its remote
	// address: data comes with the one, requests come with the other.
	byConn sync.Map
	byAddr sync.Map
}

// meter is what the listener knows of one connection.
type meter struct {
	// received counts the bytes that came.
	received atomic.Int64
	// asked says that a whole request came.
	asked atomic.Bool
}

func (l *listener) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return result.Newf(result.AddressInUse, "%s: %v", addr, err)
	}
	l.address = ln.Addr().String()
	l.engine = nbhttp.NewEngine(l.config(ln))
	eventloop.InstallHooks(l.engine, l.opened, l.arrived)
	l.engine.OnClose(l.closed)
	return eris.Wrap(l.gate.StartHTTP(l.engine), "admin listener")
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
		KeepaliveTime:          l.timeout,
		WriteTimeout:           writeTimeout,
		Handler:                http.HandlerFunc(l.serve),
		Listen:                 func(string, string) (net.Listener, error) { return l.gate.Listener(ln), nil },
	}
	if l.keys == nil {
		cfg.Addrs = []string{l.address}
		return cfg
	}
	cfg.AddrConfigsTLS = []nbhttp.ConfAddr{{Addr: l.address, Network: "tcp", TLSConfig: l.keys.HTTPServer(l.now)}}
	return cfg
}

func (l *listener) opened(c net.Conn) {
	m := &meter{}
	l.byAddr.Store(c.RemoteAddr().String(), m)
	l.byConn.Store(c, m)
}

func (l *listener) closed(c net.Conn, _ error) {
	v, ok := l.byConn.LoadAndDelete(c)
	if !ok {
		return
	}
	l.byAddr.Delete(c.RemoteAddr().String())
	if v.(*meter).asked.Load() {
		l.running.End()
	}
}

// arrived counts what a connection sends and reports false when that is more
// than one request may take.
func (l *listener) arrived(c *nbio.Conn, n int) bool {
	v, ok := l.byConn.Load(c)
	return ok && v.(*meter).received.Add(int64(n)) <= maxRequest
}

// serve answers one request and leaves it to the other side to close the
// connection.
//
// It guards against answers that are cut: nbio drops what waits to be sent when
// a connection closes, and nbhttp closes one whose request says so as soon as
// the answer is queued. A long time line then ends in the middle, and an
// operator's order in a closed connection when the entry stops. So nothing is
// closed here; the answer asks the other side to close, and a request counts as
// running until that side, which has read the whole answer then, has closed.
// Whoever does not close runs into the listener's timeout. A further request on
// the connection is refused: its order would be carried out although the other
// side has been told that nothing behind the first is read.
func (l *listener) serve(w http.ResponseWriter, r *http.Request) {
	further := false
	if v, ok := l.byAddr.Load(r.RemoteAddr); ok {
		further = v.(*meter).asked.Swap(true)
		if !further {
			l.running.Begin()
		}
	}
	r.Close = false
	w.Header().Set("Connection", "close")
	if r.Method == http.MethodHead {
		w = headWriter{w}
	}
	if further {
		writeError(w, result.New(result.MalformedOrder, "a connection carries one request"))
		return
	}
	l.handler.ServeHTTP(w, r)
}

// headWriter leaves out the body of a response to HEAD, which nbhttp would send: the other side would
// read it as the next response.
type headWriter struct{ http.ResponseWriter }

// Write implements http.ResponseWriter.
func (headWriter) Write(b []byte) (int, error) { return len(b), nil }

// run serves until ctx ends, then waits for the orders that are being carried
// out, and stops.
func (l *listener) run(ctx context.Context) {
	<-ctx.Done()
	patience, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	l.running.Wait(patience)
	l.gate.Stop()
}
