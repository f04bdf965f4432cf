package direct

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventSize bounds one event, in bytes. Events usually carry a few tokens.
const maxEventSize = 1 << 20

// ErrPartialEvent reports a stream that ended inside an event.
var ErrPartialEvent = errors.New("direct: stream ended inside an event")

var errEventTooLong = errors.New("direct: event is too long")

// Event is one complete server-sent event.
type Event struct {
	// Raw is the event as received, with the blank line that ends it. It is
	// valid until the next call to Next.
	Raw []byte
	// ID is the value of the event's id field. HasID reports whether the event
	// has an id that is an integer.
	ID    int64
	HasID bool
}

// EventReader splits a stream into complete events, independent of how its bytes
// are distributed over reads. It never returns an event that is cut off by the end
// of the stream.
type EventReader struct {
	r     io.Reader
	buf   []byte
	start int
	err   error
}

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{r: r} }

// Next returns the next event. It returns io.EOF at the end of the stream,
// ErrPartialEvent if the stream ended inside an event, and otherwise the error of
// the reader or an error for an event that is too long.
func (e *EventReader) Next() (Event, error) {
	for {
		if ev, ok := e.takeEvent(); ok {
			return ev, nil
		}
		if e.err != nil {
			if e.err == io.EOF && len(bytes.TrimSpace(e.buf[e.start:])) > 0 {
				return Event{}, ErrPartialEvent
			}
			return Event{}, e.err
		}
		e.fill()
	}
}

// Buffered reports whether another complete event is buffered.
func (e *EventReader) Buffered() bool { return eventEnd(e.buf[e.start:]) > 0 }

// fill reads more bytes into the buffer and records the error, if any.
func (e *EventReader) fill() {
	if e.start > 0 {
		e.buf = append(e.buf[:0], e.buf[e.start:]...)
		e.start = 0
	}
	if len(e.buf) > maxEventSize {
		e.err = errEventTooLong
		return
	}
	n := len(e.buf)
	e.buf = append(e.buf, make([]byte, readBufferSize)...)
	m, err := e.r.Read(e.buf[n:])
	e.buf = e.buf[:n+m]
	e.err = err
}

// takeEvent removes the first complete event from the buffer.
func (e *EventReader) takeEvent() (Event, bool) {
	n := eventEnd(e.buf[e.start:])
	if n == 0 {
		return Event{}, false
	}
	raw := e.buf[e.start : e.start+n]
	e.start += n
	ev := Event{Raw: raw}
	ev.ID, ev.HasID = eventID(raw)
	return ev, true
}

// eventEnd returns the length of the first event in b, including the blank line
// that ends it, or 0 if it is incomplete.
func eventEnd(b []byte) int {
	pos := 0
	for {
		i := bytes.IndexByte(b[pos:], '\n')
		if i < 0 {
			return 0
		}
		pos += i + 1
		rest := b[pos:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return pos + 1
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return pos + 2
		}
	}
}

// eventID returns the value of the first id field of an event, and whether it
// is an integer.
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
