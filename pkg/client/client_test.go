package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// request is what an entry saw.
type request struct {
	line, id, deadline string
}

// script is a set of entries that answer in turn, whichever is asked.
type script struct {
	mu      sync.Mutex
	answers []func(w http.ResponseWriter, r *http.Request)
	seen    []request
	waits   []time.Duration
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	n := len(s.seen)
	s.seen = append(s.seen, request{
		line:     r.Method + " " + r.URL.RequestURI(),
		id:       r.Header.Get(headerRequestID),
		deadline: r.Header.Get(headerDeadline),
	})
	s.mu.Unlock()
	if n >= len(s.answers) {
		refuse(w, r, result.NoPreset, "the script has ended")
		return
	}
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	s.answers[n](w, r)
}

// client returns a client of entries that follow the script.
func (s *script) client(t *testing.T) *Client {
	t.Helper()
	c := &Client{Key: "secret", MaxAttempts: len(s.answers)}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("entries saw %v", s.seen)
		}
	})
	for range 2 {
		srv := standin.Serve(s)
		t.Cleanup(srv.Close)
		c.Entries = append(c.Entries, srv.URL)
	}
	c.sleep = func(_ context.Context, d time.Duration) error {
		s.waits = append(s.waits, d)
		return nil
	}
	return c
}

func refuse(w http.ResponseWriter, _ *http.Request, code result.Code, detail string) {
	info, _ := result.Lookup(code)
	w.Header().Set(headerResult, fmt.Sprint(int(code)))
	w.WriteHeader(max(info.Status(), http.StatusBadRequest))
	_, _ = fmt.Fprintf(w, `{"error":{"code":%d,"detail":%q,"retryAfterMillis":1500}}`, code, detail)
}

func refusing(code result.Code) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) { refuse(w, r, code, "scripted") }
}

func saying(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerResult, "0")
		_, _ = io.WriteString(w, text)
	}
}

func dropping(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// streaming sends events and then ends, or drops the connection.
func streaming(drop bool, events ...string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerResult, "0")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(headerFetchID, r.Header.Get(headerRequestID)+"@e1@7")
		for _, e := range events {
			_, _ = io.WriteString(w, e+"\n\n")
		}
		w.(http.Flusher).Flush()
		if drop {
			panic(http.ErrAbortHandler)
		}
	}
}

func requireCode(t *testing.T, err error, want result.Code) {
	t.Helper()
	if got := result.CodeOf(err); got != want {
		t.Fatalf("got %v (%v), want %v", got, err, want)
	}
}

