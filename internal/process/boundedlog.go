package process

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// linesPerSecond is how many lines of one kind, by its message, a process
	// writes each second. It is several times what an entry writes at the
	// usual load of some ten requests a second; a flood beyond it tells
	// nothing that its count does not.
	linesPerSecond = 60
	// waitingLines is how many lines may wait for a reader of the output.
	waitingLines = 2048
)

// BoundedLog is a logger whose callers never wait: lines go through a bounded
// buffer to a goroutine, and what doesn't fit is counted and left out. It
// guards against an output that nobody reads, which would stop each request at
// its log line. Lines of one kind beyond linesPerSecond are left out too.
type BoundedLog struct {
	*logrus.Logger

	lines chan []byte
	lost  atomic.Int64
	limit kinds
}

// NewBoundedLog returns a logger of a process, in JSON.
func NewBoundedLog(name, dataCentre string) *BoundedLog {
	b := &BoundedLog{Logger: logrus.New(), lines: make(chan []byte, waitingLines)}
	b.SetOutput(b)
	b.SetFormatter(&limitedFormatter{
		inner: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano, DisableHTMLEscape: true},
		limit: &b.limit,
	})
	AddOrigin(b.Logger, name, dataCentre)
	return b
}

// Write implements io.Writer for the logger. It never waits.
func (b *BoundedLog) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns how many lines found no room.
func (b *BoundedLog) Lost() int64 { return b.lost.Load() }

// Run writes the lines to w until ctx ends, and then those that still wait.
func (b *BoundedLog) Run(ctx context.Context, w io.Writer) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case line := <-b.lines:
			b.put(w, line)
		case <-t.C:
			b.tellLost()
		case <-ctx.Done():
			return b.drain(w)
		}
	}
}

// put gives up a line that can't be written: there is nowhere to say so but the
// count.
func (b *BoundedLog) put(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		b.lost.Add(1)
	}
}

func (b *BoundedLog) drain(w io.Writer) error {
	for {
		select {
		case line := <-b.lines:
			b.put(w, line)
		default:
			return nil
		}
	}
}

// tellLost says what was left out since the last time.
func (b *BoundedLog) tellLost() {
	for kind, n := range b.limit.reset() {
		b.WithFields(logrus.Fields{"kind": kind, "lines": n}).Warn("log lines left out")
	}
	if n := b.lost.Swap(0); n > 0 {
		b.WithField("lines", n).Warn("log lines lost, the output is not read")
	}
}

// kinds counts lines by kind within the current second.
type kinds struct {
	mu    sync.Mutex
	lines map[string]int
}

// allow reports whether one more line of the kind may be written.
func (k *kinds) allow(kind string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lines == nil {
		k.lines = map[string]int{}
	}
	k.lines[kind]++
	return k.lines[kind] <= linesPerSecond
}

// reset begins a new second and returns how many lines were left out by kind.
func (k *kinds) reset() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	over := map[string]int{}
	for kind, n := range k.lines {
		if n > linesPerSecond {
			over[kind] = n - linesPerSecond
		}
	}
	k.lines = nil
	return over
}

// limitedFormatter formats lines that are allowed and returns nothing for
// others.
type limitedFormatter struct {
	inner logrus.Formatter
	limit *kinds
}

// Format implements logrus.Formatter.
func (f *limitedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.limit.allow(e.Message) {
		return nil, nil
	}
	return f.inner.Format(e)
}
