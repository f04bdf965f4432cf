package command

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/line"
)

const (
	token    = "operators-token-1"
	examples = "../../../examples/"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// run starts f and ends it with the test, or before by the returned function.
func run(t *testing.T, f func(context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return stop
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

// listen opens a lossy line, which runs until stop or the end of the test.
func listen(t *testing.T, l *line.Lossy) (addr string, stop func()) {
	t.Helper()
	addr, err := l.Listen()
	if err != nil {
		t.Fatal(err)
	}
	return addr, run(t, l.Run)
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}
