package frontend

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// newUnframedSystem starts an entry and two endpoints, of which the first sends answers without
// length and chunks as u says.
func newUnframedSystem(t *testing.T, resumable bool, u *standin.Unframed) (*system, *entry) {
	t.Helper()
	s := newSystem(t, 2)
	cfg := config(2, `"k1"`)
	if !resumable {
		cfg = bytes.Replace(cfg, []byte(`"resumable":true,`), nil, 1)
	}
	s.store.Put("op/config", cfg)
	s.endpoints[0].AnswerUnframed(u)
	return s, s.start("entry1", s.store.Addr())
}

// requestsToFirst sends requests until n have reached the first endpoint, and passes their responses
// to check. The endpoint is ejected for up to some seconds after failures; the time limit only ends a test
// that hangs.
func (s *system) requestsToFirst(e *entry, path string, n int, check func(resp response)) {
	s.t.Helper()
	send := func(id string) response { return e.request(context.Background(), path, id, "k1") }
	s.sendToFirst(path, n, send, check)
}

// uploadsToFirst is requestsToFirst for two requests with a body of the given size in bytes.
func (s *system) uploadsToFirst(e *entry, path string, size int, check func(resp response)) {
	s.t.Helper()
	send := func(id string) response { return e.upload(context.Background(), path, id, size) }
	s.sendToFirst(path, 2, send, check)
}

// sendToFirst calls send with one ID after the other until n requests have reached the first endpoint.
func (s *system) sendToFirst(path string, n int, send func(id string) response, check func(resp response)) {
	s.t.Helper()
	end := time.Now().Add(20 * time.Second)
	for i, reached := 0, 0; reached < n; i++ {
		if time.Now().After(end) {
			s.t.Fatal("the first endpoint gets no requests")
		}
		id := fmt.Sprint("q", strings.ReplaceAll(path, "/", "-"), i)
		resp := send(id)
		if s.endpoints[0].Runs(id) > 0 {
			reached++
			check(resp)
		}
	}
}

// An endpoint ends its answers with the connection. Guards against answers that are lost, cut or
// sent twice for it.
func TestWholeAnswersWithoutLengthAreDelivered(t *testing.T) {
	t.Parallel()
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprint("resumable ", resumable), func(t *testing.T) {
			t.Parallel()
			s, e := newUnframedSystem(t, resumable, &standin.Unframed{})
			s.requestsToFirst(e, "/look/1", 2, func(resp response) {
				s.wantStatus(resp, http.StatusOK)
				if resp.body != "answer of i-0" {
					t.Errorf("body %q", resp.body)
				}
			})
			s.requestsToFirst(e, "/order/1", 2, func(resp response) { s.wantStatus(resp, http.StatusOK) })
			s.requestsToFirst(e, "/stream/1", 2, func(resp response) { s.wantWholeStream(resp, 5) })
		})
	}
}

// A stream begins with a comment. Guards against answers that lack what precedes the first event.
func TestCommentBeforeTheFirstEventIsDelivered(t *testing.T) {
	t.Parallel()
	const text = ": comment\n\nid: 1\ndata: x\n\n"
	s, e := newUnframedSystem(t, true, &standin.Unframed{Events: -1, Text: text})
	s.requestsToFirst(e, "/stream/1", 2, func(resp response) {
		if resp.body != text {
			t.Errorf("body %q", resp.body)
		}
	})
}

// An endpoint's stream without chunks ends too early: before the first event, inside an event, or
// with a reset. Guards against passing it on as complete, and against not resuming it.
func TestBrokenStreamsWithoutLengthAreNotComplete(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		unframed standin.Unframed
		// begun means that the caller has received a part.
		begun bool
	}{
		"inside the first event": {standin.Unframed{Events: -1, Text: "id: 1\nda"}, false},
		"before any event":       {standin.Unframed{Events: -1}, false},
		"inside an event":        {standin.Unframed{Events: 2, Text: "id: 3\ndata: to"}, true},
		"reset inside an event":  {standin.Unframed{Events: 2, Text: "id: 3\nda", Reset: true}, true},
		"reset after an event":   {standin.Unframed{Events: 2, Reset: true}, true},
	} {
		t.Run(name+", resumable", func(t *testing.T) {
			t.Parallel()
			s, e := newUnframedSystem(t, true, &c.unframed)
			s.requestsToFirst(e, "/stream/1", 2, func(resp response) { s.wantWholeStream(resp, 5) })
		})
		t.Run(name+", not resumable", func(t *testing.T) {
			t.Parallel()
			s, e := newUnframedSystem(t, false, &c.unframed)
			s.requestsToFirst(e, "/stream/1", 2, func(resp response) {
				if resp.err == nil && resp.status == http.StatusOK {
					t.Errorf("the broken stream looks complete: %q", resp.body)
				}
				if !c.begun && resp.status != http.StatusBadGateway {
					t.Errorf("status %d, %v", resp.status, resp.err)
				}
			})
		})
	}
}

// An endpoint resets the connection within an answer without length. Guards against passing on half
// an answer as the whole one.
func TestResetAnswersWithoutLengthAreNotComplete(t *testing.T) {
	t.Parallel()
	s, e := newUnframedSystem(t, true, &standin.Unframed{Reset: true})
	s.requestsToFirst(e, "/look/1", 2, func(resp response) {
		s.wantStatus(resp, http.StatusOK)
		if resp.body != "answer of i-1" {
			t.Errorf("body %q", resp.body)
		}
	})
}

