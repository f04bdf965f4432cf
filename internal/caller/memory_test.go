package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// streamChunk is the size of a part of the answers to /endless, in bytes.
	streamChunk = 32 << 10
	// shortChunks is the number of parts of the answer to /short.
	shortChunks = 50
)

// streams is a Forwarder whose answers to /endless have no end. It answers /hold when
// the test lets it, and all others with a short stream.
type streams struct {
	release chan struct{}
	// ended receives why the answers to /endless ended.
	ended chan error
	// mostHeld is the greatest number of bytes held that any of them saw.
	mostHeld atomic.Int64
	server   *Server
}

func (f *streams) Forward(_ context.Context, r *RawRequest, w *Reply) {
	switch r.Path {
	case "/hold":
		<-f.release
		_ = w.SendRaw(http.StatusOK, http.Header{}, nil)
	case "/endless":
		f.ended <- f.stream(w, 1<<30)
	default:
		if err := f.stream(w, shortChunks); err == nil {
			_ = w.EndStream()
		}
	}
}

// stream sends a number of chunks, until one can't be written.
func (f *streams) stream(w *Reply, chunks int) error {
	b := bytes.Repeat([]byte("x"), streamChunk)
	err := w.BeginRawStream(http.StatusOK, http.Header{})
	for range chunks {
		if err != nil {
			break
		}
		err = w.WriteChunk(b)
		f.note(f.server.HeldBytes())
	}
	if cut := w.CutCause(); cut != nil {
		err = cut
	}
	if err != nil {
		w.Abort()
	}
	return err
}

func (f *streams) note(held int64) {
	for {
		most := f.mostHeld.Load()
		if held <= most || f.mostHeld.CompareAndSwap(most, held) {
			return
		}
	}
}

func startStreams(t *testing.T, s *Server, callers int) *streams {
	t.Helper()
	f := &streams{release: make(chan struct{}), ended: make(chan error, callers), server: s}
	s.Addr, s.Forwarder = "127.0.0.1:0", f
	runServer(t, s)
	return f
}

// requestAndStall connects, sends a request and reads nothing.
func requestAndStall(t *testing.T, s *Server, path string, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body); err != nil {
		t.Fatal(err)
	}
	return c
}

// wantShortAnswer checks that a caller that reads gets its whole answer.
func wantShortAnswer(t *testing.T, s *Server) {
	t.Helper()
	resp, err := http.Post("http://"+s.Address()+"/short", "", nil)
	if err != nil {
		t.Errorf("a caller that reads got no answer: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != shortChunks*streamChunk {
		t.Errorf("a caller that reads got %d bytes, %v", n, err)
	}
}

// Guards against a caller that stops reading and keeps its endpoint's slot, and the bytes
// held for it, until the deadline of its request.
func TestCallerThatStopsReadingIsCutOff(t *testing.T) {
	var mu sync.Mutex
	var cutOffs []CutOff
	s := &Server{BodyLimit: testBodyLimit, MaxConns: 64, StallTimeout: 300 * time.Millisecond, OnCutOff: func(c CutOff) {
		mu.Lock()
		defer mu.Unlock()
		cutOffs = append(cutOffs, c)
	}}
	f := startStreams(t, s, 1)
	requestAndStall(t, s, "/endless", "")
	wantShortAnswer(t, s)
	if err := <-f.ended; result.CodeOf(err) != result.CallerStalled {
		t.Errorf("the answer ended with %v", err)
	}
	wantShortAnswer(t, s)
	mu.Lock()
	defer mu.Unlock()
	if len(cutOffs) != 1 {
		t.Fatalf("%d callers were cut off", len(cutOffs))
	}
	if c := cutOffs[0]; c.Held == 0 || c.Held > maxPendingBytes+2*streamChunk || c.Stalled < s.StallTimeout {
		t.Errorf("%d bytes were held, stalled for %v", c.Held, c.Stalled)
	}
}

// Guards against an entry whose memory is used up by many callers that read nothing: those
// that stalled longest are cut off, and callers that read are not.
func TestMemoryHeldForStalledCallersIsBounded(t *testing.T) {
	const callers, limit = 60, 1 << 20
	s := &Server{BodyLimit: testBodyLimit, MaxConns: 128, StallTimeout: time.Minute, MemoryLimit: limit}
	f := startStreams(t, s, callers)
	for range callers {
		requestAndStall(t, s, "/endless", "")
	}
	for range 3 {
		wantShortAnswer(t, s)
	}
	for range callers / 2 {
		if err := <-f.ended; result.CodeOf(err) != result.CallerStalled {
			t.Errorf("an answer ended with %v", err)
		}
	}
	if most := f.mostHeld.Load(); most > limit {
		t.Errorf("%d bytes were held, %d are allowed", most, limit)
	}
}

// An entry with 184 MB of memory may hold a quarter of it, and has several times as many
// callers as fit, none of which reads. Guards against a process that outgrows its VM.
func TestEntryWithAllCallersStalledStaysWithinItsMemory(t *testing.T) {
	const callers, vmMemory = 800, 184 << 20
	// As the process does.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(vmMemory * 3 / 4))
	runtime.GC()
	s := &Server{BodyLimit: testBodyLimit, MaxConns: 2 * callers, StallTimeout: time.Minute, MemoryLimit: vmMemory / 4}
	f := startStreams(t, s, callers)
	for range callers {
		requestAndStall(t, s, "/endless", "")
	}
	// From here on the limit is reached.
	if err := <-f.ended; result.CodeOf(err) != result.CallerStalled {
		t.Errorf("an answer ended with %v", err)
	}
	if most := f.mostHeld.Load(); most > vmMemory/4 || most < vmMemory/8 {
		t.Errorf("%d bytes were held", most)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if m.HeapInuse+m.StackInuse > vmMemory {
		t.Errorf("%d bytes are in use", m.HeapInuse+m.StackInuse)
	}
}

// Guards against requests whose bodies use up the memory: one that finds none is refused
// at once as not run, and is served once there is room.
func TestRequestThatFindsNoMemoryIsRefused(t *testing.T) {
	const body = 90 << 10
	s := &Server{BodyLimit: 2 * body, MaxConns: 64, MemoryLimit: body + body/2}
	f := startStreams(t, s, 1)
	first := make(chan int, 1)
	post := func(path string, size int) (*http.Response, error) {
		resp, err := http.Post("http://"+s.Address()+path, "", strings.NewReader(strings.Repeat("b", size)))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return resp, err
	}
	go func() {
		resp, err := post("/hold", body)
		if err != nil {
			t.Error(err)
			first <- 0
			return
		}
		first <- resp.StatusCode
	}()
	eventually(t, "the first request is being answered", func() bool { return s.ActiveRequests() > 0 })
	resp, err := post("/short", body)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderResultCode) != strconv.Itoa(int(result.EntryFull)) {
		t.Fatalf("%v %v", resp, err)
	}
	if resp.Header.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After")
	}
	close(f.release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("the request that was held got %d", status)
	}
	if resp, err := post("/short", body); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a request that finds memory got %v %v", resp, err)
	}
	eventually(t, "nothing is held with no request open", func() bool { return s.HeldBytes() == 0 })
}

// eventually waits until cond holds. The time limit only ends a test that hangs.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not: %s", what)
		}
	}
}
