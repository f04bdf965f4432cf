package frontend

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// newRawSystem starts an entry and two endpoints, of which the first sends the bytes that answer returns for the
// sound answer.
func newRawSystem(t *testing.T, answer func(sound string) string) (*system, *entry) {
	t.Helper()
	s := newSystem(t, 2)
	s.endpoints[0].AnswerRaw(answer)
	return s, s.start("entry1", s.store.Addr())
}

// wantServedElsewhere checks what callers get whose request has reached the first endpoint, which answers nothing of
// use: the answer of the second one, and for an order that it isn't known whether it ran.
func (s *system) wantServedElsewhere(e *entry, path string) {
	s.t.Helper()
	s.requestsToFirst(e, path, 2, func(resp response) {
		s.t.Helper()
		if strings.HasPrefix(path, "/order/") {
			s.wantStatus(resp, http.StatusBadGateway)
			if code := resp.header.Get("X-Result-Code"); code != "3001" {
				s.t.Errorf("code %s, %q", code, resp.body)
			}
		} else {
			s.wantWholeAnswer(resp, path, "i-1")
		}
		if resp.header.Get("X-Hyssoprelay-Replica-Seal") == "seal-i-0" || resp.header.Get("X A") != "" {
			s.t.Errorf("the malformed answer is passed on: %v", resp.header)
		}
	})
}

// wantMalformed checks that nothing of what the first endpoint sends reaches a caller, on all kinds of route, and that
// the log says why.
func wantMalformed(t *testing.T, fault string, answer func(sound string) string) {
	for _, path := range []string{"/look/1", "/order/1", "/stream/1"} {
		t.Run(path[1:], func(t *testing.T) {
			t.Parallel()
			s, e := newRawSystem(t, answer)
			s.wantServedElsewhere(e, path)
			s.eventually("the log names the fault", func() bool {
				return e.log.Has(`"malformed":"`+fault+`"`) && e.log.Has(`"firstBytes":"\"HTTP/1.`)
			})
		})
	}
}

// An endpoint answers with a status that no answer can have. Guards against passing it on, and against passing on what
// follows it.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]func(sound string) string{
		"000":                       func(sound string) string { return strings.Replace(sound, "200 OK", "000 Oops", 1) },
		"000 before a sound answer": func(sound string) string { return "HTTP/1.1 000 Oops\r\n\r\n" + sound },
		"000 with the head of 200":  func(sound string) string { return strings.Replace(headOf(sound), "200 OK", "000 Oops", 1) + sound },
		"+20 before a sound answer": func(sound string) string { return "HTTP/1.1 +20 Oops\r\n\r\n" + sound },
		"999":                       func(sound string) string { return strings.Replace(sound, "200 OK", "999 Oops", 1) },
		"600 that says it is unrun": func(sound string) string {
			return strings.Replace(sound, "200 OK", "600 Oops\r\nX-Hyssoprelay-Not-Executed: 1", 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wantMalformed(t, "statusCode", answer)
		})
	}
}

// An endpoint answers with a field whose name holds a blank or a control byte. Guards against passing the line on, and
// against a body that isn't the endpoint's because the field that frames it isn't seen.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault  string
		answer func(sound string) string
	}{
		"a blank in a name": {"fieldName", func(sound string) string { return withField(sound, "X A: b") }},
		"a blank before the colon of what frames the body": {"fieldName", func(sound string) string {
			framed := strings.Replace(sound, "Content-Length:", "Content-Length :", 1)
			return strings.Replace(framed, "Transfer-Encoding:", "Transfer-Encoding :", 1)
		}},
		"chunks that are not seen": {"fieldName", func(sound string) string {
			h := strings.NewReplacer("Content-Length: 13\r\n", "", "Transfer-Encoding: chunked\r\n", "").Replace(headOf(sound))
			return withField(h, "Transfer-Encoding : chunked") + "3\r\nabc\r\n0\r\n\r\n"
		}},
		"an informational answer": {"fieldName", func(sound string) string {
			return "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + sound
		}},
		"a control byte": {"syntax", func(sound string) string { return withField(sound, "X\x01A: b") }},
		"a blank, and said to be unrun": {"fieldName", func(sound string) string {
			return withField(strings.Replace(sound, "200 OK", "503 Oops", 1), "X A: b\r\nX-Hyssoprelay-Not-Executed: 1")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wantMalformed(t, c.fault, c.answer)
		})
	}
}

// An endpoint answers with chunks over HTTP/1.0, which has none. Guards against a body that isn't the endpoint's because
// the sizes of the chunks are passed on as a part of it.
func TestChunksOverHTTP10AreNoAnswer(t *testing.T) {
	t.Parallel()
	wantMalformed(t, "transferEncoding", func(sound string) string {
		h := strings.NewReplacer("Content-Length: 13\r\n", "", "Transfer-Encoding: chunked\r\n", "", "HTTP/1.1", "HTTP/1.0").Replace(headOf(sound))
		return withField(h, "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n"
	})
}

// withField returns an answer with a further line in its head.
func withField(answer, line string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+line+"\r\n", 1)
}

// headOf returns the head of an answer.
func headOf(answer string) string {
	h, _, _ := strings.Cut(answer, "\r\n\r\n")
	return h + "\r\n\r\n"
}

// One of two endpoints answers with a status that no answer can have. Guards against asking it as often as a sound one.
func TestEndpointWithMalformedAnswersIsAvoided(t *testing.T) {
	t.Parallel()
	s, e := newRawSystem(t, func(sound string) string { return "HTTP/1.1 000 Oops\r\n\r\n" + sound })
	const requests = 40
	reached := 0
	for i := range requests {
		id := fmt.Sprint("q", i)
		s.wantStatus(e.request(context.Background(), "/look/1", id, "k1"), http.StatusOK)
		reached += s.endpoints[0].Runs(id)
	}
	if reached == 0 || reached > requests/4 {
		t.Errorf("%d of %d requests reach it", reached, requests)
	}
}
