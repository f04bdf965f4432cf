package direct

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestAwaitLeavesEventsToNext guards against an event that is lost because somebody waited for it, and
// against waiting for one that does not come.
func TestAwaitLeavesEventsToNext(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		err    error
	}{
		"an event":        {"id: 1\n\nid: 2\n\n", nil},
		"a comment":       {": note\n\nid: 1\n\n", nil},
		"a part of one":   {"id: 1\nda", io.EOF},
		"nothing":         {"", io.EOF},
		"one that is cut": {"id: 1\n", io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEventReader(iotest.OneByteReader(strings.NewReader(c.stream)))
			if err := e.Await(); !errors.Is(err, c.err) {
				t.Fatalf("%v, want %v", err, c.err)
			}
			var read strings.Builder
			ev, err := e.Next()
			for ; err == nil; ev, err = e.Next() {
				read.Write(ev.Raw)
			}
			if c.err == nil && read.String() != c.stream {
				t.Errorf("read %q", read.String())
			}
		})
	}
}
