package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Key is the account key of the load, whose SHA-256 the presets hold.
const Key = "demo-key"

// Shape is what kind of request a caller sends.
type Shape int

// The shapes of requests.
const (
	Streamed Shape = iota
	Plain
	RunOnce
	shapes
)

// String names the shape.
func (s Shape) String() string {
	return [...]string{"streamed chats", "plain chats", "run-once orders"}[s]
}

// Outcome is what became of one request.
type Outcome struct {
	id     string
	shape  Shape
	code   result.Code
	whole  bool
	onTime bool
	detail string
}

// Load sends requests until it is stopped. Set the exported fields before Run.
type Load struct {
	// Entries returns where callers may connect now, as the platform's balancer
	// would choose.
	Entries func() []*Entry
	// Rate is requests a second.
	Rate float64
	// Deadline is the time that each request has.
	Deadline time.Duration
	// Only are the shapes that are sent; empty means all.
	Only []Shape
	// Seed makes arrivals and shapes repeatable.
	Seed uint64
	// Dial opens the callers' connections; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	client *http.Client

	mu       sync.Mutex
	outcomes []Outcome
}

// Run sends requests until ctx ends and waits for their answers.
func (l *Load) Run(ctx context.Context) error {
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	if l.Dial != nil {
		tr.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) { return l.Dial(ctx, addr) }
	}
	l.client = &http.Client{Transport: tr}
	defer l.client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(l.Seed, l.Seed))
	done := make(chan Outcome, 64)
	sent, ended := 0, 0
	for ctx.Err() == nil {
		gap := time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		next := time.NewTimer(gap)
		for waiting := true; waiting; {
			select {
			case <-next.C:
				waiting = false
			case o := <-done:
				l.record(o)
				ended++
			}
		}
		entries := l.Entries()
		if len(entries) == 0 {
			continue
		}
		e := entries[rng.IntN(len(entries))]
		shape := Shape(rng.IntN(int(shapes)))
		if len(l.Only) > 0 {
			shape = l.Only[rng.IntN(len(l.Only))]
		}
		id := fmt.Sprintf("demo-%d-%d", l.Seed, sent)
		sent++
		go func() { done <- l.send(e, id, shape) }()
	}
	for ; ended < sent; ended++ {
		l.record(<-done)
	}
	return nil
}

func (l *Load) record(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// Outcomes returns what became of the requests so far.
func (l *Load) Outcomes() []Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Outcome(nil), l.outcomes...)
}

// chatTokens is how many tokens a chat asks for.
const chatTokens = 24

func (l *Load) send(e *Entry, id string, s Shape) Outcome {
	o := Outcome{id: id, shape: s}
	begun := time.Now()
	// The caller waits longer than its deadline, to tell a late answer from
	// none.
	ctx, cancel := context.WithTimeout(context.Background(), 2*l.Deadline)
	defer cancel()
	r, err := l.request(ctx, e.Process.CallerAddress(), id, s)
	if err != nil {
		o.code, o.detail = result.MalformedRequest, err.Error()
		return o
	}
	res, err := l.client.Do(r)
	if err != nil {
		o.code, o.detail = result.OutcomeUnknown, err.Error()
		return o
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	o.onTime = time.Since(begun) <= l.Deadline
	if err != nil {
		o.code, o.detail = result.AnswerIncomplete, err.Error()
		return o
	}
	if res.StatusCode != http.StatusOK {
		o.code, o.detail = refusal(body)
		return o
	}
	o.whole = isWhole(s, id, string(body))
	if !o.whole {
		o.detail = fmt.Sprintf("taken for whole: ...%q", body[max(0, len(body)-200):])
	}
	return o
}

// request returns a request to an address of the system.
//
// Guard: an HTTP client sends a request with an idempotency key again by itself when
// its connection breaks, unless it has nothing to read the body from anew. The second
// sending may be refused as not run, truly, and the first one has run.
func (l *Load) request(ctx context.Context, addr, id string, s Shape) (*http.Request, error) {
	path, body := caller.PathChat, chat(s == Streamed)
	if s == RunOnce {
		path, body = caller.PathServices+"desk/orders", `{"pallets":1}`
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+Key)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(l.Deadline.Milliseconds()))
	if s == RunOnce {
		r.Header.Set("Idempotency-Key", id)
	}
	return r, nil
}

func chat(stream bool) string {
	return fmt.Sprintf(`{"model":"small","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"a quote for twelve mops"}]}`, stream, chatTokens)
}

func refusal(body []byte) (result.Code, string) {
	var e struct {
		Error struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Code == 0 {
		return result.OutcomeUnknown, string(body)
	}
	return result.Code(e.Error.Code), e.Error.Message
}

// isWhole checks what a caller can see of an answer: all tokens of a stream and
// its end marker, all tokens of a whole chat, the key of an order.
func isWhole(s Shape, id, body string) bool {
	switch s {
	case Streamed:
		return strings.Count(body, "data: ") == chatTokens+1 && strings.HasSuffix(body, "data: [DONE]\n\n")
	case Plain:
		return json.Valid([]byte(body)) && strings.Contains(body, `"choices"`)
	default:
		return strings.Contains(body, fmt.Sprintf("%q", id))
	}
}
