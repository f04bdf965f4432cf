package direct

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event; streams carry a few tokens in each.
const maxEvent = 1 << 20

// ErrTorn reports a stream that ended inside an event.
var ErrTorn = errors.New("direct: the stream ended inside an event")

var errEventTooLong = errors.New("direct: an event is too long")

// Event is one whole event of a stream, as it came.
type Event struct {
	// Raw is the event with the blank line that ends it. It holds until the
	// next call of Next.
	Raw []byte
	// ID is the event's number, and HasID whether it has one.
	ID    int64
	HasID bool
}

// Events cuts a stream into whole events, however its bytes were cut on their
// way. An event that the stream's end has torn is never returned.
type Events struct {
	r     io.Reader
	buf   []byte
	start int
	err   error
}

// NewEvents returns the events of r.
func NewEvents(r io.Reader) *Events { return &Events{r: r} }

// Next returns the next event. At the whole stream's end it returns io.EOF, and
// ErrTorn when bytes of an event are left over.
func (e *Events) Next() (Event, error) {
	for {
		if ev, ok := e.cut(); ok {
			return ev, nil
		}
		if e.err != nil {
			if e.err == io.EOF && len(bytes.TrimSpace(e.buf[e.start:])) > 0 {
				return Event{}, ErrTorn
			}
			return Event{}, e.err
		}
		e.fill()
	}
}

// Waiting reports whether another whole event is there already.
func (e *Events) Waiting() bool { return endOf(e.buf[e.start:]) > 0 }

func (e *Events) fill() {
	if e.start > 0 {
		e.buf = append(e.buf[:0], e.buf[e.start:]...)
		e.start = 0
	}
	if len(e.buf) > maxEvent {
		e.err = errEventTooLong
		return
	}
	n := len(e.buf)
	e.buf = append(e.buf, make([]byte, readBuffer)...)
	m, err := e.r.Read(e.buf[n:])
	e.buf = e.buf[:n+m]
	e.err = err
}

func (e *Events) cut() (Event, bool) {
	n := endOf(e.buf[e.start:])
	if n == 0 {
		return Event{}, false
	}
	raw := e.buf[e.start : e.start+n]
	e.start += n
	ev := Event{Raw: raw}
	ev.ID, ev.HasID = eventID(raw)
	return ev, true
}

// endOf returns where the first event of b ends, or 0.
func endOf(b []byte) int {
	at := 0
	for {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		rest := b[at:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return at + 1
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return at + 2
		}
	}
}

func eventID(raw []byte) (int64, bool) {
	for _, line := range bytes.Split(raw, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
