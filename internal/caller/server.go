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

	"github.com/hyssoprelay/hyssoprelay/internal/drain"
	"github.com/hyssoprelay/hyssoprelay/internal/eventloop"
	"github.com/hyssoprelay/hyssoprelay/internal/inflight"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// readLimitFactor times BodyLimit is the largest body that is still read, so that the caller
	// receives a response with a result code. If the body is larger, the connection is closed
	// without a response.
	readLimitFactor = 4
	// maxHeaderBytes is the size that a request may have beyond the largest body that is still
	// read, as room for its headers. nbhttp bounds the size of each header but not their number:
	// without this bound, a caller that sends headers endlessly would exhaust the VM's memory.
	maxHeaderBytes = 64 << 10
	// defaultReadTimeout is the default of ReadTimeout and IdleTimeout. A bound is needed so that
	// callers that send one byte per second do not hold connections indefinitely.
	defaultReadTimeout = 30 * time.Second
	// readDeadlineGrace is the time after ReadTimeout at which a connection is closed if its timeout
	// has not been handled.
	readDeadlineGrace = time.Second
	// noDeadline is the time until the read deadline that nbhttp sets for a new connection. nbhttp
	// begins to read from the connection before that, so that the deadline may come after the
	// answer has begun and would cut it. The timers of conn take its place.
	noDeadline = 365 * 24 * time.Hour
	// maxExcessConns is the number of connections beyond MaxConns that are still accepted, so that
	// their requests are refused with a result code. Forwarder serves its requests on these
	// connections as on any other. Any further connection is closed without a response.
	maxExcessConns = 64
	// retryAfterFull is the Retry-After time of a request that found no memory. Answers that wait
	// for stalled callers are cut off within that time.
	retryAfterFull = time.Second
)

// Handler serves the requests that a Server has parsed. Serve must finish the reply before it
// returns. Its ctx is cancelled when the caller disconnects, and with the cause ErrStopping when the
// process is about to end and the answer has not begun.
type Handler interface {
	Serve(ctx context.Context, r *Request, w *Reply)
	// Ready returns nil if the entry accepts requests.
	Ready() error
}

// Forwarder serves requests that are forwarded unchanged. Forward must finish the reply before it
// returns. Its ctx is cancelled as that of Handler. Forward may keep and modify the header and the
// body.
type Forwarder interface {
	Forward(ctx context.Context, r *RawRequest, w *Reply)
}

// RawRequest is a request as it was received.
type RawRequest struct {
	Method string
	// Host is in lower case.
	Host string
	// Target is the path with the query as the caller sent it. Path is the part before the query.
	Target, Path string
	Header       http.Header
	Body         []byte
	// ReceivedAt is the time at which the request had been received completely.
	ReceivedAt time.Time
}

// Server accepts callers' connections at one address and serves their requests. Set the exported
// fields before Listen.
type Server struct {
	// Addr is the address to listen on, as IP:port. Listen sets the actual port.
	Addr string
	// TLS is nil for plain TCP. Its type is from nbio's copy of crypto/tls, which supports
	// non-blocking I/O.
	TLS *tls.Config
	// BodyLimit is the maximum size of a request body in bytes. It must be positive.
	BodyLimit int
	// MaxConns is the maximum number of callers' connections. It must be positive.
	MaxConns int
	// ReadTimeout bounds the time from the first to the last byte of a request, and IdleTimeout
	// the time between requests. A caller may also read nothing of a complete answer for
	// IdleTimeout, unless its connection is to be closed or the server is about to stop. Zero or
	// less selects the default of 30 s.
	ReadTimeout time.Duration
	IdleTimeout time.Duration
	// MemoryLimit bounds the bytes that are held for all callers together: requests, and answers
	// that have not been read. Zero or less means no bound.
	MemoryLimit int64
	// StallTimeout is how long a caller may otherwise read nothing while an answer waits for it
	// before its connection is closed. Zero or less selects the default of 3 s.
	StallTimeout time.Duration
	// OnCutOff, if not nil, is called when a connection is closed because its caller does not read.
	// It must not block.
	OnCutOff func(CutOff)
	// OnLost, if not nil, is called when a connection is lost. It must not block.
	OnLost func(Lost)
	// OnProbeLost and OnUnread, if not nil, are called as those of eventloop.Gate. They must not
	// block.
	OnProbeLost func(cause error)
	OnUnread    func()
	// Handler serves the requests.
	Handler Handler
	// Forwarder, if not nil, serves all requests in place of Handler.
	Forwarder Forwarder
	// OnUnserved, if not nil, is called with the ID of a request that has been received behind the last answer
	// of its connection. It must not block.
	OnUnserved func(id string)
	// RequestID, if not nil, returns the ID of a request that Forwarder serves, for log lines.
	RequestID func(h http.Header) string
	// Now is the clock for RawRequest.ReceivedAt. Nil selects time.Now.
	Now func() time.Time

	memory         memory
	engine         *nbhttp.Engine
	gate           eventloop.Gate
	conns          sync.Map // *nbio.Conn to *conn
	activeRequests inflight.Counter
	// incoming counts the requests that are being received, and those that have been and are not active yet.
	incoming  inflight.Counter
	rejecting atomic.Bool
	draining  atomic.Bool
}

