package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// longAnswer is the size of an answer, in bytes, that no kernel buffers hold.
	longAnswer = 3 << 20
	// readPiece is how much of it a slow caller reads at once, in bytes.
	readPiece = 64 << 10
	// longDrain is a drain time that only ends a test that hangs.
	longDrain = time.Minute
)

// unread is a server of long answers, one of which a caller has not read.
type unread struct {
	*Server
	caller net.Conn
	// handed receives a value when an answer has been handed over to the event loop.
	handed chan struct{}
	// cutOffs receives the callers that were cut off.
	cutOffs chan CutOff
	// stop tells the server to stop, and stopped receives the result of Run.
	stop    context.CancelFunc
	stopped chan error
}

// startUnread starts s, sends it a request with the given header lines and returns once the answer has
// been handed over.
func startUnread(t *testing.T, s *Server, header string) *unread {
	t.Helper()
	u := &unread{Server: s, handed: make(chan struct{}, 1), cutOffs: make(chan CutOff, 1), stopped: make(chan error, 1)}
	s.Addr, s.BodyLimit, s.MaxConns = "127.0.0.1:0", testBodyLimit, 64
	s.OnCutOff = func(c CutOff) { u.cutOffs <- c }
	s.Handler = handlerFunc(func(_ context.Context, _ *Request, w *Reply) {
		if err := w.Send(http.StatusOK, "text/plain", "", bytes.Repeat([]byte("x"), longAnswer)); err != nil {
			t.Error(err)
		}
		u.handed <- struct{}{}
	})
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.stop = cancel
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		u.stopped <- s.Run(ctx, longDrain)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	u.request(t, header)
	<-u.handed
	return u
}

// request sends a request from a caller whose kernel holds little of the answer.
func (u *unread) request(t *testing.T, header string) {
	t.Helper()
	c, err := net.Dial("tcp", u.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.(*net.TCPConn).SetReadBuffer(readPiece); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "GET %so/ HTTP/1.1\r\nHost: h\r\n%s\r\n", PathServices, header); err != nil {
		t.Fatal(err)
	}
	u.caller = c
}

// wantWhole reads the answer in pieces, with a pause before each, and checks that it is whole.
func (u *unread) wantWhole(t *testing.T, pause time.Duration) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(u.caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	total := int64(0)
	for err == nil {
		time.Sleep(pause)
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, readPiece)
		total += n
	}
	if err != io.EOF || total != longAnswer {
		t.Errorf("%d of %d bytes, %v", total, longAnswer, err)
	}
}

// wantCutOff checks that the caller was cut off because it read nothing.
func (u *unread) wantCutOff(t *testing.T) {
	t.Helper()
	if c := <-u.cutOffs; c.Cause.Code() != result.CallerStalled || c.Held == 0 {
		t.Errorf("cut off with %v, %d bytes were held", c.Cause, c.Held)
	}
}

// Guards against a stop that drops an answer which has been handed over to the event loop, while
// its caller reads it, and against one that waits for the kept-open connection after that.
func TestStopDeliversAnswersThatAreBeingRead(t *testing.T) {
	t.Parallel()
	u := startUnread(t, &Server{}, "")
	u.stop()
	u.wantWhole(t, 2*time.Millisecond)
	if err := <-u.stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a stop that waits for a caller that reads nothing of its answer until the drain
// time is over.
func TestStopCutsOffCallersThatReadNothing(t *testing.T) {
	t.Parallel()
	u := startUnread(t, &Server{StallTimeout: 100 * time.Millisecond}, "")
	u.stop()
	u.wantCutOff(t)
	if err := <-u.stopped; err != nil {
		t.Error(err)
	}
}

// Guards against an idle timeout that begins while the answer is still being read, and cuts it off.
func TestIdleTimeoutBeginsAfterTheAnswerIsRead(t *testing.T) {
	t.Parallel()
	u := startUnread(t, &Server{IdleTimeout: 50 * time.Millisecond}, "")
	u.wantWhole(t, 5*time.Millisecond)
	if n, err := u.caller.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection was not closed: %d, %v", n, err)
	}
}

// Guards against a caller that reads nothing of a complete answer and holds its memory without end.
func TestCallerThatReadsNothingOfACompleteAnswerIsCutOff(t *testing.T) {
	t.Parallel()
	u := startUnread(t, &Server{IdleTimeout: 50 * time.Millisecond, StallTimeout: 100 * time.Millisecond}, "")
	u.wantCutOff(t)
}

// Guards against an answer to a request with Connection: close that is cut off some seconds after it has
// been handed over, while its caller reads it.
func TestAnswerBeforeCloseIsDelivered(t *testing.T) {
	t.Parallel()
	u := startUnread(t, &Server{}, "Connection: close\r\n")
	u.wantWhole(t, 150*time.Millisecond)
}

// Guards against a caller that reads nothing of such an answer and holds its connection without end.
func TestCallerThatReadsNothingBeforeCloseIsCutOff(t *testing.T) {
	t.Parallel()
	u := startUnread(t, &Server{StallTimeout: 100 * time.Millisecond}, "Connection: close\r\n")
	u.wantCutOff(t)
}

// Guards against a request that stays in memory, without being counted, while its answer is read.
func TestRequestIsFreedWhileItsAnswerIsRead(t *testing.T) {
	t.Parallel()
	freed := make(chan struct{})
	s := &Server{Addr: "127.0.0.1:0", BodyLimit: 2 * longAnswer, MaxConns: 64}
	s.Forwarder = forwarderFunc(func(r *RawRequest, w *Reply) {
		runtime.SetFinalizer(&r.Body[0], func(*byte) { close(freed) })
		if err := w.SendRaw(http.StatusOK, http.Header{}, make([]byte, longAnswer)); err != nil {
			t.Error(err)
		}
	})
	runServer(t, s)
	requestAndStall(t, s, "/o", strings.Repeat("b", longAnswer))
	eventually(t, "the request is freed", func() bool {
		runtime.GC()
		select {
		case <-freed:
			return true
		default:
			return false
		}
	})
	if s.ActiveRequests() != 1 || s.PendingBytes() == 0 {
		t.Errorf("%d requests, %d bytes pending", s.ActiveRequests(), s.PendingBytes())
	}
}

type forwarderFunc func(r *RawRequest, w *Reply)

func (f forwarderFunc) Forward(_ context.Context, r *RawRequest, w *Reply) { f(r, w) }
