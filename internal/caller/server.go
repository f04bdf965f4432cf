package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/eventloop"
	"github.com/hyssoprelay/hyssoprelay/internal/inflight"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// oversize is how many times the body limit is still read, so that the
	// sender gets a numbered answer; a larger body only loses its connection.
	oversize = 4
	// headBytes is how much a request's headers may take. nbhttp bounds single
	// headers and not their number: without a bound of our own, a sender of
	// endless headers would fill the VM's memory.
	headBytes = 64 << 10
	// defaultReadTimeout bounds the time in which a request must arrive, so
	// that senders of one byte a second don't hold connections for ever.
	defaultReadTimeout = 30 * time.Second
	// cutAfter is how long after its time a request's connection is cut when
	// the answer to it could not be given.
	cutAfter = time.Second
	// spareConns are the connections beyond the limit that are still met, to be
	// told so; more are closed unheard.
	spareConns = 64
)

// Handler runs the requests that a Server has read. Serve must finish the
// reply before it returns; ctx ends when the caller leaves.
type Handler interface {
	Serve(ctx context.Context, r *Request, w *Reply)
	// Ready returns nil when the entry may be given requests.
	Ready() error
}

// Forwarder runs requests that are passed on as they came. Forward must finish
// the reply before it returns; ctx ends when the caller leaves. The header and
// the body belong to Forward.
type Forwarder interface {
	Forward(ctx context.Context, r *Raw, w *Reply)
}

// Raw is a request as it came.
type Raw struct {
	Method string
	// Host is in lower case.
	Host string
	// Target is the path with the query as the caller wrote it, and Path the
	// part before the query.
	Target, Path string
	Header       http.Header
	Body         []byte
	// At is when the request had arrived whole.
	At time.Time
}

// Server meets callers at one address. Set the exported fields before Run.
type Server struct {
	// Addr is where to listen, as IP:port.
	Addr string
	// TLS is nil for plain TCP. It is of nbio's copy of the standard library's
	// package, which works without blocking.
	TLS *tls.Config
	// BodyLimit is the largest body in bytes.
	BodyLimit int
	// MaxConns is the largest number of callers' connections.
	MaxConns int
	// ReadTimeout bounds the time from a request's first byte to its last, and
	// IdleTimeout the time between requests.
	ReadTimeout time.Duration
	IdleTimeout time.Duration
	// Handler runs the requests.
	Handler Handler
	// Forwarder, when set, runs all requests in place of Handler.
	Forwarder Forwarder
	// Now is the clock of Raw.At; nil means the process's own.
	Now func() time.Time

	engine   *nbhttp.Engine
	conns    sync.Map // *nbio.Conn to *conn
	running  inflight.Count
	refusing atomic.Bool
	closing  atomic.Bool
}

// Listen opens the server's address and begins to serve.
func (s *Server) Listen() error {
	if s.BodyLimit <= 0 || s.MaxConns <= 0 {
		return result.New(result.BadSetting, "body limit and connections must be above zero")
	}
	if s.ReadTimeout <= 0 {
		s.ReadTimeout = defaultReadTimeout
	}
	if s.IdleTimeout <= 0 {
		s.IdleTimeout = defaultReadTimeout
	}
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return result.Newf(result.AddressInUse, "%s: %v", s.Addr, err)
	}
	s.Addr = ln.Addr().String()
	s.engine = nbhttp.NewEngine(s.config(ln))
	eventloop.Order(s.engine, s.opened, s.arrived)
	s.engine.OnClose(s.closedConn)
	s.engine.OnWrittenSize(s.written)
	return eris.Wrap(eventloop.Start(s.engine), "caller server")
}

func (s *Server) config(ln net.Listener) nbhttp.Config {
	cfg := nbhttp.Config{
		Network:         "tcp",
		MaxLoad:         s.MaxConns + spareConns,
		MaxHTTPBodySize: s.BodyLimit * oversize,
		ReadLimit:       s.BodyLimit * oversize,
		// nbhttp sets this deadline a moment after it begins to read, so a
		// longer one would replace that of a request which has begun to arrive.
		KeepaliveTime:  s.ReadTimeout + cutAfter,
		RetainHTTPBody: false,
		Handler:        http.HandlerFunc(s.take),
		Listen:         func(string, string) (net.Listener, error) { return ln, nil },
	}
	if s.TLS == nil {
		cfg.Addrs = []string{s.Addr}
		return cfg
	}
	cfg.AddrConfigsTLS = []nbhttp.ConfAddr{{Addr: s.Addr, Network: "tcp", TLSConfig: s.TLS}}
	return cfg
}

// Address returns the address listened on, as IP:port.
func (s *Server) Address() string { return s.Addr }

// Running returns how many requests have not been answered to their end.
func (s *Server) Running() int { return s.running.Running() }

// Online returns how many callers are connected.
func (s *Server) Online() int { return s.engine.Online() }

// Announce asks callers to connect elsewhere: each answer from now on closes
// its connection. Requests are still taken.
func (s *Server) Announce() { s.closing.Store(true) }

// CloseIdle closes the connections on which no request is being read or
// answered.
func (s *Server) CloseIdle() {
	s.conns.Range(func(key, value any) bool {
		if value.(*conn).resting() {
			_ = key.(*nbio.Conn).Close()
		}
		return true
	})
}

// Refuse answers each further request with shuttingDown.
func (s *Server) Refuse() {
	s.closing.Store(true)
	s.refusing.Store(true)
}

