package direct

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds connecting. Endpoints accept within a millisecond or
	// two; a longer wait means that the endpoint is dark or cut off, and the
	// request can still be answered elsewhere within its target of 300 ms.
	DialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may go without an acknowledgement.
	// A connection whose other side was cut off would else hang for minutes.
	unackedTimeout = 2 * time.Second
	// probeIdle and probeEvery make the kernel notice a connection that has
	// gone silent while an answer is awaited, within probeIdle + 3 probes.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 3
	// keepLeast is how long an unused connection is kept if the endpoint names
	// no time, and keepMargin how much sooner than the endpoint's own time it
	// is given up: a connection that the endpoint closes while a request is on
	// its way leaves the outcome unknown.
	keepLeast  = 4 * time.Second
	keepMargin = time.Second
	// inlineBody is the largest body that is written before the answer is read.
	// It fits the kernel's buffer, so the write does not wait for the endpoint.
	inlineBody = 16 << 10
	// readBuffer holds the head of an answer and some events of a stream.
	readBuffer = 4 << 10
	// lateAnswers is how many answers to earlier requests are skipped.
	lateAnswers = 2
	// lateWrite bounds how long the rest of a body is still sent to an endpoint
	// that has answered before it read all of it.
	lateWrite = 5 * time.Second
)

// NotSentError says that no byte of the request left.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// IsNotSent reports whether err says that no byte of the request left.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// ErrForeign reports an answer that belongs to another request.
var ErrForeign = errors.New("direct: the answer belongs to another request")

// ErrSpoiled reports an answer that can't be passed on.
var ErrSpoiled = errors.New("direct: the answer is not in the protocol")

// Request is one request for an endpoint.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Mine reports whether an answer's headers name this request.
	Mine func(http.Header) bool
	// Fresh asks for a connection that is known to be open: a request that may
	// run once should not meet one that the endpoint is about to close.
	Fresh bool
}

// Client keeps connections to endpoints. Its zero value is ready for use.
type Client struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	dials int64
}

// conn is one connection. It belongs to the pool or to one exchange.
type conn struct {
	net.Conn
	br   *bufio.Reader
	addr string
	// until is when the pool gives it up.
	until time.Time
	used  bool
}

// abort closes the connection with a reset.
//
// Guard: an endpoint whose VM is frozen or cut off takes bytes into its queue.
// Closed in the ordinary way, a connection still delivers them when the VM is
// back, and the endpoint works on a request whose caller has long left. A reset
// discards what has not arrived.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is closed already needs none
	}
	_ = c.Conn.Close()
}

// Answer is an answer whose head has arrived. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1.
	Length int64

	client *Client
	conn   *conn
	resp   *http.Response
	writer *writer
	whole  bool
	stop   func() bool
}

// Do sends the request and returns the answer when its head has arrived. When
// ctx ends, the connection is closed, also while the body is read.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Answer, error) {
	cn, err := c.acquire(ctx, addr, r.Fresh)
	if err != nil {
		return nil, &NotSentError{cause: err}
	}
	a := &Answer{client: c, conn: cn}
	a.stop = context.AfterFunc(ctx, cn.abort)
	if err := a.exchange(r); err != nil {
		a.Close()
		if ctx.Err() != nil && !IsNotSent(err) {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, err
	}
	return a, nil
}

func (a *Answer) exchange(r *Request) error {
	a.writer = startWriter(a.conn, r)
	if a.writer.sent == 0 && a.writer.err != nil {
		return &NotSentError{cause: a.writer.err}
	}
	for range lateAnswers + 1 {
		resp, err := readHead(a.conn.br, r.Method)
		if err != nil {
			return err
		}
		a.resp, a.Status, a.Header, a.Length = resp, resp.StatusCode, resp.Header, resp.ContentLength
		if r.Mine == nil || r.Mine(resp.Header) {
			return nil
		}
		// Guard: an endpoint may answer a request twice. The second answer comes
		// where the next request's is due; its id shows that, and the right one
		// follows on the same connection.
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return ErrForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return ErrForeign
}

// readHead reads the head of the next final answer.
func readHead(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrSpoiled
		}
	}
}

