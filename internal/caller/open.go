package caller

import (
	"net/http"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/drain"
)

// OpenRequest describes a request whose answer has not been sent to the last byte.
type OpenRequest struct {
	// Stage is how far it has come, and Since when its first byte or, in later stages, its last byte was
	// received.
	Stage drain.Stage
	Since time.Time
	// ID is the request's ID, or "" if it is not known.
	ID string
	// Received is the number of bytes of a request that is being received, and Pending that of bytes of
	// answers that have not been sent on its connection.
	Received, Pending int

	describe func() logrus.Fields
}

// Fields returns the description at the time now as fields of a log line. They contain those of the
// function that Reply.SetDescription has set.
func (r OpenRequest) Fields(now time.Time) logrus.Fields {
	f := logrus.Fields{"request": r.ID, "stage": r.Stage.String(), "took": now.Sub(r.Since).Milliseconds(), "pending": r.Pending}
	if r.Stage == drain.Receiving {
		f["received"] = r.Received
	}
	if r.describe == nil {
		return f
	}
	for name, value := range r.describe() {
		f[name] = value
	}
	return f
}

// OpenCount returns the number of requests that are being received or answered.
func (s *Server) OpenCount() int { return s.incoming.Running() + s.activeRequests.Running() }

// OpenRequests returns the requests that are being received or answered, in unspecified order.
func (s *Server) OpenRequests() []OpenRequest {
	var open []OpenRequest
	s.conns.Range(func(_, value any) bool {
		open = append(open, value.(*conn).openRequests()...)
		return true
	})
	return open
}

// openRequests returns the requests of the connection that are being received or answered, in their order.
func (c *conn) openRequests() []OpenRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected || c.cutCause != nil {
		return nil
	}
	var open []OpenRequest
	for i, w := range c.open {
		open = append(open, OpenRequest{
			Stage: w.stage(i), Since: w.receivedAt, ID: w.id, Pending: c.pending, describe: w.describe,
		})
	}
	if c.receiving && !c.closing {
		open = append(open, OpenRequest{
			Stage: drain.Receiving, Since: c.receivingSince, Received: int(c.unparsedBytes.Load()), Pending: c.pending,
		})
	}
	return open
}

// SetDescription sets a function that describes how the request is being served, for log lines. It is called
// by other goroutines, with an internal lock held.
func (w *Reply) SetDescription(describe func() logrus.Fields) {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	w.describe = describe
}

// markSending records that the answer is complete. It releases what describes the request.
func (w *Reply) markSending() {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	w.sending, w.describe = true, nil
}

// handleParsed is called when a request has been received completely, before it is served.
func (s *Server) handleParsed(w http.ResponseWriter, _ *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	v, ok := s.conns.Load(underlying(response.Parser.Conn))
	if !ok {
		return
	}
	c := v.(*conn)
	c.markParsed()
	if !c.hooked {
		// The parser is parsing, so nothing else uses its processor.
		response.Parser.Processor = &methodHook{Processor: response.Parser.Processor, conn: c}
		c.hooked = true
	}
}

// methodHook notices the beginning of a request that arrives with the same bytes as the end of the one before.
type methodHook struct {
	nbhttp.Processor

	conn *conn
}

// OnMethod implements nbhttp.Processor.
func (h *methodHook) OnMethod(p *nbhttp.Parser, method string) {
	if h.conn.beginReceiving(p, time.Now()) {
		h.conn.server.boundRead(h.conn)
	}
	h.Processor.OnMethod(p, method)
}

// beginReceiving records that a part of a request is being received, unless p is still busy with the
// handshake of TLS; a part that arrives with the end of the handshake is noticed when more follows. It
// reports whether that is the first part.
func (c *conn) beginReceiving(p *nbhttp.Parser, now time.Time) bool {
	if !c.handshakeDone {
		c.handshakeDone = isHandshakeDone(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handshakeDone || c.receiving || c.disconnected || c.closing {
		return false
	}
	c.receiving, c.receivingSince = true, now
	c.server.incoming.Begin()
	return true
}

// markParsed records that a request has been received completely, and is about to be enqueued.
func (c *conn) markParsed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected {
		return
	}
	if !c.receiving {
		c.server.incoming.Begin() // its handshake of TLS, or an earlier request, arrived with the same bytes
	}
	c.receiving = false
	c.unread++
}

// markEnqueued records that a request has been enqueued, which counts as an active one by now.
func (c *conn) markEnqueued() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread > 0 {
		c.unread--
		c.server.incoming.End()
	}
}

// endAllReceiving records that nothing more is received. c.mu must be held.
func (c *conn) endAllReceiving() {
	if c.receiving {
		c.unread++
	}
	for range c.unread {
		c.server.incoming.End()
	}
	c.receiving, c.unread = false, 0
}

// isHandshakeDone reports whether what a connection receives next belongs to requests.
func isHandshakeDone(p *nbhttp.Parser) bool {
	h, ok := p.Conn.(*nbhttp.Conn)
	if !ok {
		return true
	}
	t, ok := h.Conn.(*tls.Conn)
	return !ok || t.ConnectionState().HandshakeComplete
}
