package command

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
)

const (
	token    = "operators-token-1"
	examples = "../../../examples/"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// run starts f and ends it with the test.
func run(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func newService(t *testing.T) *kv.Server {
	t.Helper()
	s := &kv.Server{}
	run(t, s.Run)
	return s
}

// newEntry returns the API of an entry that keeps its configuration in the
// service.
func newEntry(t *testing.T, service *kv.Server) *operator.Server {
	t.Helper()
	client := &platform.Client{Addrs: []string{service.Addr()}, Timeout: time.Second, Metrics: metrics.NewRegistry()}
	run(t, client.Run)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &operator.Server{
		Addr:          "127.0.0.1:0",
		Token:         &settings.Token{Fixed: token},
		Configuration: operator.Document{Writer: &config.Writer{KV: client, Store: &config.Store{}}},
		Metrics:       metrics.NewRegistry(),
		Now:           func() time.Time { return start },
		Log:           log,
	}
}

// serve starts the API and returns its address.
func serve(t *testing.T, s *operator.Server) string {
	t.Helper()
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	run(t, s.Run)
	return s.Address()
}

// outcome is what one command line led to.
type outcome struct {
	code           int
	stdout, stderr string
}

// runLine runs a command line against the addresses.
func runLine(t *testing.T, addrs []string, args ...string) outcome {
	t.Helper()
	var stdout, stderr bytes.Buffer
	env := map[string]string{"HYSSOPRELAY_TOKEN": token, "HYSSOPRELAY_ADMIN": strings.Join(addrs, ",")}
	p := &Program{
		Stdout: &stdout,
		Stderr: &stderr,
		Now:    func() time.Time { return start },
		Env:    func(k string) string { return env[k] },
	}
	code := p.Run(context.Background(), args)
	o := outcome{code: code, stdout: stdout.String(), stderr: stderr.String()}
	if strings.Contains(o.stdout+o.stderr, token) {
		t.Errorf("the token is printed: %+v", o)
	}
	return o
}

// assertOutcome wants the exit code and texts in what was printed.
func assertOutcome(t *testing.T, o outcome, code int, texts ...string) {
	t.Helper()
	if o.code != code {
		t.Fatalf("exit code %d, want %d: %+v", o.code, code, o)
	}
	for _, text := range texts {
		if !strings.Contains(o.stdout+o.stderr, text) {
			t.Errorf("%q is not in %+v", text, o)
		}
	}
}

// deadAddress returns an address that nobody listens on.
func deadAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// lossy is an address that passes requests on to another and closes the
// connection in place of the answer.
type lossy struct {
	// to is the other address; empty means that requests are dropped.
	to string
	// delay is how long a request is kept after its sender has been cut off.
	delay time.Duration

	ln   net.Listener
	done chan struct{}
}

// listen opens the address and returns it.
func (l *lossy) listen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.ln = ln
	l.done = make(chan struct{})
	go l.run()
	t.Cleanup(l.stop)
	return ln.Addr().String()
}

func (l *lossy) run() {
	defer close(l.done)
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.lose(c)
	}
}

// stop returns when all requests have been passed on. It may be called twice.
func (l *lossy) stop() {
	_ = l.ln.Close()
	<-l.done
}

// lose passes one request on, waits for the answer's begin and drops it.
func (l *lossy) lose(c net.Conn) {
	defer func() { _ = c.Close() }()
	request := make([]byte, 1<<20)
	n, err := c.Read(request)
	if err != nil || l.to == "" {
		return
	}
	if l.delay > 0 {
		_ = c.Close()
		time.Sleep(l.delay)
	}
	s, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	if _, err := s.Write(request[:n]); err != nil {
		return
	}
	_, _ = s.Read(make([]byte, 1))
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}
