package client

import (
	"io"
	"net/http"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

type answerFunc = func(http.ResponseWriter, *http.Request)

// naming has an answer name the request id, or none.
func naming(id string, f answerFunc) answerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Del(headerRequestID)
		if id != "" {
			w.Header().Set(headerRequestID, id)
		}
		f(w, r)
	}
}

// Guards against an order that is shipped twice: it may have run, and a late refusal of another request
// says that it was not run.
func TestRefusalOfAnotherRequestIsNoPromise(t *testing.T) {
	for name, first := range map[string]answerFunc{
		"names another request":    naming("other", refusing(result.EndpointCold)),
		"names no request":         naming("", refusing(result.EndpointCold)),
		"is refused for good":      naming("other", refusing(result.UnknownRoute)),
		"ran, for another request": naming("other", refusing(result.EndpointFailed)),
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{answers: []answerFunc{first, saying("done")}}
			_, err := s.client(t).Service(t.Context(), order)
			requireCode(t, err, result.OutcomeUnknown)
			s.requireSeen(t, orderSeen)
		})
	}
}

// Guards against a caller who doesn't learn what is wrong with a request that the entry could not read,
// so that it names none.
func TestRefusalOfAnUnreadableRequestIsPassedOn(t *testing.T) {
	s := &script{answers: []answerFunc{naming("", refusing(result.BadHeader))}}
	_, err := s.client(t).Service(t.Context(), order)
	requireCode(t, err, result.BadHeader)
}

// Guards against a stream of two texts: what is fetched as the rest belongs to another attempt.
func TestRestOfAnotherAttemptIsNotTaken(t *testing.T) {
	another := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerResult, "0")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(headerFetchID, "r1@e1@8")
		_, _ = io.WriteString(w, "data: x\n\ndata: [DONE]\n\n")
	}
	s := &script{answers: []answerFunc{streaming(true, "data: a"), another}}
	text, err := collect(t, s)
	requireCode(t, err, result.AnswerIncomplete)
	if text != "a" {
		t.Errorf("got %q", text)
	}
}

// Guards against half an answer that passes for whole, because something between client and entry sends
// it without length and chunks, so that only the end of the connection marks its end.
func TestAnswerOfUnknownLengthIsNotWhole(t *testing.T) {
	unframed := func(w http.ResponseWriter, r *http.Request) {
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\n" + headerResult + ": 0\r\n" + headerRequestID + ": " + r.Header.Get(headerRequestID) + "\r\n\r\nhal")
		_ = buf.Flush()
	}
	for method, want := range map[string]result.Code{http.MethodPost: result.AnswerIncomplete, http.MethodHead: result.OK} {
		t.Run(method, func(t *testing.T) {
			s := &script{answers: []answerFunc{unframed}}
			call := order
			call.Method = method
			_, err := s.client(t).Service(t.Context(), call)
			requireCode(t, err, want)
		})
	}
}

// Something between client and entry, or an entry in trouble, answers with a status that no answer can have. Guards
// against passing it on.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, code := range []string{headerResult + ": 0\r\n", ""} {
			t.Run(status+code, func(t *testing.T) {
				invalid := func(w http.ResponseWriter, r *http.Request) {
					conn, buf, err := w.(http.Hijacker).Hijack()
					if err != nil {
						panic(err)
					}
					defer func() { _ = conn.Close() }()
					_, _ = buf.WriteString("HTTP/1.1 " + status + " X\r\n" + code + headerRequestID + ": " + r.Header.Get(headerRequestID) + "\r\nContent-Length: 2\r\n\r\nok")
					_ = buf.Flush()
				}
				s := &script{answers: []answerFunc{invalid}}
				a, err := s.client(t).Service(t.Context(), order)
				if result.CodeOf(err) != result.OutcomeUnknown {
					t.Errorf("%v, %v", a, err)
				}
			})
		}
	}
}