// Run serves until ctx ends and then waits until no request runs, or until
// drain has passed. It must follow Listen.
func (s *Server) Run(ctx context.Context, drain time.Duration) error {
	<-ctx.Done()
	s.Refuse()
	patience, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	s.running.Wait(patience)
	s.engine.Stop()
	return nil
}

func (s *Server) opened(w net.Conn) {
	if c := underlying(w); c != nil {
		s.conns.Store(c, newConn())
	}
}

func (s *Server) closedConn(w net.Conn, _ error) {
	v, ok := s.conns.LoadAndDelete(underlying(w))
	if ok {
		v.(*conn).closed()
	}
}

// arrived closes a connection that sends more for one request than any may
// take.
func (s *Server) arrived(w *nbio.Conn, n int) bool {
	v, ok := s.conns.Load(w)
	if !ok {
		return false
	}
	total := v.(*conn).arrived(n)
	if total == n {
		// A sender of a byte now and then would hold its connection for ever.
		_ = w.SetReadDeadline(time.Now().Add(s.ReadTimeout + cutAfter))
		v.(*conn).await(s.ReadTimeout, func() { s.tooSlow(w, v.(*conn)) })
	}
	return total <= s.BodyLimit*oversize+headBytes
}

// tooSlow answers a request that has not arrived whole in time, unless an
// earlier one of the connection still gets its answer.
func (s *Server) tooSlow(w *nbio.Conn, c *conn) {
	p, ok := w.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	before, mine := c.enqueue()
	defer close(mine)
	select {
	case <-before:
	default:
		_ = w.Close()
		return
	}
	reply := &Reply{w: p.Conn, conn: c, ctx: context.Background(), minor: 1, close: true}
	reply.Fail(result.New(result.RequestTooSlow, ""))
	reply.hangUp()
}

func (s *Server) written(w *nbio.Conn, _ []byte, n int) {
	v, ok := s.conns.Load(w)
	if ok {
		v.(*conn).written(n)
	}
}

// take copies the request out of nbhttp's buffers, takes its connection over
// and lets a goroutine of its own answer it.
func (s *Server) take(w http.ResponseWriter, hr *http.Request) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	nc, _, err := h.Hijack()
	if err != nil {
		return
	}
	v, ok := s.conns.Load(underlying(nc))
	if !ok {
		return
	}
	_ = nc.SetReadDeadline(time.Time{})
	c := v.(*conn)
	if s.Forwarder != nil {
		s.takeRaw(hr, nc, c)
		return
	}
	r, rerr := s.read(hr)
	reply := &Reply{w: nc, conn: c, close: hr.Close, minor: hr.ProtoMinor}
	reply.before, reply.mine = c.enqueue()
	c.whole()
	s.running.Begin()
	go s.answer(r, rerr, reply)
}

// takeRaw lets a goroutine of its own pass the request on.
func (s *Server) takeRaw(hr *http.Request, nc net.Conn, c *conn) {
	raw, err := s.readRaw(hr)
	reply := &Reply{w: nc, conn: c, close: hr.Close || err != nil, minor: hr.ProtoMinor}
	reply.before, reply.mine = c.enqueue()
	c.whole()
	s.running.Begin()
	go s.pass(raw, err, reply)
}

// pass runs one request that is passed on.
func (s *Server) pass(raw *Raw, err error, w *Reply) {
	s.inTurn(w, func(ctx context.Context) {
		w.closing = &s.closing
		if err != nil {
			w.Fail(result.Of(err))
			return
		}
		s.Forwarder.Forward(ctx, raw, w)
	})
}

// inTurn lets f answer when the connection's earlier requests have been, as
// HTTP/1.1 wants answers in order. The context of f ends when the caller leaves.
func (s *Server) inTurn(w *Reply, f func(ctx context.Context)) {
	defer s.running.End()
	defer close(w.mine)
	<-w.before
	defer w.conn.end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.conn.begin(cancel)
	w.ctx = ctx
	w.close = w.close || s.closing.Load()
	f(ctx)
	s.finish(w)
}

// finish closes the connection if it must, or waits for its next request.
func (s *Server) finish(w *Reply) {
	if w.close || w.broken {
		w.hangUp()
		return
	}
	if w.conn.newest(w.mine) {
		_ = w.w.SetReadDeadline(time.Now().Add(s.IdleTimeout))
	}
}

// answer runs one request. Requests that a caller sends ahead on the same
// connection wait for their turn.
func (s *Server) answer(r *Request, rerr error, w *Reply) {
	s.inTurn(w, func(ctx context.Context) {
		if r != nil {
			w.requestID = r.ID()
		}
		s.dispatch(ctx, r, rerr, w)
	})
}

func (s *Server) dispatch(ctx context.Context, r *Request, rerr error, w *Reply) {
	if rerr != nil {
		w.Fail(result.Of(rerr))
		return
	}
	if s.Online() > s.MaxConns {
		w.close = true
		w.Fail(result.New(result.TooManyConnections, "").WithRetryAfter(time.Second))
		return
	}
	switch r.Kind().(type) {
	case Health:
		w.Whole(http.StatusOK, "text/plain", "", []byte("ok\n"))
	case Readiness:
		s.readiness(w)
	default:
		if s.refusing.Load() {
			w.Fail(result.New(result.ShuttingDown, "").WithRetryAfter(time.Second))
			return
		}
		s.Handler.Serve(ctx, r, w)
	}
}

func (s *Server) readiness(w *Reply) {
	if s.closing.Load() {
		w.Fail(result.New(result.ShuttingDown, ""))
		return
	}
	if err := s.Handler.Ready(); err != nil {
		w.Fail(result.Of(err))
		return
	}
	w.Whole(http.StatusOK, "text/plain", "", []byte("ready\n"))
}