// Read reads the body. It returns io.EOF only when the body is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Whole reports whether the body has been read to its end.
func (a *Answer) Whole() bool { return a.whole }

// Close gives the connection back, or closes it unless the answer was read to
// its end and the endpoint keeps it.
func (a *Answer) Close() {
	running := a.stop()
	if !running || !a.reusable() {
		a.finishWriting(running)
		return
	}
	a.conn.used = true
	a.client.release(a.conn, keepFor(a.resp.Header))
}

func (a *Answer) reusable() bool {
	return a.whole && a.resp != nil && !a.resp.Close && a.conn.br.Buffered() == 0 && a.writer.finished() == nil && framed(a.resp)
}

// framed reports whether the body's end was told other than by the close.
func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// finishWriting closes the connection.
//
// Guard: an endpoint may answer before it has read a long body and read on
// later. It must get the rest of that body and nothing else there, so the
// connection closes only when the writer is done.
func (a *Answer) finishWriting(running bool) {
	if !running || !a.whole {
		a.conn.abort()
		return
	}
	if a.writer.isDone() {
		_ = a.conn.Conn.Close()
		return
	}
	go func() {
		select {
		case <-a.writer.done:
		case <-time.After(lateWrite):
		}
		_ = a.conn.Conn.Close()
	}()
}

// keepFor returns how long a connection may be unused.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(value)
		if err == nil && s >= 0 {
			return time.Duration(s)*time.Second - keepMargin
		}
	}
	return keepLeast
}

// writer sends a request.
type writer struct {
	done chan struct{}
	sent int
	err  error
}

func (w *writer) isDone() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

var errWriting = errors.New("direct: the request is still being sent")

// finished returns nil when the whole request was written.
func (w *writer) finished() error {
	if !w.isDone() {
		return errWriting
	}
	return w.err
}

// startWriter writes a small request at once and a large one beside the reading
// of the answer, which may come before the endpoint has read the body.
func startWriter(cn *conn, r *Request) *writer {
	w := &writer{done: make(chan struct{})}
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		w.sent, w.err = cn.Write(append(head, r.Body...))
		close(w.done)
		return w
	}
	w.sent, w.err = cn.Write(head)
	if w.err != nil {
		close(w.done)
		return w
	}
	go func() {
		defer close(w.done)
		_, w.err = cn.Write(r.Body)
	}()
	return w
}

// encodeHead writes the request's head. The headers have been parsed before, so
// none holds a line break.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if name == "Host" || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// acquire returns a kept connection that is still open, or a new one.
func (c *Client) acquire(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for cn := c.takeIdle(addr); cn != nil; cn = c.takeIdle(addr) {
		if cn.br.Buffered() == 0 && quiet(cn.Conn) && (!fresh || time.Until(cn.until) > keepMargin) {
			return cn, nil
		}
		_ = cn.Conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	d := net.Dialer{
		Control:         setTimeouts,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), addr: addr}, nil
}

func setTimeouts(_, _ string, raw syscall.RawConn) error {
	var opt error
	err := raw.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, opt)
}

// quiet reports whether an unused connection is open and has nothing to read:
// what came unasked belongs to no request.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// takeIdle returns the connection that was used last, which is the least likely
// to be closed by the endpoint.
func (c *Client) takeIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[addr]
	if len(kept) == 0 {
		return nil
	}
	cn := kept[len(kept)-1]
	c.idle[addr] = kept[:len(kept)-1]
	return cn
}

func (c *Client) release(cn *conn, keep time.Duration) {
	if keep <= 0 {
		_ = cn.Conn.Close()
		return
	}
	cn.until = time.Now().Add(keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// Sweep closes the kept connections whose time is over.
func (c *Client) Sweep(now time.Time) {
	var over []*conn
	c.mu.Lock()
	for addr, kept := range c.idle {
		stay := kept[:0]
		for _, cn := range kept {
			if now.After(cn.until) {
				over = append(over, cn)
				continue
			}
			stay = append(stay, cn)
		}
		c.idle[addr] = stay
		if len(stay) == 0 {
			delete(c.idle, addr)
		}
	}
	c.mu.Unlock()
	for _, cn := range over {
		_ = cn.Conn.Close()
	}
}

// Dials returns how many connections have been made.
func (c *Client) Dials() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}
