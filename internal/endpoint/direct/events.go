package direct

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
)

// ErrPartialEvent reports a stream that ended inside an event.
var ErrPartialEvent = errors.New("direct: stream ended inside an event")

// Event is one complete server-sent event, or another part of a stream that a blank line ends.
type Event struct {
	// Raw is the event as received, with the blank line that ends it. It is
	// valid until the next call to Next.
	Raw []byte
	// ID is the value of the event's id field. HasID reports whether the event
	// has an id that is an integer.
	ID    int64
	HasID bool
	// Other means that this is no event: it has neither data nor an id or a type.
	Other bool
}

// EventReader splits a stream into complete events, independent of how its bytes
// are distributed over reads. It never returns an event that is cut off by the end
// of the stream.
type EventReader struct {
	r     io.Reader
	buf   []byte
	start int
	err   error
	// other and repeated are the bytes since the last event that were no events, and events that the
	// caller had received before.
	other, repeated int
	received        int64
	// hold, if set, is called with the size of the buffer.
	hold func(n int) error
	// foreign, if set, reports whether a block belongs to another response.
	foreign func(block []byte) bool
}

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{r: r} }

// Events returns an EventReader for the body.
func (r *Response) Events() *EventReader {
	return &EventReader{r: r, hold: r.holdBuffer, foreign: r.beginsResponse}
}

// Next returns the next event. It returns io.EOF at the end of the stream,
// ErrPartialEvent if the stream ended inside an event, ErrSecondResponse if another
// response begins within it, and otherwise the error of the reader or a LimitError.
func (e *EventReader) Next() (Event, error) {
	n, err := e.await()
	if err == io.EOF && len(bytes.TrimSpace(e.buf[e.start:])) > 0 {
		err = ErrPartialEvent
	}
	if err != nil {
		return Event{}, err
	}
	ev := e.takeEvent(n)
	return ev, e.check(ev)
}

// Await blocks until Next has a block to return. It returns the error of the reader, or a LimitError, if
// none comes.
func (e *EventReader) Await() error {
	_, err := e.await()
	return err
}

// await reads until the first block is complete, and returns its length.
func (e *EventReader) await() (int, error) {
	for {
		if n := eventEnd(e.buf[e.start:]); n > 0 {
			return n, nil
		}
		if e.err != nil {
			return 0, e.err
		}
		e.fill()
	}
}

// check returns an error for a block that belongs to another response, or that exceeds a limit.
func (e *EventReader) check(ev Event) error {
	if e.foreign != nil && e.foreign(ev.Raw) {
		return ErrSecondResponse
	}
	return e.countOther(ev)
}

// countOther counts what is no event, up to the next event.
func (e *EventReader) countOther(ev Event) error {
	if !ev.Other {
		e.other = 0
		return nil
	}
	e.other += len(ev.Raw)
	return e.checkLimit(e.other, maxOtherBytes, LimitOther)
}

// CountRepeated counts an event that the caller has received before. It returns a LimitError if the
// stream contains too many of them.
func (e *EventReader) CountRepeated(ev Event) error {
	e.repeated += len(ev.Raw)
	return e.checkLimit(e.repeated, maxRepeatedBytes, LimitRepeated)
}

func (e *EventReader) checkLimit(n, limit int, name Limit) error {
	if n <= limit {
		return nil
	}
	return &LimitError{Limit: name, Bytes: e.received}
}

// fill reads more bytes into the buffer and records the error, if any.
func (e *EventReader) fill() {
	if e.start > 0 {
		e.buf = append(e.buf[:0], e.buf[e.start:]...)
		e.start = 0
	}
	n := len(e.buf)
	if e.err = e.checkLimit(n, maxEventBytes, LimitEvent); e.err != nil {
		return
	}
	e.buf = slices.Grow(e.buf, readBufferSize)
	if e.hold != nil {
		if e.err = e.hold(cap(e.buf)); e.err != nil {
			return
		}
	}
	m, err := e.r.Read(e.buf[n : n+readBufferSize])
	e.buf = e.buf[:n+m]
	e.received += int64(m)
	e.err = err
}

// takeEvent removes the first event, which has n bytes, from the buffer.
func (e *EventReader) takeEvent(n int) Event {
	raw := e.buf[e.start : e.start+n]
	e.start += n
	id, hasID, isEvent := inspect(raw)
	return Event{Raw: raw, ID: id, HasID: hasID, Other: !isEvent}
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

// inspect returns the value of the first id field of a block, whether it is an integer, and whether
// the block is an event: it has data, an id or a type, and not only comments, blank lines and unknown
// fields. It doesn't allocate, because a faulty endpoint may send millions of blocks per second.
func inspect(raw []byte) (id int64, hasID, isEvent bool) {
	seen := false
	for len(raw) > 0 {
		var line []byte
		line, raw, _ = bytes.Cut(raw, lineBreak)
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, carriageReturn), colon)
		switch string(name) {
		case "data", "event":
			isEvent = true
		case "id":
			isEvent = true
			if !seen {
				n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
				id, hasID, seen = n, err == nil, true
			}
		}
	}
	return id, hasID, isEvent
}

var (
	lineBreak      = []byte("\n")
	carriageReturn = []byte("\r")
	colon          = []byte(":")
)
