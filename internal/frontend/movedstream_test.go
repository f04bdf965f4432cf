package frontend

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	base "github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// noOverdueMove is a time to wait for the next engine that no test reaches.
const noOverdueMove = time.Minute

// startMove requests a stream, waits until it has begun, and has it moved to the other engine, which
// behaves as set by behave. The channel receives the bytes that the caller gets.
func (s *system) startMove(e *entry, behave func(next *standin.Endpoint)) <-chan string {
	s.t.Helper()
	received, begun := make(chan string, 1), make(chan struct{})
	go func() { received <- s.rawStream(e, "s1", begun) }()
	// A stream that is moved before has no part yet.
	s.eventually("the answer has begun", func() bool {
		select {
		case <-begun:
			return true
		default:
			return false
		}
	})
	for _, ep := range s.endpoints {
		if ep.Runs("s1") == 0 {
			behave(ep)
		}
	}
	s.moveStream(e, "s1")
	return received
}

// wantWholeRaw checks that the bytes are one complete stream, with each event once and in order.
func (s *system) wantWholeRaw(raw string, events int) {
	s.t.Helper()
	got, want := eventNumbers(raw), []string(nil)
	for i := 1; i <= events; i++ {
		want = append(want, fmt.Sprint("id: ", i))
	}
	if n := strings.Count(raw, "HTTP/1."); n != 1 || !slices.Equal(got, want) || !strings.HasSuffix(raw, "0\r\n\r\n") {
		s.t.Errorf("%d heads, events %q: %q", n, got, raw)
	}
}

// eventNumbers returns the lines with the numbers of a stream's events.
func eventNumbers(body string) []string {
	var out []string
	for _, line := range strings.Split(body, "\n") {
		if strings.HasPrefix(line, "id: ") {
			out = append(out, line)
		}
	}
	return out
}

// A stream is to be moved off a slow engine, and the next one fails it, refuses it or breaks off at once.
// Guards against breaking off a stream that the slow engine would have ended.
func TestStreamGoesOnWhereItWasIfTheNextEngineFails(t *testing.T) {
	t.Parallel()
	failures := map[string]func(*standin.Endpoint){
		"resets": func(ep *standin.Endpoint) { ep.Behave(standin.Resets) },
		"breaks off within an event": func(ep *standin.Endpoint) {
			ep.AnswerUnframed(&standin.Unframed{Events: -1, Text: "id: 2\ndata: pa"})
		},
		"ends without an event": func(ep *standin.Endpoint) { ep.AnswerUnframed(&standin.Unframed{Events: -1}) },
		"a failure whose body has no end": func(ep *standin.Endpoint) {
			ep.AnswerEndless(&base.EndlessSender{Element: base.Failure, Rate: 1000})
		},
	}
	for _, status := range statusesWithinAStream {
		failures[fmt.Sprint(status)] = func(ep *standin.Endpoint) { ep.FailWith(status) }
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, e := newGroupOfTwo(t, noOverdueMove)
			s.wantWholeRaw(<-s.startMove(e, fail), 5)
			s.eventually("the failed move is logged", func() bool { return e.log.Has("stream is not moved") })
		})
	}
}

// A stream is moved off a slow engine, and the next one answers with a failure when the slow one has been
// left. Guards against a second head within the body that the caller is reading.
func TestFailureOfAMovedStreamBreaksItOff(t *testing.T) {
	t.Parallel()
	const handoverTime, afterHandover = time.Millisecond, 500 * time.Millisecond
	for _, status := range statusesWithinAStream {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			s, e := newGroupOfTwo(t, handoverTime)
			s.wantBrokenOff(<-s.startMove(e, func(ep *standin.Endpoint) { ep.FailLate(status, afterHandover) }))
		})
	}
}

// The next engine of a moved stream is slow to answer. Guards against events of the engine that is left
// beside those of the next one, and against events that are lost between them.
func TestStreamMovesToAnEngineThatAnswersLate(t *testing.T) {
	t.Parallel()
	s, e := newGroupOfTwo(t, 0)
	for _, ep := range s.endpoints {
		ep.Work = 300 * time.Millisecond
	}
	s.wantWholeRaw(<-s.startMove(e, func(*standin.Endpoint) {}), 5)
}

// The caller of a stream leaves while the stream is being moved. Guards against a next engine that goes on
// working for nobody.
func TestCallerThatLeavesDuringAMoveFreesTheNextEngine(t *testing.T) {
	t.Parallel()
	s, e := newGroupOfTwo(t, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan response, 1)
	go func() { ended <- e.request(ctx, "/stream/1", "s1", "k1") }()
	s.eventually("an engine serves the stream", func() bool { return s.runs("s1") == 1 })
	var next *standin.Endpoint
	for _, ep := range s.endpoints {
		if ep.Runs("s1") == 0 {
			next = ep
			ep.Behave(standin.Hangs)
		}
	}
	s.moveStream(e, "s1")
	cancel()
	<-ended
	s.eventually("the next engine was left", func() bool { return next.Left() == 1 })
	s.eventually("the request has ended", func() bool { return e.log.Has(`"msg":"request ended"`) })
}