// requireSeen checks the methods and paths that the entries saw, and that all
// carried one request id.
func (s *script) requireSeen(t *testing.T, want ...string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var got []string
	for _, r := range s.seen {
		got = append(got, r.line)
		if r.id != s.seen[0].id {
			t.Errorf("request ids differ")
		}
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Fatalf("entries saw\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

var order = ServiceCall{Service: "orders", Method: http.MethodPost, Path: "confirm", Body: []byte("2 pallets")}

const orderSeen = "POST /v1/services/orders/confirm"

// An order desk's clerk confirms an order and something goes wrong. The order
// must go out again exactly when that can't ship it twice.
func TestServiceRepeatsOnlyWhenSafe(t *testing.T) {
	for _, tc := range []struct {
		name  string
		key   string
		first func(http.ResponseWriter, *http.Request)
		want  result.Code
		sent  int
	}{
		{"refused as not run", "", refusing(result.EndpointCold), result.OK, 2},
		{"refused for good", "", refusing(result.KeyMissing), result.KeyMissing, 1},
		{"ran and failed", "k", refusing(result.EndpointFailed), result.EndpointFailed, 1},
		{"unknown without a key", "", refusing(result.OutcomeUnknown), result.OutcomeUnknown, 1},
		{"unknown with a key", "k", refusing(result.OutcomeUnknown), result.OK, 2},
		{"code of a newer release", "", refusing(2999), result.Code(2999), 1},
		{"connection lost without a key", "", dropping, result.OutcomeUnknown, 1},
		{"balancer's status", "", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, result.OutcomeUnknown, 1},
		{"answer to another request", "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRequestID, "other")
		}, result.OutcomeUnknown, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &script{answers: []func(http.ResponseWriter, *http.Request){tc.first, saying("done")}}
			call := order
			call.IdempotencyKey = tc.key
			a, err := s.client(t).Service(t.Context(), call)
			requireCode(t, err, tc.want)
			if err == nil && string(a.Body()) != "done" {
				t.Fatalf("answer %q", a.Body())
			}
			s.requireSeen(t, []string{orderSeen, orderSeen}[:tc.sent]...)
		})
	}
}

// A refusal names the time to come back, in milliseconds in its body; a caller
// who comes back before is refused again.
func TestRetryAfterIsHonoured(t *testing.T) {
	s := &script{answers: []func(http.ResponseWriter, *http.Request){refusing(result.QueueFull), saying("done")}}
	_, err := s.client(t).Service(t.Context(), order)
	requireCode(t, err, result.OK)
	if len(s.waits) != 1 || s.waits[0] != 1500*time.Millisecond {
		t.Fatalf("waited %v", s.waits)
	}
}

// A caller whose deadline ends before the time to come back gets the refusal,
// which is true, and not a timeout, which says nothing.
func TestRefusalOutlivesDeadline(t *testing.T) {
	s := &script{answers: []func(http.ResponseWriter, *http.Request){
		func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerResult, fmt.Sprint(int(result.QueueFull)))
			w.Header().Set("Retry-After", "3600")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		saying("done"),
	}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := s.client(t).Service(ctx, order)
	requireCode(t, err, result.QueueFull)
	if s.seen[0].deadline == "" || result.Of(err).RetryAfter() != time.Hour {
		t.Errorf("deadline %q, retry after %v", s.seen[0].deadline, result.Of(err).RetryAfter())
	}
}

// An entry that is down has run nothing: the next one is asked.
func TestNextEntryWhenOneIsDown(t *testing.T) {
	s := &script{answers: []func(http.ResponseWriter, *http.Request){saying("done"), saying("done")}}
	c := s.client(t)
	down := standin.Serve(s)
	down.Close()
	c.Entries[0] = down.URL
	_, err := c.Service(t.Context(), order)
	requireCode(t, err, result.OK)
}

func TestNoEntries(t *testing.T) {
	if _, err := (&Client{}).Service(t.Context(), order); !errors.Is(err, ErrNoEntries) {
		t.Fatalf("got %v", err)
	}
}

// An entry dies while a clerk waits for a draft. The draft is fetched through
// another entry, and asked for anew only if nobody has it.
func TestChatIsFetchedAfterLoss(t *testing.T) {
	s := &script{answers: []func(http.ResponseWriter, *http.Request){
		dropping, refusing(result.AnswerNotFound), saying(`{"draft":1}`),
	}}
	a, err := s.client(t).Chat(t.Context(), Chat{Model: "m", RequestID: "r1"})
	requireCode(t, err, result.OK)
	if string(a.Body()) != `{"draft":1}` || a.RequestID() != "r1" {
		t.Fatalf("answer %+v", a)
	}
	s.requireSeen(t, "POST /v1/chat/completions", "GET /v1/answers/r1?from=0", "POST /v1/chat/completions")
}

// A broken connection made the entry believe that the clerk had left, and the
// draft was cancelled while she still waits: it is asked for anew.
func TestChatCancelledByMistake(t *testing.T) {
	s := &script{answers: []func(http.ResponseWriter, *http.Request){
		dropping, refusing(result.Cancelled), saying("draft"),
	}}
	_, err := s.client(t).Chat(t.Context(), Chat{Model: "m", RequestID: "r1"})
	requireCode(t, err, result.OK)
}

// collect streams a chat and returns its pieces joined.
func collect(t *testing.T, s *script) (string, error) {
	t.Helper()
	var b strings.Builder
	next := uint64(0)
	err := s.client(t).Stream(t.Context(), Chat{Model: "m", RequestID: "r1"}, func(p Piece) error {
		if p.Number() != next {
			t.Errorf("piece %d, want %d", p.Number(), next)
		}
		next++
		b.Write(p.Data())
		return nil
	})
	return b.String(), err
}

var events = []string{"data: a", ": keep-alive", "data: b", "event: x\ndata: c", "data: [DONE]"}

// An entry dies while a draft streams to a secretary, after any event of it.
// She gets each word once and in order, through another entry.
func TestStreamGoesOnWhereItBroke(t *testing.T) {
	pieces := []int{0, 1, 1, 2, 3, 3}
	for cut := range len(events) + 1 {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			rest := []string{"data: a", "data: b", "data: c", "data: [DONE]"}[pieces[cut]:]
			s := &script{answers: []func(http.ResponseWriter, *http.Request){
				streaming(true, events[:cut]...), streaming(false, rest...),
			}}
			text, err := collect(t, s)
			requireCode(t, err, result.OK)
			if text != "abc" {
				t.Fatalf("got %q", text)
			}
			s.requireSeen(t, "POST /v1/chat/completions", fmt.Sprintf("GET /v1/answers/r1@e1@7?from=%d", pieces[cut]))
		})
	}
}

// A stream that ends early must never pass for whole, however it ends.
func TestStreamIsWholeOrAnError(t *testing.T) {
	for name, tc := range map[string]struct {
		first func(http.ResponseWriter, *http.Request)
		want  result.Code
	}{
		"whole":            {streaming(false, events...), result.OK},
		"no end marker":    {streaming(false, "data: a"), result.AnswerIncomplete},
		"half an event":    {streaming(false, "data: [DONE]", "data: b\nid: 1"), result.AnswerIncomplete},
		"after the end":    {streaming(false, "data: [DONE]", "data: b", "data: [DONE]"), result.AnswerIncomplete},
		"error event":      {streaming(true, "data: a", "event: error\ndata: {\"error\":{\"code\":3002}}"), result.EndpointFailed},
		"unreadable error": {streaming(true, "event: error\ndata: x"), result.AnswerIncomplete},
		"not a stream":     {saying("{}"), result.EndpointFailed},
		"refused for good": {refusing(result.BadAccountKey), result.BadAccountKey},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{answers: []func(http.ResponseWriter, *http.Request){tc.first}}
			_, err := collect(t, s)
			requireCode(t, err, tc.want)
		})
	}
}

// The caller's own error ends the stream and comes back as it was.
func TestTakeEndsStream(t *testing.T) {
	s := &script{answers: []func(http.ResponseWriter, *http.Request){streaming(false, events...), saying("")}}
	own := errors.New("printer out of paper")
	err := s.client(t).Stream(t.Context(), Chat{Model: "m"}, func(Piece) error { return own })
	if err != own || len(s.seen) != 1 {
		t.Fatalf("got %v after %d calls", err, len(s.seen))
	}
}
