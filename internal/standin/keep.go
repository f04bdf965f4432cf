package standin

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// LogDirVariable names the environment variable with the directory in which Keep writes. If it is
// not set, Keep writes into the test's own output.
const LogDirVariable = "HYSSOPRELAY_TEST_LOGS"

const (
	keptDirMode  = 0o755
	keptFileMode = 0o644
)

// Test is what Keep needs of a running test; *testing.T implements it.
type Test interface {
	Helper()
	Name() string
	Failed() bool
	Cleanup(f func())
	Logf(format string, args ...any)
}

// Keep has a test that fails leave what text returns under the given name, so that the failure can
// be traced. text is called after the cleanups that are registered later have run; processes that
// are stopped by those have written all their lines.
func Keep(t Test, name string, text func() string) {
	t.Helper()
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		dir := os.Getenv(LogDirVariable)
		if dir == "" {
			t.Logf("%s: %s", name, text())
			return
		}
		path := filepath.Join(dir, fileName(t.Name()), fileName(name)+".log")
		if err := writeKept(path, text()); err != nil {
			t.Logf("cannot keep the log: %v\n%s: %s", err, name, text())
			return
		}
		t.Logf("%s: kept in %s", name, path)
	})
}

// fileName replaces what does not belong in the name of a file.
func fileName(name string) string {
	return strings.Map(func(c rune) rune {
		switch c {
		case '/', ' ', ':':
			return '_'
		default:
			return c
		}
	}, name)
}

func writeKept(path, text string) error {
	if err := os.MkdirAll(filepath.Dir(path), keptDirMode); err != nil {
		return fmt.Errorf("make the directory of kept logs: %w", err)
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, keptFileMode)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Counters returns the metrics of a registry as JSON.
func Counters(r metrics.Registry) string {
	var b strings.Builder
	metrics.WriteJSONOnce(r, &b)
	return b.String()
}

// WithEvents returns a handler that writes a line to events when a request has arrived and another
// one when h has served it. It returns h if events is nil.
func WithEvents(events *logrus.Logger, name string, h http.Handler) http.Handler {
	if events == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		line := events.WithFields(logrus.Fields{
			"process": name, "method": r.Method, "path": r.URL.Path, "peer": r.RemoteAddr,
			"requestId": r.Header.Get("X-Request-Id"), "key": r.Header.Get("Idempotency-Key"),
		})
		line.Info("request arrived")
		begun := time.Now()
		defer func() { line.WithField("took", time.Since(begun).Milliseconds()).Info("request served") }()
		h.ServeHTTP(w, r)
	})
}

// NewEventLog returns a logger that stand-ins write their events with, in the format of the
// processes' own lines.
func NewEventLog(w io.Writer) *logrus.Logger {
	out := logrus.New()
	out.SetOutput(w)
	out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano, DisableHTMLEscape: true})
	return out
}