// Both endpoints end their streams inside an event. Guards against streams that are not resumed and
// look-ups that are refused because both endpoints count as failing, although both answer.
func TestEndpointsThatAllBreakOffStreamsAreUsed(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	for _, ep := range s.endpoints {
		ep.AnswerUnframed(&standin.Unframed{Events: 3, Text: "id: 4\ndata: to"})
	}
	e := s.start("entry1", s.store.Addr())
	// Fewer than the retry budget of an entry that has just started allows.
	for i := range 8 {
		s.wantWholeStream(e.request(context.Background(), "/stream/1", fmt.Sprint("s", i), "k1"), 5)
		s.wantStatus(e.request(context.Background(), "/look/1", fmt.Sprint("l", i), "k1"), http.StatusOK)
	}
}

// An endpoint answers twice, and only the end of the connection marks the end of its answers. Guards
// against passing on the second answer as a part of the first one, and against reporting that an order
// that ran did not.
func TestSecondAnswerIsNoPartOfAnAnswerWithoutLength(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
		twice := &standin.Unframed{Twice: true, CopyDelay: delay}
		t.Run(fmt.Sprint("resumable, ", delay), func(t *testing.T) {
			t.Parallel()
			s, e := newUnframedSystem(t, true, twice)
			s.requestsToFirst(e, "/look/1", 2, func(resp response) {
				s.wantStatus(resp, http.StatusOK)
				if resp.body != "answer of i-1" {
					t.Errorf("body %q", resp.body)
				}
			})
			s.requestsToFirst(e, "/order/1", 2, func(resp response) { s.wantStatus(resp, http.StatusBadGateway) })
			s.requestsToFirst(e, "/stream/1", 2, func(resp response) { s.wantWholeStream(resp, 5) })
		})
		t.Run(fmt.Sprint("not resumable, ", delay), func(t *testing.T) {
			t.Parallel()
			s, e := newUnframedSystem(t, false, twice)
			s.requestsToFirst(e, "/stream/1", 2, func(resp response) {
				if resp.err == nil || strings.Contains(resp.body, "HTTP/1.") {
					t.Errorf("%v, body %q", resp.err, resp.body)
				}
			})
		})
	}
}

// wantWholeAnswer checks the response to a request with the given path: a whole stream, or the text of an endpoint.
func (s *system) wantWholeAnswer(resp response, path, endpoint string) {
	s.t.Helper()
	if strings.HasPrefix(path, "/stream/") {
		s.wantWholeStream(resp, 5)
		return
	}
	s.wantStatus(resp, http.StatusOK)
	if resp.body != "answer of "+endpoint {
		s.t.Errorf("body %q", resp.body)
	}
}

// earlyUploads are sizes in bytes of request bodies that an endpoint answers before it has read them: one
// that is written with the head, and some that are still being written when the answer arrives.
var earlyUploads = []int{8 << 10, 300 << 10, 1 << 20, 4 << 20}

// An endpoint answers a long request without length while it is being written, and resets the connection
// within the answer. Guards against taking the reset, which the writer of the request may be told, for the
// end of the answer.
func TestResetDuringAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	t.Parallel()
	for name, u := range map[string]standin.Unframed{
		"at once":      {Events: 2, Reset: true, ResetDelay: time.Nanosecond},
		"after 15 ms":  {Events: 2, Reset: true, ResetDelay: 15 * time.Millisecond},
		"long answers": {Events: 2, Reset: true, ResetDelay: 15 * time.Millisecond, ExtraBytes: 100 << 10},
	} {
		for _, path := range []string{"/look/1", "/order/1", "/stream/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newSystem(t, 1)
				s.endpoints[0].AnswerUnframed(&u)
				e := s.start("entry1", s.store.Addr())
				for _, size := range earlyUploads {
					for i := range 3 {
						id := fmt.Sprint("q", size, "-", i)
						resp := e.upload(context.Background(), path, id, size)
						if resp.err == nil && resp.status == http.StatusOK {
							t.Errorf("%d bytes: the broken answer looks complete: %.40q", size, resp.body)
						}
						s.wantTruth(resp, strings.Split(path, "/")[1], id)
					}
				}
			})
		}
	}
}

// The same, with another endpoint beside. Guards against refusing what it could serve.
func TestResetDuringAnUploadIsRepeatedElsewhere(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/look/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s, e := newUnframedSystem(t, true, &standin.Unframed{Events: 2, Reset: true})
			s.uploadsToFirst(e, path, 1<<20, func(resp response) {
				s.wantWholeAnswer(resp, path, "i-1")
			})
		})
	}
}

// An endpoint answers a long request without length while it is being written, ends its side of the
// connection in order and reads on. Guards against losing answers that are whole.
func TestAnswersWithoutLengthDuringAnUploadAreDelivered(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/look/1", "/order/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 1)
			s.endpoints[0].AnswerUnframed(&standin.Unframed{HalfClose: true})
			e := s.start("entry1", s.store.Addr())
			for _, size := range earlyUploads {
				resp := e.upload(context.Background(), path, fmt.Sprint("q", size), size)
				s.wantWholeAnswer(resp, path, "i-0")
			}
		})
	}
}