// Listen listens on Addr and starts to serve. It returns an error with result code BadSetting if
// BodyLimit or MaxConns is not positive, and AddressInUse if it cannot listen.
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
	if s.StallTimeout <= 0 {
		s.StallTimeout = defaultStallTimeout
	}
	s.memory.limit = s.MemoryLimit
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return result.Newf(result.AddressInUse, "%s: %v", s.Addr, err)
	}
	s.Addr = ln.Addr().String()
	s.engine = nbhttp.NewEngine(s.config(ln))
	eventloop.InstallHooks(s.engine, s.handleOpen, s.handleData)
	s.engine.OnClose(s.handleClose)
	s.engine.OnWrittenSize(s.handleWritten)
	s.gate.OnProbeLost, s.gate.OnUnread = s.OnProbeLost, s.OnUnread
	return eris.Wrap(s.gate.StartHTTP(s.engine), "start the caller server")
}

func (s *Server) config(ln net.Listener) nbhttp.Config {
	cfg := nbhttp.Config{
		Network:         "tcp",
		MaxLoad:         s.MaxConns + maxExcessConns,
		MaxHTTPBodySize: s.BodyLimit * readLimitFactor,
		ReadLimit:       s.BodyLimit * readLimitFactor,
		KeepaliveTime:   noDeadline,
		RetainHTTPBody:  false,
		Handler:         http.HandlerFunc(s.handleHTTP),
		OnRequest:       s.handleParsed,
		Listen:          func(string, string) (net.Listener, error) { return s.gate.Listener(ln), nil },
	}
	if s.TLS == nil {
		cfg.Addrs = []string{s.Addr}
		return cfg
	}
	cfg.AddrConfigsTLS = []nbhttp.ConfAddr{{Addr: s.Addr, Network: "tcp", TLSConfig: s.TLS}}
	return cfg
}

// Address returns the address that the server listens on, as IP:port.
func (s *Server) Address() string { return s.Addr }

// ActiveRequests returns the number of requests whose answers have not been computed or have not been
// sent to their callers to the last byte.
func (s *Server) ActiveRequests() int { return s.activeRequests.Running() }

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int { return s.engine.Online() }

// Responds reports whether new connections are served. If not, some are closed unread.
func (s *Server) Responds(ctx context.Context) bool { return s.gate.Responds(ctx) }

// StartDraining makes callers reconnect elsewhere: from now on, each response closes its
// connection. New requests are still accepted.
func (s *Server) StartDraining() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request is being received or answered.
func (s *Server) CloseIdle() {
	s.conns.Range(func(_, value any) bool {
		value.(*conn).closeIfIdle()
		return true
	})
}

// RejectRequests makes the server answer each further request with shuttingDown. Requests that
// Forwarder serves and requests for /healthz are still answered as usual, but each response closes
// its connection.
func (s *Server) RejectRequests() {
	s.draining.Store(true)
	s.rejecting.Store(true)
}

