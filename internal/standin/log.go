package standin

import (
	"bytes"
	"strings"
	"sync"
)

// Log gathers what a process writes, for tests that look into it.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Text returns what has been written.
func (l *Log) Text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Has reports whether a text has been written.
func (l *Log) Has(text string) bool { return strings.Contains(l.Text(), text) }
