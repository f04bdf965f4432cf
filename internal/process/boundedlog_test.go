package process

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

// Write implements io.Writer.
func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// The reader of a process's output hangs. Requests must go on: a log line that
// finds no room is counted and left out.
func TestOutputThatNobodyReadsBlocksNobody(t *testing.T) {
	b := NewBoundedLog("p", "a")
	out := stuck{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx, out) }()
	for i := range 3 * waitingLines {
		b.WithField("n", i).Info(fmt.Sprint("kind ", i%200))
	}
	if b.Lost() == 0 {
		t.Fatal("no line was left out")
	}
	close(out.release)
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A flood of one kind of line leaves room for the others and is told as a count.
func TestFloodOfOneKindIsCounted(t *testing.T) {
	b := NewBoundedLog("p", "a")
	for range 10 * linesPerSecond {
		b.Info("flood")
	}
	b.Info("rare")
	b.tellLost()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	if err := b.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if n := strings.Count(text, `"msg":"flood"`); n != linesPerSecond {
		t.Fatalf("%d lines of the flood", n)
	}
	if !strings.Contains(text, `"msg":"rare"`) || !strings.Contains(text, `"kind":"flood","level":"warning","lines":540`) {
		t.Fatalf("the rare line or the count is missing:\n%s", text[max(0, len(text)-600):])
	}
}

// BenchmarkRequestLine measures what one request's line costs its request.
func BenchmarkRequestLine(b *testing.B) {
	l := NewBoundedLog("p", "a")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = l.Run(ctx, &bytes.Buffer{}) }()
	for b.Loop() {
		l.WithFields(map[string]any{"request": "9c41d07be2a35f68", "code": 0, "took": 812, "endpoints": []string{"i-1"}}).Info("request ended")
	}
}