// Run serves until ctx is done. It then calls RejectRequests, waits until no request is being received
// or answered or drainTime has elapsed, and stops the server. Requests without an answer get one just before drainTime
// has elapsed. It must be called after Listen.
func (s *Server) Run(ctx context.Context, drainTime time.Duration) error {
	<-ctx.Done()
	s.RejectRequests()
	schedule := drain.NewSchedule(time.Now(), drainTime)
	s.awaitAnswers(schedule.AnswersDue)
	s.AdvanceStop(schedule, time.Now())
	s.awaitAnswers(schedule.End)
	s.gate.Stop()
	return nil
}

// awaitAnswers waits until no request is being received or answered, or until the given time. Requests that the
// kernel holds are read before.
func (s *Server) awaitAnswers(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for ctx.Err() == nil {
		// A poller responds when it has read what had arrived before.
		if s.gate.Responds(ctx) && s.OpenCount() == 0 {
			return
		}
		s.incoming.Wait(ctx)
		s.activeRequests.Wait(ctx)
	}
}

func (s *Server) handleOpen(w net.Conn) {
	if c := underlying(w); c != nil {
		limitSendBuffer(c)
		state := newConn(s, c, time.Now())
		state.startUnusedTimer(s.ReadTimeout + readDeadlineGrace)
		s.conns.Store(c, state)
	}
}

// handleClose is called with a nil cause if the server itself closed the connection.
func (s *Server) handleClose(w net.Conn, cause error) {
	v, ok := s.conns.LoadAndDelete(underlying(w))
	if !ok {
		return
	}
	c := v.(*conn)
	if cause != nil && s.OnLost != nil {
		if l, ok := c.lost(cause, time.Now()); ok {
			s.OnLost(l)
		}
	}
	c.markDisconnected()
}

// handleData counts n received bytes. It returns false, which closes the connection, if a request
// exceeds the maximum size, or if it is large and the memory held for callers is used up. The first
// bytes of a request start its read timer.
func (s *Server) handleData(w *nbio.Conn, n int) bool {
	v, ok := s.conns.Load(w)
	if !ok {
		return false
	}
	if p, ok := w.Session().(*nbhttp.Parser); ok {
		v.(*conn).beginReceiving(p, time.Now())
	}
	total := v.(*conn).addUnparsed(n)
	if total == n {
		s.boundRead(v.(*conn))
	}
	s.memory.add(n)
	fits := s.makeRoom(s.memory.mayReceive, time.Now()) || total <= smallRequest
	return fits && total <= s.BodyLimit*readLimitFactor+maxHeaderBytes
}

// boundRead bounds the time until the request that has begun to arrive is complete. Otherwise, a caller that
// sends an occasional byte would hold its connection indefinitely.
func (s *Server) boundRead(c *conn) {
	_ = c.netConn.SetReadDeadline(time.Now().Add(s.ReadTimeout + readDeadlineGrace))
	c.stopUnusedTimer()
	c.startReadTimer(s.ReadTimeout, func() { s.handleReadTimeout(c) })
}

// handleReadTimeout refuses a request that was not received completely in time. The refusal follows the
// answers to the earlier requests of the connection.
func (s *Server) handleReadTimeout(c *conn) {
	reply := c.refusalOfUnread(time.Now())
	if reply == nil {
		return
	}
	c.enqueue(reply)
	defer c.dequeue(reply)
	_ = c.netConn.SetReadDeadline(time.Time{}) // it would cut off the earlier answers
	<-reply.prevDone
	if !c.mayAnswer() {
		return
	}
	reply.Fail(result.New(result.RequestTooSlow, ""))
	reply.closeAfterFlush()
}

// refusalOfUnread returns the reply to a request that has not been received completely, or nil if there
// can't be one.
func (c *conn) refusalOfUnread(now time.Time) *Reply {
	p, ok := c.netConn.Session().(*nbhttp.Parser)
	if !ok {
		return nil
	}
	ctx := context.Background()
	return &Reply{netConn: p.Conn, conn: c, ctx: ctx, connCtx: ctx, protoMinor: 1, closeAfter: true, receivedAt: now}
}

func (s *Server) handleWritten(w *nbio.Conn, _ []byte, n int) {
	v, ok := s.conns.Load(w)
	if ok {
		v.(*conn).markWritten(n, time.Now())
	}
}
