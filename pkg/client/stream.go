package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	doneMarker = "[DONE]"
	errorEvent = "error"
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 8 << 20
)

// Piece is one event of a streamed answer, without its framing.
type Piece struct {
	number uint64
	data   []byte
}

// Number returns the piece's number; numbers begin at 0 and have no gaps.
func (p Piece) Number() uint64 { return p.number }

// Data returns the event's data: one chat completion chunk as JSON.
func (p Piece) Data() []byte { return p.data }

// stream is a streamed answer on its way, over all attempts.
type stream struct {
	take    func(Piece) error
	next    uint64
	fetchID string
}

// sinkError is an error of the caller's own function.
type sinkError struct{ err error }

func (e sinkError) Error() string { return e.err.Error() }

func (e sinkError) Unwrap() error { return e.err }

// Stream asks a model and passes the answer's pieces to take, each once and in
// order, as they come. It returns nil only when the answer is whole: the end
// marker has come, and the end of the transfer after it. An error of take ends
// it and is returned.
func (c *Client) Stream(ctx context.Context, q Chat, take func(Piece) error) error {
	k, err := c.chatCall(q, true)
	if err != nil {
		return err
	}
	s := &stream{take: take}
	next := k
	for n := 1; ; n++ {
		had := s.next
		err := c.follows(ctx, s, next)
		var own sinkError
		if errors.As(err, &own) {
			return own.err
		}
		if err == nil || !again(ctx, err, s.next) {
			return err
		}
		if s.next > had {
			n = 1
		}
		if n >= c.attempts() || !c.pause(ctx, err, n) {
			return err
		}
		next = c.follow(k, err, s.fetchID, s.next)
	}
}

// follows sends k and reads the stream that answers it.
func (c *Client) follows(ctx context.Context, s *stream, k *call) error {
	entry := c.entry()
	resp, err := c.send(ctx, k)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // What was read is judged already.
	if id := resp.Header.Get(headerFetchID); id != "" {
		if s.next > 0 && s.fetchID != "" && id != s.fetchID {
			return result.Newf(result.AnswerIncomplete, "the rest is that of another answer, %q", id)
		}
		s.fetchID = id
	}
	if kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type")); err != nil || kind != "text/event-stream" {
		return notStream(resp.StatusCode, resp.Body)
	}
	err = s.read(resp.Body)
	if err != nil {
		c.leave(entry)
	}
	return err
}

// notStream returns the error of an endpoint that answered otherwise.
func notStream(status int, body io.Reader) error {
	raw, err := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	if err != nil {
		return result.Newf(result.AnswerIncomplete, "%v", err)
	}
	return result.Newf(result.EndpointFailed, "status %d in place of a stream: %s", status, raw)
}

// read passes on the pieces of one response.
func (s *stream) read(body io.Reader) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxLineBytes)
	var ev event
	done := false
	for sc.Scan() {
		if len(sc.Bytes()) > 0 {
			ev.add(sc.Bytes())
			continue
		}
		if done {
			return result.New(result.AnswerIncomplete, "data after the end marker")
		}
		var err error
		if done, err = s.event(ev); err != nil {
			return err
		}
		ev = event{}
	}
	switch {
	case sc.Err() != nil:
		return result.Newf(result.AnswerIncomplete, "%v", sc.Err())
	case !done || ev.hasData:
		return result.New(result.AnswerIncomplete, "the stream ended without its end marker")
	default:
		return nil
	}
}

// event takes one event and says whether it is the end marker.
func (s *stream) event(ev event) (done bool, err error) {
	switch {
	case ev.kind == errorEvent:
		return false, eventError(ev.data)
	case !ev.hasData:
		return false, nil
	case string(ev.data) == doneMarker:
		return true, nil
	}
	if err := s.take(Piece{number: s.next, data: ev.data}); err != nil {
		return false, sinkError{err}
	}
	s.next++
	return false, nil
}

// eventError returns the result that an entry puts at the end of a stream that
// it can't finish.
func eventError(data []byte) error {
	var b errorBody
	if err := json.Unmarshal(data, &b); err != nil || b.Error.Code == 0 {
		return result.New(result.AnswerIncomplete, "an error event that can't be read")
	}
	return b.result()
}

// event is a server-sent event.
type event struct {
	kind    string
	data    []byte
	hasData bool
}

func (e *event) add(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "event":
		e.kind = string(value)
	case "data":
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		e.hasData = true
	}
}
