package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// defaultTokens is how many tokens an answer has when the request sets none.
const defaultTokens = 16

// request is the part of a chat completion that the stand-in reads.
type request struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// Chunk is the data of one event of a stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Index   int      `json:"index"`
	Choices []Choice `json:"choices"`
}

// Completion is an answer as JSON.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []Choice `json:"choices"`
}

// Choice is the one choice of an answer.
type Choice struct {
	Index   int      `json:"index"`
	Delta   *Message `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
}

// Message is a text.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q request
	if !standin.ReadJSON(w, r, &q) {
		return
	}
	setInt(&q.MaxTokens, defaultTokens)
	f := e.currentFaults()
	if f.Refuse {
		standin.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "refused"})
		return
	}
	id := r.Header.Get("X-Request-Id")
	s := e.begin(id, q.MaxTokens)
	if s == nil {
		standin.Drop(w)
		return
	}
	go e.compute(s, f)
	w.Header().Set("X-Incarnation", e.incarnation())
	time.Sleep(millis(f.StallMillis))
	if q.Stream {
		e.writeStream(w, s, 0, f)
		return
	}
	e.writeWhole(w, s)
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// begin counts a run. Above the cold bound the engine falls over and returns
// nil.
func (e *Engine) begin(id string, total int) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.counters
	c.Ran[id]++
	c.Running++
	c.MostRunning = max(c.MostRunning, c.Running)
	if c.Cold {
		c.MostCold = max(c.MostCold, c.Running)
	}
	if c.Cold && c.Running > e.Settings.ColdBound {
		c.Breaches++
		c.Running--
		e.fallLocked()
		return nil
	}
	s := newStream(id, total)
	e.streams[id] = s
	e.cache.add(id, e.Settings.CacheEventsKept)
	return s
}

// compute runs a stream to its end.
func (e *Engine) compute(s *stream, f Faults) {
	whole := s.compute(e.pause, f.StallAfterPieces)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Running--
	if !whole {
		return
	}
	e.counters.Completed++
	e.warmth++
	if e.warmth >= e.Settings.WarmAfter {
		e.counters.Cold = false
	}
}

// pause is how long token n takes now.
func (e *Engine) pause(n int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := micros(e.Settings.TokenMicros)
	if over := e.counters.Running; over > e.Settings.Capacity {
		d = d * time.Duration(over) / time.Duration(e.Settings.Capacity)
	}
	if e.counters.Cold && n == 0 {
		d *= time.Duration(e.Settings.ColdFactor)
	}
	return d
}

// writeStream sends the pieces from number from on.
func (e *Engine) writeStream(w http.ResponseWriter, s *stream, from int, f Faults) {
	standin.BeginEvents(w)
	for n := from; n < s.total; n++ {
		ok, lost := s.next(n)
		if f.DieAfterPieces > 0 && n-from == f.DieAfterPieces {
			lost = true
		}
		if lost {
			standin.Drop(w)
			return
		}
		if !ok {
			return
		}
		standin.WriteEvent(w, chunk(s.id, n))
	}
	if !f.OmitEnd {
		standin.WriteEvent(w, []byte("[DONE]"))
	}
}

func chunk(id string, n int) []byte {
	raw, err := json.Marshal(Chunk{
		ID: id, Object: "chat.completion.chunk", Index: n,
		Choices: []Choice{{Delta: &Message{Content: Token(id, n)}}},
	})
	if err != nil {
		panic(err) // Strings and numbers always marshal.
	}
	return raw
}

func (e *Engine) writeWhole(w http.ResponseWriter, s *stream) {
	if ok, lost := s.next(s.total - 1); !ok || lost {
		standin.Drop(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, Completion{
		ID: s.id, Object: "chat.completion",
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: Text(s.id, s.total)}}},
	})
}

func (e *Engine) stream(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.stream(r.PathValue("id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	switch {
	case s == nil:
		standin.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "no such stream"})
	case err != nil || from < 0 || from > s.total:
		standin.WriteJSON(w, http.StatusRequestedRangeNotSatisfiable, map[string]string{"error": "no such piece"})
	default:
		w.Header().Set("X-Incarnation", e.incarnation())
		e.writeStream(w, s, from, e.currentFaults())
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s := e.stream(id)
	if s == nil {
		standin.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "no such stream"})
		return
	}
	e.mu.Lock()
	e.counters.Cancelled[id]++
	delete(e.streams, id)
	e.mu.Unlock()
	s.end(true)
	w.WriteHeader(http.StatusNoContent)
}

// kv is an exported KV cache: what a stream needs to go on elsewhere.
type kv struct {
	ID    string `json:"id"`
	Total int    `json:"total"`
	Ready int    `json:"ready"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	s := e.stream(r.PathValue("id"))
	if s == nil {
		standin.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "no such stream"})
		return
	}
	s.mu.Lock()
	k := kv{ID: s.id, Total: s.total, Ready: s.ready}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, k)
}

// importKV goes on with a stream that another engine began.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var k kv
	if !standin.ReadJSON(w, r, &k) {
		return
	}
	s := e.begin(k.ID, k.Total)
	if s == nil {
		standin.Drop(w)
		return
	}
	s.ready = k.Ready
	go e.compute(s, e.currentFaults())
	w.WriteHeader(http.StatusNoContent)
}
