package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// handleHTTP copies the request out of nbhttp's buffers, hijacks its connection and serves it in a
// new goroutine.
func (s *Server) handleHTTP(w http.ResponseWriter, hr *http.Request) {
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
		s.handleRaw(hr, nc, c)
		return
	}
	r, parseErr := s.parseRequest(hr)
	reply := &Reply{
		netConn: nc, conn: c, closeAfter: hr.Close, protoMinor: hr.ProtoMinor, isHead: hr.Method == http.MethodHead,
		receivedAt: time.Now(),
	}
	if r != nil {
		reply.id = r.ID()
	}
	c.enqueue(reply)
	c.markRequestRead()
	s.activeRequests.Begin()
	c.markEnqueued()
	go s.serveRequest(r, parseErr, reply)
}

// handleRaw serves the request with Forwarder in a new goroutine.
func (s *Server) handleRaw(hr *http.Request, nc net.Conn, c *conn) {
	raw, err := s.readRaw(hr)
	c.markRequestRead()
	held := 0
	if err == nil && s.tryAcquire(len(raw.Body), time.Now()) {
		held = len(raw.Body)
	} else if err == nil {
		err = result.New(result.EntryFull, "").WithRetryAfter(retryAfterFull)
	}
	reply := &Reply{
		netConn: nc, conn: c, closeAfter: hr.Close || err != nil, protoMinor: hr.ProtoMinor,
		isHead: hr.Method == http.MethodHead, held: held, receivedAt: time.Now(),
	}
	if s.RequestID != nil {
		reply.id = s.RequestID(hr.Header)
	}
	c.enqueue(reply)
	s.activeRequests.Begin()
	c.markEnqueued()
	go s.serveRaw(raw, err, reply)
}

// serveRaw serves one request with Forwarder.
func (s *Server) serveRaw(raw *RawRequest, err error, w *Reply) {
	s.serveInOrder(w, func(ctx context.Context) {
		if err != nil {
			w.Fail(result.Of(err))
			return
		}
		s.Forwarder.Forward(ctx, raw, w)
	})
}

// serveInOrder calls serve once the connection's earlier requests have been answered, because
// HTTP/1.1 requires responses in the order of the requests. The context of serve is cancelled when
// the caller disconnects. A request behind the last response of its connection is not served: it would
// run although nobody gets its response, and callers take it for one that was not read.
func (s *Server) serveInOrder(w *Reply, serve func(ctx context.Context)) {
	defer s.activeRequests.End()
	defer w.conn.dequeue(w)
	defer w.releaseHeld()
	<-w.prevDone
	if !w.conn.mayAnswer() {
		if s.OnUnserved != nil {
			s.OnUnserved(w.id)
		}
		return
	}
	defer w.conn.unbindCancel()
	connCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.conn.bindCancel(cancel)
	ctx, stop := context.WithCancelCause(connCtx)
	defer stop(nil)
	w.ctx, w.connCtx = ctx, connCtx
	w.bindStop(stop)
	serve(ctx)
	w.releaseHeld() // the answer itself is counted as pending by now
	s.finishReply(w)
}

// finishReply waits until the response has been sent. It closes the connection if required, also if
// the response is not complete, and otherwise sets the idle timeout if no further request has begun.
//
// A request ends here and not when its answer has been handed over to the event loop: the event loop
// drops what it holds when the server stops or the idle timeout elapses.
func (s *Server) finishReply(w *Reply) {
	if w.state == replyComplete {
		w.markSending()
	}
	if w.closeAfter || w.state != replyComplete {
		w.closeAfterFlush()
		return
	}
	if w.conn.waitSent(w.ownDone) == nil && w.conn.awaitsRequest(w.ownDone) {
		_ = w.netConn.SetReadDeadline(time.Now().Add(s.IdleTimeout))
	}
}

// serveRequest serves one request. Pipelined requests on the same connection are served in order.
func (s *Server) serveRequest(r *Request, parseErr error, w *Reply) {
	s.serveInOrder(w, func(ctx context.Context) {
		if r != nil {
			w.requestID = r.ID()
		}
		s.dispatch(ctx, r, parseErr, w)
	})
}

func (s *Server) dispatch(ctx context.Context, r *Request, parseErr error, w *Reply) {
	if parseErr != nil {
		w.Fail(result.Of(parseErr))
		return
	}
	if s.OpenConns() > s.MaxConns {
		w.closeAfter = true
		w.Fail(result.New(result.TooManyConnections, "").WithRetryAfter(time.Second))
		return
	}
	switch r.Kind().(type) {
	case Health:
		// Whether the response was sent shows in the state of w.
		_ = w.Send(http.StatusOK, "text/plain", "", []byte("ok\n"))
	case Readiness:
		s.serveReadiness(w)
	default:
		if s.rejecting.Load() {
			w.Fail(result.New(result.ShuttingDown, "").WithRetryAfter(time.Second))
			return
		}
		s.Handler.Serve(ctx, r, w)
	}
}

func (s *Server) serveReadiness(w *Reply) {
	if s.draining.Load() {
		w.Fail(result.New(result.ShuttingDown, ""))
		return
	}
	if err := s.Handler.Ready(); err != nil {
		w.Fail(result.Of(err))
		return
	}
	_ = w.Send(http.StatusOK, "text/plain", "", []byte("ready\n"))
}
