package endpoint

import (
	"bytes"
	"errors"
)

// doneMarker is the data of the event that ends a stream of completions.
const doneMarker = "[DONE]"

var (
	errEventTooLong  = errors.New("event is larger than the limit")
	errAfterEnd      = errors.New("data after the end marker")
	errPartialEvent  = errors.New("stream ended inside an event")
	errNoEndMarker   = errors.New("stream ended without its end marker")
	dataField        = []byte("data")
	eventLineBreak   = []byte("\n")
	carriageReturn   = []byte("\r")
	eventFieldColon  = []byte(":")
	eventLeadingText = []byte(" ")
)

// splitter cuts a stream of server-sent events into whole events, however the
// bytes are cut on their way. Lines end with LF or CR LF. Blocks without a
// data field (comments, keep-alives) are dropped, because only events with
// data are numbered.
type splitter struct {
	// limit is the largest size of one event in bytes.
	limit int

	block   []byte
	line    int // start of the current line in block
	data    []byte
	hasData bool
	done    []byte
	// other is the number of bytes without data since the last event.
	other int
}

// feed takes the next bytes and calls emit with each whole event. The end
// marker is not emitted: it is kept until the transfer has ended as well, so
// that nobody takes a stream for whole that was cut behind it.
func (s *splitter) feed(p []byte, emit func([]byte)) error {
	for len(p) > 0 {
		if s.done != nil {
			return errAfterEnd
		}
		n := bytes.IndexByte(p, '\n') + 1
		if n == 0 {
			n = len(p)
		}
		if len(s.block)+n > s.limit {
			return errEventTooLong
		}
		s.block = append(s.block, p[:n]...)
		p = p[n:]
		if bytes.HasSuffix(s.block[s.line:], eventLineBreak) {
			s.endLine(emit)
		}
		if s.other > maxOtherBytes {
			return errOtherTooLong
		}
	}
	return nil
}

// endLine handles the line that has just become whole.
func (s *splitter) endLine(emit func([]byte)) {
	line := bytes.TrimSuffix(s.block[s.line:], eventLineBreak)
	line = bytes.TrimSuffix(line, carriageReturn)
	s.line = len(s.block)
	if len(line) == 0 {
		s.endEvent(emit)
		return
	}
	field, value, _ := bytes.Cut(line, eventFieldColon)
	if !bytes.Equal(field, dataField) {
		return
	}
	if s.hasData {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, bytes.TrimPrefix(value, eventLeadingText)...)
	s.hasData = true
}

// endEvent handles the blank line that closes an event.
func (s *splitter) endEvent(emit func([]byte)) {
	s.other += len(s.block)
	if s.hasData {
		s.other = 0
	}
	switch {
	case !s.hasData:
	case string(s.data) == doneMarker:
		s.done = s.block
	default:
		emit(s.block)
	}
	s.block, s.line = nil, 0
	s.data, s.hasData = s.data[:0], false
}

// end returns the event with the end marker when the stream is whole.
func (s *splitter) end() ([]byte, error) {
	if len(s.block) > 0 {
		return nil, errPartialEvent
	}
	if s.done == nil {
		return nil, errNoEndMarker
	}
	return s.done, nil
}
